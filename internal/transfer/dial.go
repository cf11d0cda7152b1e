// Package transfer bounds calls whose answers grow with the deployment: by the progress of
// an answer, and not by the time that all of it takes.
package transfer

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a DialFunc that fails after a timeout.
func (d DialFunc) WithTimeout(timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}
