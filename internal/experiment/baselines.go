package experiment

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
)

// Policies that are compared. PolicyColtsfootdrift is the policy of this system, the
// others are baselines.
const (
	PolicyColtsfootdrift = "coltsfootdrift"
	PolicyRoundRobin     = "round robin"
	PolicyLeastRequests  = "least requests"
	PolicyTwoChoices     = "two choices, reported load"
	PolicyLatencyAverage = "latency average"
	// latencyWeight is the weight of a new measurement in the moving average of the
	// latency.
	latencyWeight = 0.2
	// unmeasuredLatency is the moving average of a server without a measurement.
	unmeasuredLatency = 0
)

// Policies lists all policies, that of this system first.
var Policies = []string{PolicyColtsfootdrift, PolicyRoundRobin, PolicyLeastRequests, PolicyTwoChoices, PolicyLatencyAverage}

// baseline is an entry.Picker that doesn't take regions, peers or stragglers into
// account.
type baseline struct {
	policy  string
	servers []backend.Server

	mu           sync.Mutex
	random       *rand.Rand
	next         int
	inFlight     []int
	reportedLoad []int
	// meanLatency holds the moving average of the latency of each server in seconds.
	meanLatency []float64
}

func newBaseline(policy string, servers []backend.Server, seed uint64) *baseline {
	random := rand.New(rand.NewPCG(seed, 2))
	return &baseline{
		policy: policy, servers: servers, random: random, next: random.IntN(len(servers)),
		inFlight: make([]int, len(servers)), reportedLoad: make([]int, len(servers)), meanLatency: make([]float64, len(servers)),
	}
}

// Pick chooses a server by the policy.
func (b *baseline) Pick(query entry.Query) (entry.PickedServer, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []int
	for i, server := range b.servers {
		if !slices.Contains(query.Excluded, server.ID) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	chosen := b.choose(candidates)
	b.inFlight[chosen]++
	return &baselinePickedServer{b, chosen, time.Now()}, true
}

func (b *baseline) choose(candidates []int) int {
	b.next++
	switch b.policy {
	case PolicyLeastRequests:
		return b.lowest(candidates, func(i int) float64 { return float64(b.inFlight[i]) })
	case PolicyLatencyAverage:
		return b.lowest(candidates, func(i int) float64 { return b.meanLatency[i] })
	case PolicyTwoChoices:
		pair := []int{candidates[b.random.IntN(len(candidates))], candidates[b.random.IntN(len(candidates))]}
		return b.lowest(pair, func(i int) float64 { return float64(b.reportedLoad[i]) })
	default:
		return candidates[b.next%len(candidates)]
	}
}

// lowest returns a candidate with the lowest value; among several it returns the first
// one after a random start.
func (b *baseline) lowest(candidates []int, value func(int) float64) int {
	start := b.random.IntN(len(candidates))
	best := candidates[start]
	for step := range candidates {
		i := candidates[(start+step)%len(candidates)]
		if value(i) < value(best) {
			best = i
		}
	}
	return best
}

func (b *baseline) report(i int, report backend.LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedLoad[i] = report.Running + report.Waiting
}

// baselinePickedServer implements entry.PickedServer: a call in flight.
type baselinePickedServer struct {
	*baseline
	index   int
	started time.Time
}

// Server returns the chosen server.
func (p *baselinePickedServer) Server() backend.Server { return p.servers[p.index] }

// FirstByte does nothing.
func (p *baselinePickedServer) FirstByte() {}

// Done ends the call and updates the moving average of its server. A server without a
// measurement counts as the fastest.
func (p *baselinePickedServer) Done(error, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight[p.index]--
	took := time.Since(p.started).Seconds()
	if p.meanLatency[p.index] == unmeasuredLatency {
		p.meanLatency[p.index] = took
	}
	p.meanLatency[p.index] += latencyWeight * (took - p.meanLatency[p.index])
}
