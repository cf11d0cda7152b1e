package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fabric delivers messages between instances in memory.
type fabric struct {
	c      *qt.C
	now    time.Time
	random *rand.Rand
	// nodes holds the instances by address, order their addresses.
	nodes map[string]*State
	order []string
	// phases is the order in which instances tick.
	phases []int
	queue  []Send
	// loss is the share of lost messages.
	loss float64
	// cut reports whether two instances can't reach each other.
	cut func(a, b Record) bool
	// paused instances neither tick nor receive; their last messages wait.
	paused  map[string]bool
	waiting map[string][]Message
	// removed counts removals that were reported, by member.
	removed map[string]int
	// suspected counts suspicions by the member that has them.
	suspected      map[string]int
	messages, most int
}

func newFabric(c *qt.C, seed uint64) *fabric {
	return &fabric{c: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*State{},
		paused: map[string]bool{}, waiting: map[string][]Message{}, removed: map[string]int{}, suspected: map[string]int{}}
}

// start adds instances to the failure domains; each knows one seed address.
func (f *fabric) start(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			f.add(fmt.Sprintf("entry-%02d-%03d", d, i), fmt.Sprintf("domain-%02d", d), 1)
		}
	}
	for i, address := range f.order {
		seeds := []Candidate{{Address: f.order[0]}}
		if i >= perDomain {
			first := f.order[i-i%perDomain]
			seeds = []Candidate{{FailureDomain: f.nodes[first].self.FailureDomain, Address: first}, {FailureDomain: "domain-00", Address: f.order[0]}}
		}
		f.nodes[address].Hint(seeds)
	}
}

func (f *fabric) add(id, domain string, incarnation uint64) *State {
	address := fmt.Sprintf("10.0.0.1:%d", 10000+len(f.order))
	state := New(Identity{id, domain, address, incarnation}, rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64())), f.now)
	f.nodes[address] = state
	f.order = append(f.order, address)
	return state
}

func (f *fabric) stop(address string) { delete(f.nodes, address) }

// emit takes the outputs of one instance.
func (f *fabric) emit(from *State, outputs []Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case Send:
			if size := out.Message.Bytes(); size > MaxMessageBytes {
				f.c.Fatalf("message has %d bytes", size)
			}
			f.messages++
			f.most = max(f.most, out.Message.Bytes())
			if f.random.Float64() >= f.loss {
				f.queue = append(f.queue, out)
			}
		case Changed:
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
func (f *fabric) deliver() {
	for len(f.queue) > 0 {
		out := f.queue[0]
		f.queue = f.queue[1:]
		to, up := f.nodes[out.Address]
		switch {
		case !up || f.cut != nil && f.cut(out.Message.From, to.self):
		case f.paused[out.Address]:
			const socketBuffer = 50
			if len(f.waiting[out.Address]) < socketBuffer {
				f.waiting[out.Address] = append(f.waiting[out.Address], out.Message)
			}
		default:
			f.emit(to, to.Receive(f.now, out.Message))
		}
	}
}

// round lets one interval pass. Instances tick one after the other in an order
// that stays, as those with independent timers do.
func (f *fabric) round() {
	if len(f.phases) != len(f.order) {
		f.phases = f.random.Perm(len(f.order))
	}
	start := f.now
	for i, phase := range f.phases {
		f.now = start.Add(Interval * time.Duration(i) / time.Duration(len(f.phases)))
		address := f.order[phase]
		if node, up := f.nodes[address]; up && !f.paused[address] {
			f.emit(node, node.Tick(f.now))
			f.deliver()
		}
	}
	f.now = start.Add(Interval)
}

func (f *fabric) rounds(n int) {
	for range n {
		f.round()
	}
}

// resume ends a pause.
func (f *fabric) resume(address string) {
	f.paused[address] = false
	f.emit(f.nodes[address], f.nodes[address].Tick(f.now))
	for _, message := range f.waiting[address] {
		f.emit(f.nodes[address], f.nodes[address].Receive(f.now, message))
	}
	f.waiting[address] = nil
	f.deliver()
}

// until counts rounds until all running instances satisfy a condition.
func (f *fabric) until(most int, condition func(*State) bool) int {
	for n := range most {
		if f.all(condition) {
			return n
		}
		f.round()
	}
	return most
}

func (f *fabric) all(condition func(*State) bool) bool {
	for _, node := range f.nodes {
		if !condition(node) {
			return false
		}
	}
	return true
}

func live(n int) func(*State) bool {
	return func(s *State) bool { return len(s.Live()) == n }
}

// forSeeds runs a test with fixed seeds.
func forSeeds(t *testing.T, run func(f *fabric)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(newFabric(qt.New(t), seed)) })
	}
}
