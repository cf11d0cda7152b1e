package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against live members that are removed while 10 % of the messages are lost,
// and against failure domains that never discover each other.
func TestMessageLossRemovesNoMember(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.loss = 0.1
		net.start(3, 13)
		net.c.Assert(net.roundsUntil(40, live(13)) < 40, qt.IsTrue)
		net.rounds(200)
		net.c.Assert(net.removed, qt.HasLen, 0)
		net.c.Assert(net.all(func(s *State) bool { return len(s.Summaries(net.now)) == 2 && s.InstanceCount(net.now) == 39 }), qt.IsTrue)
	})
}

// Guards against a failed member that stays a target of heartbeats, or that outdated
// messages add again.
func TestFailedMemberIsRemovedEverywhere(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.loss = 0.05
		net.start(1, 22)
		net.rounds(30)
		net.stop(net.order[5])
		const detection = 16
		net.c.Assert(net.roundsUntil(detection, live(21)) < detection, qt.IsTrue)
		net.rounds(60)
		net.c.Assert(net.all(live(21)), qt.IsTrue)
	})
}

// Guards against a member that removes all others after it was paused, or that the
// others never add again.
func TestPausedMemberReturns(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(1, 9)
		net.rounds(20)
		net.paused[net.order[3]] = true
		net.rounds(30)
		paused := net.instances[net.order[3]]
		net.c.Assert(net.removed, qt.DeepEquals, map[string]int{paused.self.ID: 8})
		net.suspected = map[string]int{}
		net.resume(net.order[3])
		net.c.Assert(paused.LiveMembers(), qt.HasLen, 9)
		net.c.Assert(net.roundsUntil(10, live(9)) < 10, qt.IsTrue)
		net.c.Assert(net.removed, qt.HasLen, 1)
		net.c.Assert(net.suspected[paused.self.ID], qt.Equals, 0)
	})
}

// Guards against an instance that, because its own link loses messages, has the others
// treat sound members as failed.
func TestLossyLinkCausesNoRemoval(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(1, 30)
		net.rounds(20)
		lossy := net.instances[net.order[7]].self.ID
		net.partitioned = func(a, b Record) bool {
			return (a.ID == lossy || b.ID == lossy) && net.random.Float64() < 0.4
		}
		net.rounds(120)
		net.c.Assert(net.removed[lossy], qt.Equals, 0)
		delete(net.suspectedMembers, lossy)
		net.c.Assert(net.suspectedMembers, qt.HasLen, 0)
	})
}

// Guards against an instance that is cut off and takes the others for alive, and
// against one that has them all refute suspicions when it is connected again.
func TestIsolatedInstanceIsAlone(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(1, 20)
		net.rounds(20)
		cut := net.instances[net.order[3]]
		net.partitioned = func(a, b Record) bool { return (a.ID == cut.self.ID) != (b.ID == cut.self.ID) }
		net.rounds(20)
		net.c.Assert(cut.LiveMembers(), qt.HasLen, 1)
		net.c.Assert(cut.InstanceCount(net.now), qt.Equals, 1)
		net.partitioned = nil
		net.c.Assert(net.roundsUntil(8, live(20)) < 8, qt.IsTrue)
		delete(net.suspectedMembers, cut.self.ID)
		net.c.Assert(net.suspectedMembers, qt.HasLen, 0)
	})
}

// Guards against members that don't find each other again after a network partition
// when no list of candidates is available.
func TestMembersRejoinAfterPartition(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(2, 8)
		net.rounds(30)
		for _, instance := range net.instances {
			instance.SetCandidates(nil)
		}
		side := func(r Record) bool { return r.ID < "entry-00-004" || r.ID >= "entry-01" && r.ID < "entry-01-004" }
		net.partitioned = func(a, b Record) bool { return side(a) != side(b) || a.FailureDomain != b.FailureDomain }
		net.rounds(60)
		net.c.Assert(net.all(live(4)), qt.IsTrue)
		net.c.Assert(net.all(func(s *State) bool { return len(s.Summaries(net.now)) == 0 }), qt.IsTrue)
		net.partitioned = nil
		healed := func(s *State) bool { return len(s.LiveMembers()) == 8 && len(s.Summaries(net.now)) == 1 }
		net.c.Assert(net.roundsUntil(40, healed) < 40, qt.IsTrue)
	})
}

