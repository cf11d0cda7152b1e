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

// Start binds the address and then serves in the background until the server is
// closed. It returns an error when the address can't be bound, for example because it
// is in use. A later failure to serve is logged.
func Start(ctx context.Context, server *http.Server, address string, logger *slog.Logger) error {
	return StartWrapped(ctx, server, address, func(l net.Listener) net.Listener { return l }, logger)
}

// StartWrapped is Start with a function that wraps the listener, for example to bound its
// connections.
func StartWrapped(ctx context.Context, server *http.Server, address string, wrap func(net.Listener) net.Listener, logger *slog.Logger) error {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) {
			events.ServeFailed.Log(context.WithoutCancel(ctx), logger, slog.String("address", address), slog.Any("error", err))
		}
	}()
	return nil
}
