package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against members that take each other for dead while every tenth message
// is lost, and against failure domains that never learn of each other.
func TestLossRemovesNobody(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.loss = 0.1
		f.start(3, 13)
		f.c.Assert(f.roundsUntil(40, live(13)) < 40, qt.IsTrue)
		f.rounds(200)
		f.c.Assert(f.removed, qt.HasLen, 0)
		f.c.Assert(f.all(func(s *State) bool { return len(s.Summaries(f.now)) == 2 && s.InstanceCount(f.now) == 39 }), qt.IsTrue)
	})
}

// Guards against a dead member that stays a target, and that old gossip brings back.
func TestDeadMemberIsRemovedEverywhere(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.loss = 0.05
		f.start(1, 22)
		f.rounds(30)
		f.stop(f.order[5])
		detection := int((SuspectAfter+RemoveAfter)/Interval) + 8
		f.c.Assert(f.roundsUntil(detection, live(21)) < detection, qt.IsTrue)
		f.rounds(60)
		f.c.Assert(f.all(live(21)), qt.IsTrue)
	})
}

// Guards against a member that was paused and afterwards takes all others for
// dead, or is never taken back.
func TestPausedMemberReturns(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.start(1, 9)
		f.rounds(20)
		f.paused[f.order[3]] = true
		f.rounds(30)
		paused := f.instances[f.order[3]]
		f.c.Assert(f.removed, qt.DeepEquals, map[string]int{paused.self.ID: 8})
		f.suspected = map[string]int{}
		f.resume(f.order[3])
		f.c.Assert(paused.LiveMembers(), qt.HasLen, 9)
		f.c.Assert(f.roundsUntil(10, live(9)) < 10, qt.IsTrue)
		f.c.Assert(f.removed, qt.HasLen, 1)
		f.c.Assert(f.suspected[paused.self.ID], qt.Equals, 0)
	})
}

// Guards against a partition that never heals although no list of instances tells
// the members of each other.
func TestPartitionHeals(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.start(2, 8)
		f.rounds(30)
		for _, node := range f.instances {
			node.SetCandidates(nil)
		}
		side := func(r Record) bool { return r.ID < "entry-00-004" || r.ID >= "entry-01" && r.ID < "entry-01-004" }
		f.partitioned = func(a, b Record) bool { return side(a) != side(b) || a.FailureDomain != b.FailureDomain }
		f.rounds(60)
		f.c.Assert(f.all(live(4)), qt.IsTrue)
		f.c.Assert(f.all(func(s *State) bool { return len(s.Summaries(f.now)) == 0 }), qt.IsTrue)
		f.partitioned = nil
		healed := func(s *State) bool { return len(s.LiveMembers()) == 8 && len(s.Summaries(f.now)) == 1 }
		f.c.Assert(f.roundsUntil(40, healed) < 40, qt.IsTrue)
	})
}

// Guards against a restarted member that is known by its old address or taken
// for the old process.
func TestRestartedMemberIsKnownByNewAddress(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.start(1, 9)
		f.rounds(20)
		f.stop(f.order[4])
		next := f.add("entry-00-004", "domain-00", 2)
		next.SetCandidates([]Candidate{{Address: f.order[0]}})
		known := func(s *State) bool {
			for _, r := range s.LiveMembers() {
				if r.ID == next.self.ID && r.Address == next.self.Address && len(s.LiveMembers()) == 9 {
					return true
				}
			}
			return false
		}
		f.c.Assert(f.roundsUntil(12, known) < 12, qt.IsTrue)
	})
}

// Guards against a restart with a clock that went back: the others would drop the
// heartbeats of an incarnation that they take for an old one.
func TestRestartWithLowerIncarnationIsHeard(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.start(1, 5)
		f.instances[f.order[2]].self.Incarnation = 50
		f.rounds(10)
		f.stop(f.order[2])
		f.rounds(12)
		f.c.Assert(f.all(live(4)), qt.IsTrue)
		f.add("entry-00-002", "domain-00", 3).SetCandidates([]Candidate{{Address: f.order[0]}})
		f.c.Assert(f.roundsUntil(15, live(5)) < 15, qt.IsTrue)
	})
}

