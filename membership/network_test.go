package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testNetwork delivers messages between instances in memory.
type testNetwork struct {
	c      *qt.C
	now    time.Time
	random *rand.Rand
	// instances holds the instances by address, order their addresses.
	instances map[string]*State
	order     []string
	// phases is the order in which instances tick.
	phases []int
	queue  []Send
	// loss is the share of lost messages.
	loss float64
	// partitioned reports whether two instances can't reach each other.
	partitioned func(a, b Record) bool
	// paused instances neither tick nor receive; their last messages wait.
	paused            map[string]bool
	queuedWhilePaused map[string][]Message
	// removed counts removals that were reported, by member.
	removed map[string]int
	// suspected counts suspicions by the member that has them.
	suspected                 map[string]int
	messages, maxMessageBytes int
}

func newTestNetwork(c *qt.C, seed uint64) *testNetwork {
	return &testNetwork{c: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*State{},
		paused: map[string]bool{}, queuedWhilePaused: map[string][]Message{}, removed: map[string]int{}, suspected: map[string]int{}}
}

// start adds instances to the failure domains; each knows one seed address.
func (f *testNetwork) start(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			f.add(fmt.Sprintf("entry-%02d-%03d", d, i), fmt.Sprintf("domain-%02d", d), 1)
		}
	}
	for i, address := range f.order {
		seeds := []Candidate{{Address: f.order[0]}}
		if i >= perDomain {
			first := f.order[i-i%perDomain]
			seeds = []Candidate{{FailureDomain: f.instances[first].self.FailureDomain, Address: first}, {FailureDomain: "domain-00", Address: f.order[0]}}
		}
		f.instances[address].SetCandidates(seeds)
	}
}

func (f *testNetwork) add(id, domain string, incarnation uint64) *State {
	address := fmt.Sprintf("10.0.0.1:%d", 10000+len(f.order))
	state := New(Identity{id, domain, address, incarnation}, rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())), f.now)
	f.instances[address] = state
	f.order = append(f.order, address)
	return state
}

func (f *testNetwork) stop(address string) { delete(f.instances, address) }

// apply takes the outputs of one instance.
func (f *testNetwork) apply(from *State, outputs []Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case Send:
			if size := out.Message.Bytes(); size > MaxMessageBytes {
				f.c.Fatalf("message has %d bytes", size)
			}
			f.messages++
			f.maxMessageBytes = max(f.maxMessageBytes, out.Message.Bytes())
			if f.random.Float64() >= f.loss {
				f.queue = append(f.queue, out)
			}
		case MemberChanged:
			switch out.Record.State {
			case Removed:
				f.removed[out.Record.ID]++
			case Suspected:
				f.suspected[from.self.ID]++
			}
		}
	}
}

// deliver passes all messages on, those that they cause included.
func (f *testNetwork) deliver() {
	for len(f.queue) > 0 {
		out := f.queue[0]
		f.queue = f.queue[1:]
		to, up := f.instances[out.Address]
		switch {
		case !up || f.partitioned != nil && f.partitioned(out.Message.From, to.self):
		case f.paused[out.Address]:
			const socketBuffer = 50
			if len(f.queuedWhilePaused[out.Address]) < socketBuffer {
				f.queuedWhilePaused[out.Address] = append(f.queuedWhilePaused[out.Address], out.Message)
			}
		default:
			f.apply(to, to.Receive(f.now, out.Message))
		}
	}
}

// round lets one interval pass. Instances tick one after the other in an order
// that stays, as those with independent timers do.
func (f *testNetwork) round() {
	if len(f.phases) != len(f.order) {
		f.phases = f.random.Perm(len(f.order))
	}
	start := f.now
	for i, phase := range f.phases {
		f.now = start.Add(Interval * time.Duration(i) / time.Duration(len(f.phases)))
		address := f.order[phase]
		if node, up := f.instances[address]; up && !f.paused[address] {
			f.apply(node, node.Tick(f.now))
			f.deliver()
		}
	}
	f.now = start.Add(Interval)
}

func (f *testNetwork) rounds(n int) {
	for range n {
		f.round()
	}
}

// resume ends a pause.
func (f *testNetwork) resume(address string) {
	f.paused[address] = false
	f.apply(f.instances[address], f.instances[address].Tick(f.now))
	for _, message := range f.queuedWhilePaused[address] {
		f.apply(f.instances[address], f.instances[address].Receive(f.now, message))
	}
	f.queuedWhilePaused[address] = nil
	f.deliver()
}

// roundsUntil counts rounds roundsUntil all running instances satisfy a condition.
func (f *testNetwork) roundsUntil(most int, condition func(*State) bool) int {
	for n := range most {
		if f.all(condition) {
			return n
		}
		f.round()
	}
	return most
}

func (f *testNetwork) all(condition func(*State) bool) bool {
	for _, node := range f.instances {
		if !condition(node) {
			return false
		}
	}
	return true
}

func live(n int) func(*State) bool {
	return func(s *State) bool { return len(s.LiveMembers()) == n }
}

// forSeeds runs a test with fixed seeds.
func forSeeds(t *testing.T, run func(f *testNetwork)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(newTestNetwork(qt.New(t), seed)) })
	}
}
