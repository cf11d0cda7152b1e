package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testNetwork simulates a network: it delivers messages between instances in memory.
type testNetwork struct {
	c      *qt.C
	now    time.Time
	random *rand.Rand
	// instances holds the instances by address, order their addresses.
	instances map[string]*State
	order     []string
	// phases is the order in which the instances tick within an interval, as positions
	// in order.
	phases []int
	queue  []queuedMessage
	// loss is the probability that a message is lost.
	loss float64
	// delay returns how long a message to an instance takes; nil for no delay.
	delay func(to Record) time.Duration
	// partitioned reports whether two instances can't reach each other; nil for no
	// partition.
	partitioned func(a, b Record) bool
	// paused instances, by address, neither tick nor receive. Messages to them are
	// queued until they resume.
	paused            map[string]bool
	queuedWhilePaused map[string][]Message
	// removed counts the reported removals by the ID of the removed member.
	removed map[string]int
	// suspected counts the reported suspicions by the ID of the instance that reported
	// them.
	suspected map[string]int
	// suspectedMembers counts the reported suspicions by the ID of the suspected member.
	suspectedMembers                 map[string]int
	messages, bytes, maxMessageBytes int
}

// queuedMessage is a message that is delivered at a time.
type queuedMessage struct {
	Send
	at time.Time
}

func newTestNetwork(c *qt.C, seed uint64) *testNetwork {
	return &testNetwork{c: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), instances: map[string]*State{},
		paused: map[string]bool{}, queuedWhilePaused: map[string][]Message{}, removed: map[string]int{}, suspected: map[string]int{},
		suspectedMembers: map[string]int{}}
}

// start adds a number of instances to each of a number of failure domains. Each
// instance knows the address of the first instance of its failure domain, and those
// outside the first failure domain that of the very first instance.
func (net *testNetwork) start(domains, perDomain int) {
	for d := range domains {
		for i := range perDomain {
			net.add(fmt.Sprintf("entry-%02d-%03d", d, i), fmt.Sprintf("domain-%02d", d), 1)
		}
	}
	for i, address := range net.order {
		seeds := []Candidate{{Address: net.order[0]}}
		if i >= perDomain {
			first := net.order[i-i%perDomain]
			seeds = []Candidate{{FailureDomain: net.instances[first].self.FailureDomain, Address: first}, {FailureDomain: "domain-00", Address: net.order[0]}}
		}
		net.instances[address].SetCandidates(seeds)
	}
}

// startFromList adds instances of one failure domain, each of which knows a part of the
// addresses from a list.
func (net *testNetwork) startFromList(size int) {
	var candidates []Candidate
	for i := range size {
		net.add(fmt.Sprintf("entry-%04d", i), "domain-00", 1)
		candidates = append(candidates, Candidate{Address: net.order[i]})
	}
	for _, instance := range net.instances {
		instance.SetCandidates(candidates)
	}
}

func (net *testNetwork) add(id, domain string, incarnation uint64) *State {
	address := fmt.Sprintf("10.0.0.1:%d", 10000+len(net.order))
	state := New(Identity{ID: id, FailureDomain: domain, Address: address, Incarnation: incarnation}, rand.New(rand.NewPCG(net.random.Uint64(), net.random.Uint64())), net.now)
	net.instances[address] = state
	net.order = append(net.order, address)
	return state
}

func (net *testNetwork) stop(address string) { delete(net.instances, address) }

// apply queues the messages that an instance sends and counts the changes that it
// reports. It fails the test if a message is too large.
func (net *testNetwork) apply(from *State, outputs []Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case Send:
			if size := out.Message.Bytes(); size > MaxMessageBytes {
				net.c.Fatalf("message has %d bytes", size)
			}
			net.messages++
			net.bytes += out.Message.Bytes()
			net.maxMessageBytes = max(net.maxMessageBytes, out.Message.Bytes())
			if net.random.Float64() >= net.loss {
				net.enqueue(out)
			}
		case MemberChanged:
			switch out.Record.State {
			case Removed:
				net.removed[out.Record.ID]++
			case Suspected:
				net.suspected[from.self.ID]++
				net.suspectedMembers[out.Record.ID]++
			}
		}
	}
}

func (net *testNetwork) enqueue(out Send) {
	at := net.now
	if to, running := net.instances[out.Address]; running && net.delay != nil {
		at = at.Add(net.delay(to.self))
	}
	position := len(net.queue)
	for position > 0 && net.queue[position-1].at.After(at) {
		position--
	}
	net.queue = slices.Insert(net.queue, position, queuedMessage{out, at})
}

// deliver delivers the queued messages that are due and the messages sent in response.
func (net *testNetwork) deliver() {
	for len(net.queue) > 0 && !net.queue[0].at.After(net.now) {
		out := net.queue[0]
		net.queue = net.queue[1:]
		to, running := net.instances[out.Address]
		switch {
		case !running || net.partitioned != nil && net.partitioned(out.Message.From, to.self):
		case net.paused[out.Address]:
			const socketBufferMessages = 50
			if len(net.queuedWhilePaused[out.Address]) < socketBufferMessages {
				net.queuedWhilePaused[out.Address] = append(net.queuedWhilePaused[out.Address], out.Message)
			}
		default:
			net.apply(to, to.Receive(net.now, out.Message))
		}
	}
}

// round simulates one interval. The instances tick one after the other in an order
// that stays the same, like instances with independent timers.
func (net *testNetwork) round() {
	if len(net.phases) != len(net.order) {
		net.phases = net.random.Perm(len(net.order))
	}
	start := net.now
	for i, phase := range net.phases {
		net.now = start.Add(Interval * time.Duration(i) / time.Duration(len(net.phases)))
		net.deliver()
		address := net.order[phase]
		if instance, running := net.instances[address]; running && !net.paused[address] {
			net.apply(instance, instance.Tick(net.now))
			net.deliver()
		}
	}
	net.now = start.Add(Interval)
}

func (net *testNetwork) rounds(n int) {
	for range n {
		net.round()
	}
}

// resume ends the pause of an instance and delivers its queued messages.
func (net *testNetwork) resume(address string) {
	net.paused[address] = false
	net.apply(net.instances[address], net.instances[address].Tick(net.now))
	for _, message := range net.queuedWhilePaused[address] {
		net.apply(net.instances[address], net.instances[address].Receive(net.now, message))
	}
	net.queuedWhilePaused[address] = nil
	net.deliver()
}

// roundsUntil simulates rounds until all running instances satisfy a condition, at
// most maxRounds, and returns how many it simulated.
func (net *testNetwork) roundsUntil(maxRounds int, condition func(*State) bool) int {
	for n := range maxRounds {
		if net.all(condition) {
			return n
		}
		net.round()
	}
	return maxRounds
}

func (net *testNetwork) all(condition func(*State) bool) bool {
	for _, instance := range net.instances {
		if !condition(instance) {
			return false
		}
	}
	return true
}

func live(n int) func(*State) bool {
	return func(s *State) bool { return len(s.LiveMembers()) == n }
}

// forSeeds runs a test with each of four fixed seeds.
func forSeeds(t *testing.T, run func(net *testNetwork)) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(newTestNetwork(qt.New(t), seed)) })
	}
}
