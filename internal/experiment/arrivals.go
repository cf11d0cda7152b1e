package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a request kind of an experiment.
type kind struct {
	name     string
	class    string
	deadline time.Duration
	body     string
	// linkBytes is the most bytes that a request may move between regions.
	linkBytes int64
}

// flow is a constant rate of requests of one kind from one region.
type flow struct {
	kind      int
	region    int
	perSecond float64
}

// phase is a period with constant flows.
type phase struct {
	length time.Duration
	flows  []flow
}

// arrival is one request, scheduled before the run.
type arrival struct {
	// at is the intended send time, counted from the start of the run.
	at     time.Duration
	phase  int
	kind   int
	region int
	// pick is a random number that selects an instance of the region.
	pick uint32
}

// schedule generates the arrivals of all phases, ordered by time. Each flow is a
// Poisson process.
func schedule(phases []phase, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []arrival
	var start time.Duration
	for number, p := range phases {
		for _, f := range p.flows {
			at := start
			for f.perSecond > 0 {
				at += time.Duration(random.ExpFloat64() / f.perSecond * float64(time.Second))
				if at >= start+p.length {
					break
				}
				arrivals = append(arrivals, arrival{at, number, f.kind, f.region, random.Uint32()})
			}
		}
		start += p.length
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}
