package membership

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

func limitOf(server string) ServerLimit {
	return ServerLimit{ratelimit.Entry{Server: server, Incarnation: 1, Sequence: 1, Rate: 1.2}}
}

// receivedLimits returns the limits that outputs report.
func receivedLimits(outputs []Output) (received []ServerLimitsReceived) {
	for _, output := range outputs {
		if out, ok := output.(ServerLimitsReceived); ok {
			received = append(received, out)
		}
	}
	return received
}

// Guards against a limit that other instances learn only with later heartbeats, and against
// one that an instance which starts does not learn with the first heartbeat that it gets.
func TestServerLimitsReachOtherInstances(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 5)
	net.start(2, 3)
	net.rounds(10)
	sender := net.instances[net.order[0]]
	limits := []ServerLimit{limitOf("i-1")}
	sender.SetServerLimits(limits)
	reached := map[bool]int{}
	for _, output := range sender.AnnounceServerLimits(limits, true) {
		send := output.(Send)
		receiver := net.instances[send.Address]
		for _, received := range receivedLimits(receiver.Receive(net.now, send.Message)) {
			c.Check(received.Limits, qt.DeepEquals, limits)
			reached[received.Local]++
		}
	}
	c.Assert(reached, qt.DeepEquals, map[bool]int{true: 2, false: 1})
	started := net.add("started", "domain-00", 1)
	received := receivedLimits(started.Receive(net.now, sender.heartbeat(net.now)))
	c.Assert(received, qt.DeepEquals, []ServerLimitsReceived{{Limits: limits, Local: true}})
}

// Guards against an instance that is cut off from most others and takes the whole limit of a
// server, and against members that left and count as cut off.
func TestLiveShareCountsLostMembers(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 6)
	net.start(1, 4)
	net.rounds(10)
	instance := net.instances[net.order[0]]
	c.Assert(instance.LiveShare(), qt.Equals, 1.0)
	net.apply(net.instances[net.order[1]], net.instances[net.order[1]].Leave(net.now))
	net.stop(net.order[2])
	net.rounds(20)
	c.Assert(instance.LiveShare(), qt.Equals, 2.0/3)
}