// Guards against a suspicion that a live member can't refute.
func TestSuspicionIsRefuted(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 1)
	f.start(1, 3)
	f.rounds(5)
	self := f.instances[f.order[0]]
	before := self.Self().Incarnation
	accusation := self.Self()
	accusation.State = Suspected
	from := f.instances[f.order[1]].Self()
	self.Receive(f.now, Message{From: from, Records: []Record{accusation}})
	c.Assert(self.Self().Incarnation, qt.Equals, before+1)
	f.rounds(5)
	for _, r := range f.instances[f.order[2]].LiveMembers() {
		if r.ID == accusation.ID {
			c.Assert(r.Incarnation, qt.Equals, before+1)
			c.Assert(r.State, qt.Equals, Alive)
		}
	}
}

// Guards against a member that left and stays a target, or that heartbeats on
// their way bring back, or that stays a contact of another failure domain.
func TestLeaveIsKnownAtOnce(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.start(2, 4)
		f.rounds(30)
		leaver := f.instances[f.order[1]]
		late := leaver.heartbeat(f.now)
		f.apply(leaver, leaver.Leave(f.now))
		f.stop(f.order[1])
		f.deliver()
		f.c.Assert(f.instances[f.order[0]].LiveMembers(), qt.HasLen, 3)
		f.c.Assert(f.all(func(s *State) bool { return !hasContact(s, leaver.self.ID) }), qt.IsTrue)
		f.apply(f.instances[f.order[0]], f.instances[f.order[0]].Receive(f.now, late))
		f.rounds(20)
		f.c.Assert(f.instances[f.order[0]].LiveMembers(), qt.HasLen, 3)
	})
}

func hasContact(s *State, id string) bool {
	for _, d := range s.domains {
		for _, contact := range d.summary.Contacts {
			if contact.ID == id {
				return true
			}
		}
	}
	return false
}

// Guards against a platform list that lags: it may neither remove nor add members.
func TestListIsOnlyAHint(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 1)
	f.start(1, 3)
	f.rounds(5)
	f.instances[f.order[0]].SetCandidates([]Candidate{{FailureDomain: "domain-00", Address: "10.0.0.9:1"}})
	f.rounds(20)
	c.Assert(f.instances[f.order[0]].LiveMembers(), qt.HasLen, 3)
}

// Guards against a member that by chance hears nobody for so long that it takes
// the others for dead.
func TestHeartbeatsGoToAllMembersInTurn(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 1)
	f.start(1, 22)
	f.rounds(30)
	node, targets := f.instances[f.order[0]], map[string]int{}
	node.rotation = nil
	node.SetCandidates(nil)
	for range 21 {
		for _, address := range node.targets() {
			targets[address]++
		}
	}
	c.Assert(targets, qt.HasLen, 21)
	for address, n := range targets {
		c.Assert(n, qt.Equals, 2, qt.Commentf("%s", address))
	}
}

// Guards against a refusal that the other instances learn too late to keep from
// sending to the server, when no message is lost.
func TestDrainMarkerIsSentAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 1)
	f.start(3, 9)
	f.rounds(30)
	node := f.instances[f.order[12]]
	f.apply(node, node.MarkDraining(f.now, "engine-1", 1, time.Minute))
	f.deliver()
	c.Assert(f.all(func(s *State) bool { return len(s.Draining(f.now)) == 1 }), qt.IsTrue)
}

// Guards against a marker that never expires because each hop on its way extends
// it by its delay.
func TestDelaysDontExtendMarkers(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 1)
	a, b := f.add("a", "d", 1), f.add("b", "d", 1)
	a.MarkDraining(f.now, "engine-1", 1, 15*time.Second)
	const delay = time.Second
	for range 20 {
		f.now = f.now.Add(delay)
		b.Tick(f.now)
		b.Receive(f.now, Message{From: a.Self(), DrainMarkers: a.unexpiredDrainMarkers(f.now.Add(-delay))})
		a.Tick(f.now)
		a.Receive(f.now, Message{From: b.Self(), DrainMarkers: b.unexpiredDrainMarkers(f.now.Add(-delay))})
	}
	c.Assert(a.Draining(f.now), qt.HasLen, 0)
	c.Assert(b.Draining(f.now), qt.HasLen, 0)
}

