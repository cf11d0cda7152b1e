package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// Load and events of the experiment limits: one server with a limit, and more requests for it
// than it takes.
const (
	limitServer = "s"
	// limitDemand is the demand for the server as a multiple of its limit.
	limitDemand = 4
	limitPeriod = 100 * time.Second
	limitStep   = 5 * time.Millisecond
	// limitWindow, limitFactor and limitSlack are the users' bound: in any limitWindow at most
	// limitFactor times the limit, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// ownerLostAt is when the instance that gives out the permits is lost, ownerCutFrom and
	// ownerCutUntil when some instances reach none of the others.
	ownerLostAt   = 40 * time.Second
	ownerCutFrom  = 60 * time.Second
	ownerCutUntil = 80 * time.Second
	// calmFrom and ownerLostAt bound the period for which the used share is reported.
	calmFrom = 10 * time.Second
	// lossDetection is how long it takes until an instance counts another one as lost.
	lossDetection       = 5 * time.Second
	lossDetectionSpread = time.Second
	// permitTimeout is how long an instance waits for one that does not answer.
	permitTimeout = 150 * time.Millisecond
	cutShare      = 0.3
	// skewedShare is the share of the demand that one instance has when it is skewed.
	skewedShare    = 0.8
	gossipDelay    = 2 * time.Second
	policyNoLimit  = "none"
	policyEqual    = "equal shares"
	policyGossiped = "counts by gossip"
)

var (
	limitPolicies = []string{PolicyColtsfootdrift, policyNoLimit, policyEqual, policyGossiped}
	limitFleets   = []int{9, 30, 100, 295, 1000}
	limitRates    = []ratelimit.Rate{0.3, 1, 20}
)

