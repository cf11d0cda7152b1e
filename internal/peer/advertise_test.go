package peer

import (
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Guards against an instance behind network address translation that binds its
// advertised address, which no local interface has.
func TestListenAtLocalAddress(t *testing.T) {
	c := qt.New(t)
	identity := membership.Identity{ID: "a", FailureDomain: "d", Address: "192.0.2.1:7000"}
	node, err := ListenAt("127.0.0.1:0", identity, slog.New(slog.DiscardHandler), tally.NoopScope)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(node.conn.Close(), qt.IsNil) })
	node.View(func(s *membership.State) { c.Check(s.LiveMembers()[0].Address, qt.Equals, "192.0.2.1:7000") })
}
