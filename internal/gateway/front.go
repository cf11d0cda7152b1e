package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// defaultLimits hold until the first configuration is known.
var defaultLimits = route.Limits{HeaderBytes: 32 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// Front accepts the connections of clients. The limits of the configuration hold
// for connections that are opened after it came into force.
type Front struct {
	handler http.Handler
	drain   *Drain
	logger  *slog.Logger

	mu       sync.Mutex
	listener net.Listener
	limits   route.Limits
	inlet    *inlet
	servers  []*http.Server
}

// NewFront returns a front that passes requests to a handler.
func NewFront(handler http.Handler, drain *Drain, logger *slog.Logger) *Front {
	return &Front{handler: handler, drain: drain, logger: logger}
}

// inlet is the listener of one http.Server. It gets its connections from Front.
type inlet struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept returns the next connection.
func (i *inlet) Accept() (net.Conn, error) {
	select {
	case conn := <-i.conns:
		return conn, nil
	case <-i.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (i *inlet) Close() error {
	i.once.Do(func() { close(i.closed) })
	return nil
}

// Addr returns the address that Front listens on.
func (i *inlet) Addr() net.Addr { return i.address }

// Listen binds the address and starts to serve.
func (f *Front) Listen(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.listener = listener
	f.serve(defaultLimits)
	f.mu.Unlock()
	go f.accept()
	return nil
}

// Update puts the limits of a configuration in force.
func (f *Front) Update(v *view.View) {
	if v.Table == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil && v.Table.Limits != f.limits {
		f.serve(v.Table.Limits)
	}
}

// serve starts a server with limits for the connections to come. It is called with
// the lock held.
func (f *Front) serve(limits route.Limits) {
	f.limits = limits
	f.inlet = &inlet{address: f.listener.Addr(), conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{
		Handler: f.handler, MaxHeaderBytes: limits.HeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		ConnState: f.track, ErrorLog: slog.NewLogLogger(f.logger.Handler(), slog.LevelDebug),
	}
	f.servers = append(f.servers, server)
	go func(i *inlet) {
		if err := server.Serve(i); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			events.ServeFailed.Log(context.Background(), f.logger, slog.Any("error", err))
		}
	}(f.inlet)
}

// track counts the open connections.
func (f *Front) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.drain.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.drain.open.Add(-1)
	}
}

// acceptPause follows a failed accept, such as one without a free descriptor.
const acceptPause = 20 * time.Millisecond

// accept passes connections to the newest server.
func (f *Front) accept() {
	for {
		conn, err := f.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			events.ServeFailed.Log(context.Background(), f.logger, slog.Any("error", err))
			time.Sleep(acceptPause)
			continue
		}
		f.mu.Lock()
		current := f.inlet
		f.mu.Unlock()
		current.conns <- conn
	}
}

// Close ends all connections.
func (f *Front) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listener != nil {
		f.listener.Close()
	}
	for _, server := range f.servers {
		server.Close()
	}
}
