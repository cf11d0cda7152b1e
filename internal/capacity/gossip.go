package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// datagramHeader is the size of the IP and UDP headers.
const datagramHeader = 28

// maxSpreadRounds bounds the wait for a revision.
const maxSpreadRounds = 60

// gossip runs instances in memory and passes on their encoded heartbeats. Its
// clock is simulated.
type gossip struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*membership.State
	domains int
	started int
	queue   []datagram
	sent    map[string]traffic
	// revision is the newest one in force.
	revision int64
}

type datagram struct {
	address string
	data    []byte
}

type traffic struct{ messages, bytes int }

// newGossip starts instances that report as much as fits.
func newGossip(instances, domains int) *gossip {
	g := &gossip{
		now: simulatedStart, random: rand.New(rand.NewPCG(1, uint64(instances))),
		nodes: map[string]*membership.State{}, domains: domains, sent: map[string]traffic{},
	}
	for range instances {
		g.start(g.started % domains)
	}
	g.hint()
	return g
}

// start adds an instance with a new name and address.
func (g *gossip) start(domain int) {
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
	g.nodes[identity.Address] = state
}

// hint gives all instances the current instance list.
func (g *gossip) hint() {
	var candidates []membership.Candidate
	for _, state := range g.nodes {
		self := state.Self()
		candidates = append(candidates, membership.Candidate{FailureDomain: self.FailureDomain, Address: self.Address})
	}
	for _, state := range g.nodes {
		state.SetCandidates(candidates)
	}
}

// replaceDomain ends all instances of a failure domain without notice and
// starts as many new ones.
func (g *gossip) replaceDomain(domain int) {
	ended := 0
	for address, state := range g.nodes {
		if state.Self().FailureDomain == domainName(domain) {
			delete(g.nodes, address)
			ended++
		}
	}
	for range ended {
		g.start(domain)
	}
	g.hint()
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

// emit sends the messages of one instance. Revisions that it hears of are in
// force at once.
func (g *gossip) emit(state *membership.State, outputs []membership.Output) error {
	for _, output := range outputs {
		switch out := output.(type) {
		case membership.Send:
			data, err := peer.Encode(out.Message)
			if err != nil {
				return err
			}
			used := g.sent[state.Self().Address]
			g.sent[state.Self().Address] = traffic{used.messages + 1, used.bytes + len(data) + datagramHeader}
			g.queue = append(g.queue, datagram{out.Address, data})
		case membership.NewRevision:
			if err := g.emit(state, state.SetRevision(out.Revision, false)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (g *gossip) deliver() error {
	for len(g.queue) > 0 {
		next := g.queue[0]
		g.queue = g.queue[1:]
		state, ok := g.nodes[next.address]
		if !ok {
			continue // the instance has ended
		}
		message, err := peer.Decode(next.data)
		if err != nil {
			return err
		}
		if err := g.emit(state, state.Receive(g.now, message)); err != nil {
			return err
		}
	}
	return nil
}

// rounds lets heartbeat intervals pass; instances tick at different moments.
func (g *gossip) rounds(n int) error {
	for range n {
		order := make([]*membership.State, 0, len(g.nodes))
		for _, state := range g.nodes {
			order = append(order, state)
		}
		start := g.now
		for i, state := range order {
			g.now = start.Add(membership.Interval * time.Duration(i) / time.Duration(len(order)))
			if err := g.emit(state, state.Tick(g.now)); err != nil {
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

// publish puts the next revision in force at one instance and counts the rounds
// until all have it.
func (g *gossip) publish() (rounds int, err error) {
	g.revision++
	for _, state := range g.nodes {
		if err := g.emit(state, state.SetRevision(g.revision, true)); err != nil {
			return 0, err
		}
		break
	}
	if err := g.deliver(); err != nil {
		return 0, err
	}
	for ; rounds < maxSpreadRounds && !g.haveRevision(); rounds++ {
		if err := g.rounds(1); err != nil {
			return rounds, err
		}
	}
	return rounds, nil
}

func (g *gossip) haveRevision() bool {
	for _, state := range g.nodes {
		if state.Self().Revision < g.revision {
			return false
		}
	}
	return true
}

// total returns the traffic since the last call, and the largest number of bytes
// of one instance.
func (g *gossip) total() (all traffic, largest int) {
	for _, used := range g.sent {
		all.messages += used.messages
		all.bytes += used.bytes
		largest = max(largest, used.bytes)
	}
	clear(g.sent)
	return all, largest
}

// wrongViews counts the instances of a failure domain that do not see exactly
// its running members.
func (g *gossip) wrongViews(domain int) int {
	var members []*membership.State
	for _, state := range g.nodes {
		if state.Self().FailureDomain == domainName(domain) {
			members = append(members, state)
		}
	}
	wrong := 0
	for _, state := range members {
		right := len(state.LiveMembers()) == len(members)
		for _, record := range state.LiveMembers() {
			_, running := g.nodes[record.Address]
			right = right && running
		}
		if !right {
			wrong++
		}
	}
	return wrong
}