// Guards against drain markers that are late, that come back after the server
// restarted, or that never expire because each hop extends them.
func TestDrainMarkerReachesAllAndIsCleared(t *testing.T) {
	forSeeds(t, func(f *testNetwork) {
		f.loss = 0.1
		f.start(3, 9)
		f.rounds(30)
		drained := func(n int) func(*State) bool {
			return func(s *State) bool { return len(s.Draining(f.now)) == n }
		}
		node := f.instances[f.order[4]]
		f.apply(node, node.MarkDraining(f.now, "engine-1", 7, 40*time.Second))
		f.deliver()
		local := func(s *State) bool {
			return s.self.FailureDomain != node.self.FailureDomain || len(s.Draining(f.now)) == 1
		}
		f.c.Assert(f.roundsUntil(4, local) <= 3, qt.IsTrue)
		f.c.Assert(f.roundsUntil(20, drained(1)) < 20, qt.IsTrue)
		f.apply(node, node.ClearDraining(f.now, "engine-1", 8))
		f.c.Assert(f.roundsUntil(20, drained(0)) < 20, qt.IsTrue)
		late := DrainMarker{Server: "engine-1", Incarnation: 7, Remaining: 30 * time.Second}
		f.apply(node, node.Receive(f.now, Message{From: f.instances[f.order[5]].Self(), DrainMarkers: []DrainMarker{late}}))
		f.rounds(5)
		f.c.Assert(f.all(drained(0)), qt.IsTrue)

		f.apply(node, node.MarkDraining(f.now, "engine-2", 1, 15*time.Second))
		f.deliver()
		f.rounds(20)
		f.c.Assert(f.all(drained(0)), qt.IsTrue)
	})
}

// Guards against lists that never pass completely because they don't fit one
// message, and against messages over the bound.
func TestLongListsTakeTurns(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 3)
	f.start(2, 30)
	heard := map[string]bool{}
	node := f.instances[f.order[0]]
	for _, address := range f.order {
		var counts []InFlightCount
		var demand []Demand
		for i := range 200 {
			counts = append(counts, InFlightCount{longName(i), i, i})
			demand = append(demand, Demand{longName(i), int64(1000 + i)})
		}
		f.instances[address].SetInFlightCounts(counts)
		f.instances[address].SetDemand(demand)
		f.apply(node, f.instances[address].MarkDraining(f.now, longName(len(address)), 1, time.Minute))
	}
	f.rounds(200)
	for range 300 {
		for _, count := range node.heartbeat(f.now).InFlightCounts {
			heard[count.Server] = true
		}
	}
	c.Assert(heard, qt.HasLen, 200)
	own, others := node.Demand(f.now)
	c.Assert(own, qt.HasLen, MaxDemand)
	c.Assert(own[0].MilliPerSecond > 20*1000, qt.IsTrue)
	c.Assert(len(others["domain-01"]) > 0, qt.IsTrue)
	c.Assert(f.removed, qt.HasLen, 0)
}

// longName returns a name of the longest allowed length.
func longName(i int) string {
	name := []byte("server-000-------------------------------------------------------")[:MaxNameBytes]
	copy(name[7:], []byte{byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
	return string(name)
}

// Guards against demand that ended at a member but is believed for
// demandLifetime, which keeps a share of the rate from the others.
func TestEndOfDemandIsReported(t *testing.T) {
	c := qt.New(t)
	f := newTestNetwork(c, 4)
	f.start(1, 2)
	sender, receiver := f.instances[f.order[0]], f.instances[f.order[1]]
	sender.SetDemand([]Demand{{"acme", 5000}})
	f.rounds(10)
	c.Assert(receiver.PeerDemand(f.now)[0].Demand, qt.DeepEquals, []Demand{{"acme", 5000}})
	sender.SetDemand(nil)
	f.rounds(10)
	c.Assert(receiver.PeerDemand(f.now)[0].Demand, qt.DeepEquals, []Demand{{"acme", 0}})
	f.stop(f.order[0])
	f.rounds(int(demandLifetime / Interval))
	c.Assert(receiver.peerDemand["entry-00-000"], qt.HasLen, 0)
}
