package peer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// datagramHeaderBytes is the size of the IP and UDP headers.
const datagramHeaderBytes = 28

// fleet runs instances in memory and delivers their encoded heartbeats.
type fleet struct {
	tb     testing.TB
	now    time.Time
	random *rand.Rand
	// loss is the share of datagrams that are lost.
	loss      float64
	instances map[string]*membership.State
	// order holds the addresses of the instances in the order in which they tick.
	order []string
	queue []datagram
	sent  int
	bytes int
	// largestBytes is the length of the largest datagram.
	largestBytes int
}

type datagram struct {
	address string
	data    []byte
}

// newFleet starts instances whose messages hold as many entries as fit.
func newFleet(tb testing.TB, instances, domains int, loss float64) *fleet {
	f := &fleet{tb: tb, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, uint64(instances))), loss: loss,
		instances: map[string]*membership.State{}}
	var candidates []membership.Candidate
	for i := range instances {
		identity := membership.Identity{ID: fmt.Sprintf("entry-instance-%03d", i), FailureDomain: fmt.Sprintf("failure-domain-%02d", i%domains),
			Address: fmt.Sprintf("10.20.%d.%d:7000", 100+i/200, i%200), Incarnation: uint64(f.now.Unix())}
		state := membership.New(identity, rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())), f.now)
		state.SetInFlightCounts(sampleCounts())
		state.SetDemand(sampleDemand(i))
		state.SetServerLimits(sampleLimits())
		state.SetStragglers([]membership.Straggler{{Server: "backend-server-0007", Remaining: time.Hour}})
		f.instances[identity.Address] = state
		f.order = append(f.order, identity.Address)
		candidates = append(candidates, membership.Candidate{FailureDomain: identity.FailureDomain, Address: identity.Address})
	}
	f.random.Shuffle(len(f.order), func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	for _, state := range f.instances {
		state.SetCandidates(candidates)
	}
	return f
}

func sampleCounts() []membership.InFlightCount {
	var counts []membership.InFlightCount
	for i := range 56 {
		counts = append(counts, membership.InFlightCount{Server: fmt.Sprintf("backend-server-%04d", i), InFlight: i})
	}
	return counts
}

func sampleLimits() (limits []membership.ServerLimit) {
	for i := range 56 {
		limits = append(limits, membership.ServerLimit{Entry: ratelimit.Entry{Server: fmt.Sprintf("backend-server-%04d", i), Incarnation: 1_700_000_000_000, Sequence: 9, Rate: 1000, Ended: true}})
	}
	return limits
}

func sampleDemand(instance int) []membership.Demand {
	var demand []membership.Demand
	for i := range membership.MaxDemand {
		demand = append(demand, membership.Demand{Organisation: fmt.Sprintf("organisation-%05d", (instance+i)%100), MilliPerSecond: 2500})
	}
	return demand
}

// emit queues the messages of one instance. A new revision in the outputs is in force
// at the instance immediately.
func (f *fleet) emit(state *membership.State, outputs []membership.Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case membership.Send:
			f.send(out)
		case membership.NewRevision:
			f.emit(state, state.SetRevision(out.Revision, false))
		}
	}
}

func (f *fleet) send(out membership.Send) {
	data, err := Encode(out.Message)
	if err != nil {
		f.tb.Fatal(err)
	}
	if len(data) > out.Message.Bytes() {
		f.tb.Fatalf("encoded message has %d bytes, its bound is %d", len(data), out.Message.Bytes())
	}
	f.sent++
	f.bytes += len(data) + datagramHeaderBytes
	f.largestBytes = max(f.largestBytes, len(data))
	if f.random.Float64() >= f.loss {
		f.queue = append(f.queue, datagram{out.Address, data})
	}
}

func (f *fleet) deliver() {
	for len(f.queue) > 0 {
		next := f.queue[0]
		f.queue = f.queue[1:]
		message, err := Decode(next.data)
		if err != nil {
			f.tb.Fatal(err)
		}
		state := f.instances[next.address]
		f.emit(state, state.Receive(f.now, message))
	}
}

// round advances the time by one interval, in which the instances tick one after
// another.
func (f *fleet) round() {
	start := f.now
	for i, address := range f.order {
		f.now = start.Add(membership.Interval * time.Duration(i) / time.Duration(len(f.order)))
		f.emit(f.instances[address], f.instances[address].Tick(f.now))
		f.deliver()
	}
	f.now = start.Add(membership.Interval)
}

// roundsUntil returns the number of rounds until all instances satisfy a condition,
// at most 100.
func (f *fleet) roundsUntil(condition func(*membership.State) bool) int {
	for n := range 100 {
		reached := true
		for _, state := range f.instances {
			reached = reached && condition(state)
		}
		if reached {
			return n
		}
		f.round()
	}
	return 100
}
