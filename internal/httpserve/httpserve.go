// Package httpserve starts the HTTP servers of the daemons.
package httpserve

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// Start binds the address before it returns, so that a taken address fails the
// start, and then serves it until the server is closed.
func Start(ctx context.Context, server *http.Server, address string, logger *slog.Logger) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			events.ServeFailed.Log(context.WithoutCancel(ctx), logger, slog.String("address", address), slog.Any("error", err))
		}
	}()
	return nil
}
