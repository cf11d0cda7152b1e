// Package tcpprobe distinguishes a process that has exited from a connection that was reset.
package tcpprobe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// timeout bounds the connection attempt.
const timeout = 250 * time.Millisecond

// Refused reports whether the host at an address, an IP address and a port, refuses
// connections: then no process listens there. A connection that breaks off does not say that,
// because a proxy, a fault of the network or the server itself may have reset it; nor does a
// host that does not answer.
func Refused(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
