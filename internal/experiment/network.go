package experiment

import (
	"net/http"
	"net/http/httptest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// network connects callers, instances and servers.
type network interface {
	// serve makes a handler reachable at the address until stop is called.
	serve(handler http.Handler) (address string, stop func())
	transport() http.RoundTripper
}

// fleetNetwork is the network of the experiments. A test replaces it.
var fleetNetwork network = loopback{}

// loopback is a network of sockets on the loopback interface.
type loopback struct{}

func (loopback) serve(handler http.Handler) (address string, stop func()) {
	server := httptest.NewServer(handler)
	return server.Listener.Addr().String(), func() {
		server.CloseClientConnections()
		server.Close()
	}
}

func (loopback) transport() http.RoundTripper { return backend.NewTransport() }