// limits compares how instances keep a limit that a server names for all of them together,
// through the loss of the instance that gives out permits and through a cut.
var limits = scenario{
	policies: limitPolicies,
	figures:  limitFigureNames(),
	goals: []Goal{
		{Figure: "most of allowed 295", Bound: 1}, {Figure: "most of allowed 1000", Bound: 1},
		{Figure: "used 295", AtLeast: true, Bound: 0.7},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		if !slices.Contains(limitPolicies, policy) {
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		figures := map[string]float64{}
		for _, size := range limitFleets {
			worst := limitFigures{used: 1}
			for _, rate := range limitRates {
				for _, skewed := range []bool{false, true} {
					worst.add(newLimitSim(policy, size, rate, skewed, seed).run())
				}
			}
			figures[limitFigure("most of allowed", size)] = worst.mostOfAllowed
			figures[limitFigure("used", size)] = worst.used
			figures[limitFigure("asks of one instance per s", size)] = worst.asksPerSecond
		}
		return figures, nil
	},
}

func limitFigure(name string, size int) string { return name + " " + strconv.Itoa(size) }

func limitFigureNames() (names []string) {
	for _, name := range []string{"most of allowed", "used", "asks of one instance per s"} {
		for _, size := range limitFleets {
			names = append(names, limitFigure(name, size))
		}
	}
	return names
}

// limitFigures are the figures of one simulation.
type limitFigures struct {
	// mostOfAllowed is the largest number of requests in a window relative to the allowed one.
	mostOfAllowed float64
	// used is the share of the limit that is used in calm times.
	used float64
	// asksPerSecond is the rate at which the busiest instance is asked for permits.
	asksPerSecond float64
}

// add keeps the worse of two figures.
func (f *limitFigures) add(other limitFigures) {
	f.mostOfAllowed = max(f.mostOfAllowed, other.mostOfAllowed)
	f.used = min(f.used, other.used)
	f.asksPerSecond = max(f.asksPerSecond, other.asksPerSecond)
}

// limitInstance is one instance.
type limitInstance struct {
	// cut is true for an instance on the smaller side of the cut.
	cut bool
	// noticesAfter is how long after a loss the instance knows of it.
	noticesAfter time.Duration
	// askAgain is when the instance asks for a permit again, tokens its own bucket.
	askAgain time.Time
	tokens   float64
	filled   time.Time
}

// limitSim simulates the requests to one server.
type limitSim struct {
	policy    string
	rate      ratelimit.Rate
	skewed    bool
	random    *rand.Rand
	instances []limitInstance
	start     time.Time
	sent      []time.Time
	// owners are the instances that give out permits in turn: the first one, its successor,
	// and the one of the smaller side of the cut.
	owners [3]limitOwner
}

type limitOwner struct {
	allocator *ratelimit.Allocator
	asks      int
}

func newLimitSim(policy string, size int, rate ratelimit.Rate, skewed bool, seed uint64) *limitSim {
	s := &limitSim{policy: policy, rate: rate, skewed: skewed, random: rand.New(rand.NewPCG(seed, uint64(size))), start: time.Unix(1_700_000_000, 0)}
	for i := range size {
		s.instances = append(s.instances, limitInstance{
			cut:          float64(i) < cutShare*float64(size),
			noticesAfter: lossDetection + time.Duration((2*s.random.Float64()-1)*float64(lossDetectionSpread)),
			filled:       s.start, tokens: 1,
		})
	}
	for i := range s.owners {
		s.owners[i].allocator = ratelimit.NewAllocator()
	}
	return s
}

func (s *limitSim) run() limitFigures {
	demandPerStep := limitDemand * float64(s.rate) * limitStep.Seconds()
	for now := s.start; now.Before(s.start.Add(limitPeriod)); now = now.Add(limitStep) {
		for owed := demandPerStep; owed > 0; owed-- {
			if owed >= 1 || s.random.Float64() < owed {
				s.request(now, &s.instances[s.pick()])
			}
		}
	}
	return s.figures()
}

// pick returns the instance at which the next request arrives.
func (s *limitSim) pick() int {
	if s.skewed && s.random.Float64() < skewedShare {
		return len(s.instances) - 1
	}
	return s.random.IntN(len(s.instances))
}

func (s *limitSim) request(now time.Time, instance *limitInstance) {
	if s.admits(now, instance) {
		s.sent = append(s.sent, now)
	}
}

func (s *limitSim) admits(now time.Time, instance *limitInstance) bool {
	switch s.policy {
	case policyEqual:
		return instance.takeOwn(now, float64(s.rate)/float64(len(s.instances)))
	case policyGossiped:
		return float64(s.sentBefore(now.Add(-gossipDelay))) < float64(s.rate)*limitWindow.Seconds()
	case PolicyColtsfootdrift:
		return s.askOwner(now, instance)
	}
	return true
}

// takeOwn takes a permit from the instance's own bucket.
func (i *limitInstance) takeOwn(now time.Time, perSecond float64) bool {
	i.tokens = min(1, i.tokens+now.Sub(i.filled).Seconds()*perSecond)
	i.filled = now
	if i.tokens < 1 {
		return false
	}
	i.tokens--
	return true
}

// sentBefore returns the requests of the last limitWindow before a time.
func (s *limitSim) sentBefore(until time.Time) (n int) {
	for i := len(s.sent) - 1; i >= 0 && s.sent[i].After(until.Add(-limitWindow)); i-- {
		if !s.sent[i].After(until) {
			n++
		}
	}
	return n
}

// askOwner asks the instance that gives out permits, as far as this one knows and reaches it.
func (s *limitSim) askOwner(now time.Time, instance *limitInstance) bool {
	if now.Before(instance.askAgain) {
		return false
	}
	elapsed := now.Sub(s.start)
	owner, share, isOwner := 0, 1.0, true
	switch {
	case elapsed >= ownerCutFrom && elapsed < ownerCutUntil && instance.cut:
		// Before the loss is noticed, an instance that is not the owner is asked.
		owner, isOwner = 2, elapsed >= ownerCutFrom+lossDetection
		if isOwner {
			share = cutShare
		}
	case elapsed >= ownerLostAt:
		owner, isOwner = 1, elapsed >= ownerLostAt+lossDetection
		if elapsed >= ownerCutFrom+lossDetection && elapsed < ownerCutUntil {
			share = 1 - cutShare
		}
	}
	// The first owner answers no one after its loss; some have not noticed it and wait.
	if owner == 1 && elapsed < ownerLostAt+instance.noticesAfter && s.random.IntN(2) == 0 {
		instance.askAgain = now.Add(permitTimeout)
		return false
	}
	o := &s.owners[owner]
	o.asks++
	o.allocator.SetOwner(now, isOwner)
	wait, ok := o.allocator.Take(now, limitServer, s.rate, share)
	if !ok {
		instance.askAgain = now.Add(wait)
	}
	return ok
}

func (s *limitSim) figures() limitFigures {
	calm := 0
	for _, at := range s.sent {
		if elapsed := at.Sub(s.start); elapsed >= calmFrom && elapsed < ownerLostAt {
			calm++
		}
	}
	asks := 0
	for _, o := range s.owners {
		asks = max(asks, o.asks)
	}
	return limitFigures{
		mostOfAllowed: float64(ratelimit.MostWithin(s.sent, limitWindow)) / (limitFactor*float64(s.rate)*limitWindow.Seconds() + limitSlack),
		used:          float64(calm) / (float64(s.rate) * (ownerLostAt - calmFrom).Seconds()),
		asksPerSecond: float64(asks) / limitPeriod.Seconds(),
	}
}