// Guards against a restarted member that keeps its old address in the records of the
// others, or whose messages they treat as those of the old process.
func TestRestartedMemberIsKnownByNewAddress(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(1, 9)
		net.rounds(20)
		net.stop(net.order[4])
		next := net.add("entry-00-004", "domain-00", 2)
		next.SetCandidates([]Candidate{{Address: net.order[0]}})
		known := func(s *State) bool {
			for _, r := range s.LiveMembers() {
				if r.ID == next.self.ID && r.Address == next.self.Address && len(s.LiveMembers()) == 9 {
					return true
				}
			}
			return false
		}
		net.c.Assert(net.roundsUntil(12, known) < 12, qt.IsTrue)
	})
}

// Guards against a member that can't rejoin after a restart with a clock that went
// back: the others ignore heartbeats of a lower incarnation than the known one.
func TestMemberRejoinsWithLowerIncarnation(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(1, 5)
		net.instances[net.order[2]].self.Incarnation = 50
		net.rounds(10)
		net.stop(net.order[2])
		net.rounds(12)
		net.c.Assert(net.all(live(4)), qt.IsTrue)
		net.add("entry-00-002", "domain-00", 3).SetCandidates([]Candidate{{Address: net.order[0]}})
		net.c.Assert(net.roundsUntil(15, live(5)) < 15, qt.IsTrue)
	})
}

// Guards against a suspicion that a live member can't refute.
func TestSuspicionIsRefuted(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 1)
	net.start(1, 3)
	net.rounds(5)
	self := net.instances[net.order[0]]
	before := self.Self().Incarnation
	suspicion := self.Self()
	suspicion.State = Suspected
	from := net.instances[net.order[1]].Self()
	self.Receive(net.now, Message{From: from, Records: []Record{suspicion}})
	c.Assert(self.Self().Incarnation, qt.Equals, before+1)
	net.rounds(5)
	for _, r := range net.instances[net.order[2]].LiveMembers() {
		if r.ID == suspicion.ID {
			c.Assert(r.Incarnation, qt.Equals, before+1)
			c.Assert(r.State, qt.Equals, Alive)
		}
	}
}

// Guards against a member that left and stays a target of heartbeats, that a delayed
// heartbeat adds again, or that stays a contact in another failure domain.
func TestLeaveTakesEffectAtOnce(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.start(2, 4)
		net.rounds(30)
		leaving := net.instances[net.order[1]]
		late := leaving.heartbeat(net.now)
		net.apply(leaving, leaving.Leave(net.now))
		net.stop(net.order[1])
		net.deliver()
		net.c.Assert(net.instances[net.order[0]].LiveMembers(), qt.HasLen, 3)
		net.c.Assert(net.all(func(s *State) bool { return !hasContact(s, leaving.self.ID) }), qt.IsTrue)
		net.apply(net.instances[net.order[0]], net.instances[net.order[0]].Receive(net.now, late))
		net.rounds(20)
		net.c.Assert(net.instances[net.order[0]].LiveMembers(), qt.HasLen, 3)
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

// Guards against an outdated list of candidates that removes or adds members.
func TestCandidatesDontChangeMembers(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 1)
	net.start(1, 3)
	net.rounds(5)
	net.instances[net.order[0]].SetCandidates([]Candidate{{FailureDomain: "domain-00", Address: "10.0.0.9:1"}})
	net.rounds(20)
	c.Assert(net.instances[net.order[0]].LiveMembers(), qt.HasLen, 3)
}

// Guards against a member that by chance is not probed for so long that its loss is
// found late.
func TestMembersAreProbedInTurn(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 1)
	net.start(1, 22)
	net.rounds(30)
	instance, targets := net.instances[net.order[0]], map[string]int{}
	instance.rotation = nil
	instance.SetCandidates(nil)
	for range 2 * 21 {
		targets[instance.nextMember().record.Address]++
	}
	c.Assert(targets, qt.HasLen, 21)
	for address, n := range targets {
		c.Assert(n, qt.Equals, 2, qt.Commentf("%s", address))
	}
}

// Guards against a drain marker that reaches the other instances late although no
// message is lost, so that they still send requests to the draining server.
func TestDrainMarkerIsSentAtOnce(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 1)
	net.start(3, 9)
	net.rounds(30)
	instance := net.instances[net.order[12]]
	net.apply(instance, instance.MarkDraining(net.now, "engine-1", 1, time.Minute))
	net.deliver()
	c.Assert(net.all(func(s *State) bool { return len(s.Draining(net.now)) == 1 }), qt.IsTrue)
}

// Guards against a marker that never expires because each hop extends its lifetime
// by the delay of the message.
func TestDelaysDontExtendMarkers(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 1)
	a, b := net.add("a", "d", 1), net.add("b", "d", 1)
	a.MarkDraining(net.now, "engine-1", 1, 15*time.Second)
	const delay = time.Second
	for range 20 {
		net.now = net.now.Add(delay)
		b.Tick(net.now)
		b.Receive(net.now, Message{From: a.Self(), DrainMarkers: a.unexpiredDrainMarkers(net.now.Add(-delay))})
		a.Tick(net.now)
		a.Receive(net.now, Message{From: b.Self(), DrainMarkers: b.unexpiredDrainMarkers(net.now.Add(-delay))})
	}
	c.Assert(a.Draining(net.now), qt.HasLen, 0)
	c.Assert(b.Draining(net.now), qt.HasLen, 0)
}

