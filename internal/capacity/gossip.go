package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// datagramHeaderBytes is the size of the IP and UDP headers.
const datagramHeaderBytes = 28

// maxRevisionRounds is the most rounds to wait until all instances know a revision.
const maxRevisionRounds = 60

// gossipSimulation runs the membership of instances in memory, delivers their
// encoded heartbeats and simulates the clock.
type gossipSimulation struct {
	now    time.Time
	random *rand.Rand
	// instances is keyed by address.
	instances map[string]*membership.State
	domains   int
	started   int
	queue     []datagram
	// sent is keyed by the sender's address.
	sent map[string]traffic
	// revision is the newest published configuration revision.
	revision int64
}

type datagram struct {
	address string
	data    []byte
}

type traffic struct{ messages, bytes int }

// newGossipSimulation starts instances whose heartbeats carry as much as fits.
func newGossipSimulation(instances, domains int) *gossipSimulation {
	g := &gossipSimulation{
		now: simulatedStart, random: rand.New(rand.NewPCG(1, uint64(instances))),
		instances: map[string]*membership.State{}, domains: domains, sent: map[string]traffic{},
	}
	for range instances {
		g.start(g.started % domains)
	}
	g.shareCandidates()
	return g
}

// start adds an instance with a new name and address.
func (g *gossipSimulation) start(domain int) {
	n := g.started
	g.started++
	identity := membership.Identity{
		ID: fmt.Sprintf("entry-instance-%03d", n), FailureDomain: domainName(domain),
		Address:     fmt.Sprintf("10.20.%d.%d:7000", 100+n/200, n%200),
		Incarnation: uint64(g.now.Unix()),
	}
	state := membership.New(identity, rand.New(rand.NewPCG(g.random.Uint64(), g.random.Uint64())), g.now)
	state.SetInFlightCounts(sampleCounts())
	state.SetDemand(sampleDemand(n))
	state.SetStragglers([]membership.Straggler{{Server: "backend-server-0007", Remaining: time.Hour}})
	g.instances[identity.Address] = state
}

// shareCandidates gives all instances the current instance list.
func (g *gossipSimulation) shareCandidates() {
	var candidates []membership.Candidate
	for _, state := range g.instances {
		self := state.Self()
		candidates = append(candidates, membership.Candidate{FailureDomain: self.FailureDomain, Address: self.Address})
	}
	for _, state := range g.instances {
		state.SetCandidates(candidates)
	}
}

// replaceDomain stops all instances of a failure domain without notice and
// starts as many new ones.
func (g *gossipSimulation) replaceDomain(domain int) {
	ended := 0
	for address, state := range g.instances {
		if state.Self().FailureDomain == domainName(domain) {
			delete(g.instances, address)
			ended++
		}
	}
	for range ended {
		g.start(domain)
	}
	g.shareCandidates()
}

func sampleCounts() []membership.InFlightCount {
	var counts []membership.InFlightCount
	for i := range 56 {
		counts = append(counts, membership.InFlightCount{Server: fmt.Sprintf("backend-server-%04d", i), InFlight: i})
	}
	return counts
}

func sampleDemand(instance int) []membership.Demand {
	var demand []membership.Demand
	for i := range membership.MaxDemand {
		name := fmt.Sprintf("organisation-%05d", (instance+i)%100)
		demand = append(demand, membership.Demand{Organisation: name, MilliPerSecond: 2500})
	}
	return demand
}

// send queues the messages of one instance. A revision that the instance learns from
// a message becomes its current one at once.
func (g *gossipSimulation) send(state *membership.State, outputs []membership.Output) error {
	for _, output := range outputs {
		switch out := output.(type) {
		case membership.Send:
			data, err := peer.Encode(out.Message)
			if err != nil {
				return err
			}
			used := g.sent[state.Self().Address]
			g.sent[state.Self().Address] = traffic{used.messages + 1, used.bytes + len(data) + datagramHeaderBytes}
			g.queue = append(g.queue, datagram{out.Address, data})
		case membership.NewRevision:
			if err := g.send(state, state.SetRevision(out.Revision, false)); err != nil {
				return err
			}
		}
	}
	return nil
}

// deliver passes queued messages to their receivers, and the messages sent in
// response, until the queue is empty.
func (g *gossipSimulation) deliver() error {
	for len(g.queue) > 0 {
		next := g.queue[0]
		g.queue = g.queue[1:]
		state, ok := g.instances[next.address]
		if !ok {
			continue // the instance was stopped
		}
		message, err := peer.Decode(next.data)
		if err != nil {
			return err
		}
		if err := g.send(state, state.Receive(g.now, message)); err != nil {
			return err
		}
	}
	return nil
}

// runRounds simulates n heartbeat intervals. The ticks of the instances are spread
// evenly over an interval.
func (g *gossipSimulation) runRounds(n int) error {
	for range n {
		order := make([]*membership.State, 0, len(g.instances))
		for _, state := range g.instances {
			order = append(order, state)
		}
		start := g.now
		for i, state := range order {
			g.now = start.Add(membership.Interval * time.Duration(i) / time.Duration(len(order)))
			if err := g.send(state, state.Tick(g.now)); err != nil {
				return err
			}
			if err := g.deliver(); err != nil {
				return err
			}
		}
		g.now = start.Add(membership.Interval)
	}
	return nil
}

// publish gives the next revision to one instance and counts the rounds until all
// instances have it.
func (g *gossipSimulation) publish() (rounds int, err error) {
	g.revision++
	for _, state := range g.instances {
		if err := g.send(state, state.SetRevision(g.revision, true)); err != nil {
			return 0, err
		}
		break
	}
	if err := g.deliver(); err != nil {
		return 0, err
	}
	for ; rounds < maxRevisionRounds && !g.allHaveRevision(); rounds++ {
		if err := g.runRounds(1); err != nil {
			return rounds, err
		}
	}
	return rounds, nil
}

func (g *gossipSimulation) allHaveRevision() bool {
	for _, state := range g.instances {
		if state.Self().Revision < g.revision {
			return false
		}
	}
	return true
}

// takeTraffic returns the traffic since the last call, and the largest number of
// bytes that one instance sent.
func (g *gossipSimulation) takeTraffic() (all traffic, largest int) {
	for _, used := range g.sent {
		all.messages += used.messages
		all.bytes += used.bytes
		largest = max(largest, used.bytes)
	}
	clear(g.sent)
	return all, largest
}

// countWrongViews counts the instances of a failure domain whose membership list is
// not exactly its running members.
func (g *gossipSimulation) countWrongViews(domain int) int {
	var members []*membership.State
	for _, state := range g.instances {
		if state.Self().FailureDomain == domainName(domain) {
			members = append(members, state)
		}
	}
	wrong := 0
	for _, state := range members {
		correct := len(state.LiveMembers()) == len(members)
		for _, record := range state.LiveMembers() {
			_, running := g.instances[record.Address]
			correct = correct && running
		}
		if !correct {
			wrong++
		}
	}
	return wrong
}
