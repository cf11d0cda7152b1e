// Package engine chooses the model server for a prompt: the one that is likely to
// hold the prompt's shared parts in its cache, unless it has too much to do, fails
// or stands far from where its inputs are made. It does no I/O and reads no clock.
package engine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadFactor and loadSlack bound the requests of a server, as a multiple of the
	// mean and above it, beyond which prompts go to the next one.
	loadFactor = 1.5
	loadSlack  = 2
	// failurePause is how long a server that failed gets no new prompts; it doubles
	// with each failure in a row up to maxFailurePause.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// slowFactor marks a server whose first events take this multiple of the
	// typical time.
	slowFactor = 3.0
	// delayWeight is the weight of the newest delay in the mean of a server.
	delayWeight = 0.3
	// delayLife is how long the delay of a server is believed.
	delayLife = 3 * time.Second
	// farWeight is the weight of servers in failure domains without makers of the
	// inputs.
	farWeight = 0.02
)

// Server is one model server.
type Server struct {
	ID            string
	Region        string
	FailureDomain string
	// Incarnation rises with each restart, which empties the cache.
	Incarnation int64
}

type state struct {
	Server
	hash        uint64
	inFlight    int
	failures    int
	pausedUntil time.Time
	delay       float64
	delayAt     time.Time
}

// Set is the model servers of one service as one instance sees them. It is not
// safe for concurrent use.
type Set struct {
	region string
	domain string
	byID   map[string]*state
	list   []*state
	// typical is the mean delay of all servers in seconds.
	typical float64
}

// NewSet returns an empty set for an instance in a region and failure domain.
func NewSet(region, domain string) *Set {
	return &Set{region: region, domain: domain, byID: map[string]*state{}}
}

// Update replaces the servers.
func (s *Set) Update(servers []Server) {
	byID := make(map[string]*state, len(servers))
	s.list = s.list[:0]
	for _, listed := range servers {
		known := s.byID[listed.ID]
		if known == nil || known.Incarnation != listed.Incarnation {
			known = &state{hash: xxhash.Sum64String(listed.ID)}
		}
		known.Server = listed
		byID[listed.ID] = known
		s.list = append(s.list, known)
	}
	s.byID = byID
}

// Query describes the server that a prompt needs.
type Query struct {
	// Prompt identifies the deepest shared part of the prompt; 0 for none.
	Prompt uint64
	// Makers is the number of servers, by failure domain, that make the inputs of
	// the request; nil for a request without inputs.
	Makers map[string]int
	// Excluded are servers that the request was already sent to.
	Excluded []string
	// Remote allows servers of other regions.
	Remote bool
}

// Pick chooses a server, or returns false when there is none. Draw is uniform in
// [0, 1); it spreads prompts without a shared part.
func (s *Set) Pick(now time.Time, q Query, draw float64) (Server, bool) {
	local := s.candidates(now, q, s.region)
	if len(local) == 0 && q.Remote {
		local = s.candidates(now, q, "")
	}
	if len(local) == 0 {
		return Server{}, false
	}
	if q.Prompt == 0 {
		q.Prompt = math.Float64bits(draw)
	}
	limit := bound(local)
	perDomain := map[string]int{}
	for _, c := range local {
		perDomain[c.FailureDomain]++
	}
	var best *state
	bestScore := math.Inf(-1)
	for _, c := range local {
		if float64(c.inFlight) > limit {
			continue
		}
		if score := weighted(q.Prompt^c.hash, s.weight(c, q, perDomain)); score > bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		best = slices.MinFunc(local, func(a, b *state) int { return a.inFlight - b.inFlight })
	}
	return best.Server, true
}

// weight is a server's part of the prompts: the makers of the inputs in its
// failure domain, divided among the servers there.
func (s *Set) weight(c *state, q Query, perDomain map[string]int) float64 {
	if len(q.Makers) == 0 {
		return 1
	}
	makers := float64(q.Makers[c.FailureDomain])
	return max(farWeight, makers) / float64(perDomain[c.FailureDomain])
}

// candidates returns the servers of a region, or of all regions for an empty one,
// that are not excluded. Paused and slow ones are left out while others remain.
func (s *Set) candidates(now time.Time, q Query, region string) []*state {
	var good, rest []*state
	for _, c := range s.list {
		switch {
		case region != "" && c.Region != region, slices.Contains(q.Excluded, c.ID):
		case now.Before(c.pausedUntil), s.slow(c, now):
			rest = append(rest, c)
		default:
			good = append(good, c)
		}
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

func (s *Set) slow(c *state, now time.Time) bool {
	return s.typical > 0 && c.delay > slowFactor*s.typical && now.Sub(c.delayAt) < delayLife
}

// bound is the number of requests beyond which a server gets no more prompts.
func bound(servers []*state) float64 {
	sum := 0
	for _, c := range servers {
		sum += c.inFlight
	}
	return loadFactor*float64(sum)/float64(len(servers)) + loadSlack
}

// weighted is the score of weighted rendezvous hashing.
func weighted(key uint64, weight float64) float64 {
	// Mixing spreads keys that differ in few bits (finalizer of splitmix64).
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	key ^= key >> 31
	unit := (float64(key>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// Started counts a request that is on its way to a server.
func (s *Set) Started(id string) {
	if c := s.byID[id]; c != nil {
		c.inFlight++
	}
}

// Finished ends a request that was started.
func (s *Set) Finished(id string) {
	if c := s.byID[id]; c != nil && c.inFlight > 0 {
		c.inFlight--
	}
}

// FirstEvent records the time from a send to the first event of its answer.
func (s *Set) FirstEvent(id string, delay time.Duration, now time.Time) {
	c := s.byID[id]
	if c == nil {
		return
	}
	c.failures = 0
	seconds := delay.Seconds()
	if c.delay == 0 || now.Sub(c.delayAt) > delayLife {
		c.delay = seconds
	} else {
		c.delay += delayWeight * (seconds - c.delay)
	}
	c.delayAt = now
	if s.typical == 0 {
		s.typical = seconds
	} else {
		s.typical += delayWeight / 4 * (seconds - s.typical)
	}
}

// Typical returns the typical time from a send to the first event, 0 while none
// was measured.
func (s *Set) Typical() time.Duration {
	return time.Duration(s.typical * float64(time.Second))
}

// Failed records a send that broke.
func (s *Set) Failed(id string, now time.Time) {
	if c := s.byID[id]; c != nil {
		c.failures++
		c.pausedUntil = now.Add(min(maxFailurePause, failurePause<<min(c.failures-1, 8)))
	}
}

// Refused records a server that did not take a request.
func (s *Set) Refused(id string, now time.Time) {
	if c := s.byID[id]; c != nil {
		c.pausedUntil = now.Add(failurePause / 2)
	}
}