// Guards against drain markers that arrive late, that are set again after the server
// restarted, or that never expire because each hop extends their lifetime.
func TestDrainMarkerReachesAllAndIsCleared(t *testing.T) {
	forSeeds(t, func(net *testNetwork) {
		net.loss = 0.1
		net.start(3, 9)
		net.rounds(30)
		drained := func(n int) func(*State) bool {
			return func(s *State) bool { return len(s.Draining(net.now)) == n }
		}
		instance := net.instances[net.order[4]]
		net.apply(instance, instance.MarkDraining(net.now, "engine-1", 7, 40*time.Second))
		net.deliver()
		local := func(s *State) bool {
			return s.self.FailureDomain != instance.self.FailureDomain || len(s.Draining(net.now)) == 1
		}
		net.c.Assert(net.roundsUntil(4, local) <= 3, qt.IsTrue)
		net.c.Assert(net.roundsUntil(20, drained(1)) < 20, qt.IsTrue)
		net.apply(instance, instance.ClearDraining(net.now, "engine-1", 8))
		net.c.Assert(net.roundsUntil(20, drained(0)) < 20, qt.IsTrue)
		late := DrainMarker{Server: "engine-1", Incarnation: 7, Remaining: 30 * time.Second}
		net.apply(instance, instance.Receive(net.now, Message{From: net.instances[net.order[5]].Self(), DrainMarkers: []DrainMarker{late}}))
		net.rounds(5)
		net.c.Assert(net.all(drained(0)), qt.IsTrue)

		net.apply(instance, instance.MarkDraining(net.now, "engine-2", 1, 15*time.Second))
		net.deliver()
		net.rounds(20)
		net.c.Assert(net.all(drained(0)), qt.IsTrue)
	})
}

// Guards against lists that are never sent completely because they don't fit into
// one message, and against messages larger than MaxMessageBytes.
func TestLongListsTakeTurns(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 3)
	net.start(2, 30)
	received := map[string]bool{}
	instance := net.instances[net.order[0]]
	for _, address := range net.order {
		var counts []InFlightCount
		var demand []Demand
		for i := range 200 {
			counts = append(counts, InFlightCount{longName(i), i, i})
			demand = append(demand, Demand{longName(i), int64(1000 + i)})
		}
		net.instances[address].SetInFlightCounts(counts)
		net.instances[address].SetDemand(demand)
		net.apply(instance, net.instances[address].MarkDraining(net.now, longName(len(address)), 1, time.Minute))
	}
	net.rounds(200)
	for range 300 {
		for _, count := range instance.heartbeat(net.now).InFlightCounts {
			received[count.Server] = true
		}
	}
	c.Assert(received, qt.HasLen, 200)
	own, others := instance.Demand(net.now)
	c.Assert(own, qt.HasLen, MaxDemand)
	c.Assert(own[0].MilliPerSecond > 20*1000, qt.IsTrue)
	c.Assert(len(others["domain-01"]) > 0, qt.IsTrue)
	c.Assert(net.removed, qt.HasLen, 0)
}

// longName returns a name of MaxNameBytes bytes.
func longName(i int) string {
	name := []byte("server-000-------------------------------------------------------")[:MaxNameBytes]
	copy(name[7:], []byte{byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
	return string(name)
}

// Guards against demand that ended at a member but counts for demandLifetime longer,
// so that the other instances get a smaller share of the rate.
func TestEndOfDemandIsReported(t *testing.T) {
	c := qt.New(t)
	net := newTestNetwork(c, 4)
	net.start(1, 2)
	sender, receiver := net.instances[net.order[0]], net.instances[net.order[1]]
	sender.SetDemand([]Demand{{"acme", 5000}})
	net.rounds(10)
	c.Assert(receiver.PeerDemand(net.now)[0].Demand, qt.DeepEquals, []Demand{{"acme", 5000}})
	sender.SetDemand(nil)
	net.rounds(10)
	c.Assert(receiver.PeerDemand(net.now)[0].Demand, qt.DeepEquals, []Demand{{"acme", 0}})
	net.stop(net.order[0])
	net.rounds(int(demandLifetime / Interval))
	c.Assert(receiver.peerDemand["entry-00-000"], qt.HasLen, 0)
}
