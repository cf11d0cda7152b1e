package tcpprobe

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a running server that is taken for one that has ended, and the reverse.
func TestOnlyClosedPortsRefuse(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(Refused(c.Context(), address), qt.IsFalse)
	c.Assert(listener.Close(), qt.IsNil)
	c.Assert(Refused(c.Context(), address), qt.IsTrue)
	cancelled, cancel := context.WithCancel(c.Context())
	cancel()
	c.Assert(Refused(cancelled, address), qt.IsFalse)
}
