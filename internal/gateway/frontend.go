package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// defaultLimits apply until the first configuration is loaded.
var defaultLimits = route.Limits{HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// Frontend accepts client connections. When the limits of the configuration change,
// the new ones apply to connections that are opened afterwards.
type Frontend struct {
	handler http.Handler
	door    *doors.Door
	drain   *Drain
	logger  *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	limits   route.Limits
	current  *connListener
	servers  []*http.Server
}

// NewFrontend returns a frontend that passes requests to a handler. The door bounds its
// connections.
func NewFrontend(handler http.Handler, door *doors.Door, drain *Drain, logger *slog.Logger) *Frontend {
	return &Frontend{handler: handler, door: door, drain: drain, logger: logger}
}

// connListener is the net.Listener of one http.Server. Frontend passes it the accepted
// connections.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address that Frontend listens on.
func (l *connListener) Addr() net.Addr { return l.address }

// Listen binds the address and serves connections until Close.
func (f *Frontend) Listen(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.listener = listener
	f.startServer(defaultLimits)
	f.mu.Unlock()
	go f.accept()
	return nil
}

// Update applies the connection limits of a new view to connections that are opened
// from now on.
func (f *Frontend) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil && v.Table.Limits != f.limits {
		f.startServer(v.Table.Limits)
	}
}

// startServer starts an http.Server with new limits, which serves the connections that
// are accepted from now on. It is called with the lock held.
func (f *Frontend) startServer(limits route.Limits) {
	f.limits = limits
	f.current = &connListener{address: f.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{
		Handler: f.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		ConnState: f.countConnection, ConnContext: doors.ConnContext, ErrorLog: slog.NewLogLogger(f.logger.Handler(), slog.LevelDebug),
		// The handler answers "OPTIONS *", too, which has no route.
		DisableGeneralOptionsHandler: true,
	}
	f.servers = append(f.servers, server)
	go func(l *connListener) {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			events.ServeFailed.Log(context.Background(), f.logger, slog.Any("error", err))
		}
	}(f.current)
}

// countConnection counts the open connections, and passes their states to the door.
func (f *Frontend) countConnection(conn net.Conn, state http.ConnState) {
	doors.ConnState(conn, state)
	switch state {
	case http.StateNew:
		f.drain.openConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.drain.openConnections.Add(-1)
	}
}

// acceptRetryDelay is the delay after a failed accept, such as one without a free file
// descriptor.
const acceptRetryDelay = 20 * time.Millisecond

// accept passes accepted connections to the newest server.
func (f *Frontend) accept() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			events.ServeFailed.Log(context.Background(), f.logger, slog.Any("error", err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		admitted := f.door.Admit(conn)
		if admitted == nil {
			continue
		}
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		current.conns <- admitted
	}
}

// Close closes the listener and all connections.
func (f *Frontend) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
}
