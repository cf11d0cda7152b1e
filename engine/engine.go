// Package engine chooses the model server for a prompt: the one at which its first
// event is expected soonest, by what each server has to read before it and what
// parts of the prompt it is believed to keep. It does no I/O and reads no clock.
package engine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readRate is the first estimate of the prompt tokens that a server reads in a
	// second. Reports of first events correct it.
	readRate = 40_000
	// rereadPenalty is what a shared token that has to be read again costs beyond
	// its time, because other requests wait for it.
	rereadPenalty = 60 * time.Microsecond
	// crossPenalty is what a megabyte of inputs from another failure domain costs.
	crossPenalty = 70 * time.Millisecond
	// placePenalty keeps prompts without other differences at the server that
	// hashing gives them.
	placePenalty = 15 * time.Millisecond
	// failurePause is how long a server that failed gets no new prompts; it doubles
	// with each failure in a row up to maxFailurePause.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
	refusedPause    = 250 * time.Millisecond
	// lagWeight is the weight of the newest delay beyond the expected one, and
	// lagLife how long it is believed.
	lagWeight = 0.4
	lagLife   = 2 * time.Second
	// typicalWeight is the weight of the newest delay in the typical one.
	typicalWeight = 0.08
	// paceWeight is the weight of the newest delay in the pace, which stays within
	// leastPace and mostPace.
	paceWeight = 0.03
	leastPace  = 0.25
	mostPace   = 6.0
	// maxParts bounds the parts that are remembered for a server.
	maxParts = 4096
)

// Server is one model server.
type Server struct {
	ID            string
	Region        string
	FailureDomain string
	// Incarnation rises with each restart, which empties the cache.
	Incarnation int64
	// CacheTokens is the memory for prompts; 0 when it is not known.
	CacheTokens int
	// CopyRate is the number of prompt tokens a second that the server can copy from
	// another one; 0 when it can't.
	CopyRate float64
}

// Part is a part of a prompt. Requests share parts; the last one is their own.
type Part struct {
	ID     string
	Tokens int
}

// kept is a part that a server is believed to keep.
type kept struct {
	tokens int
	used   time.Time
}

type state struct {
	Server
	hash uint64
	// copiedAt is when a server was last told to copy from this one.
	copiedAt time.Time
	// busyUntil is when the server is expected to have read all prompts that were
	// placed there.
	busyUntil   time.Time
	parts       map[string]kept
	tokens      int
	failures    int
	pausedUntil time.Time
	// lag is how much later first events come than expected.
	lag   time.Duration
	lagAt time.Time
}

// Scheduler is the model servers of one service in one region. It is not safe for
// concurrent use.
type Scheduler struct {
	region  string
	byID    map[string]*state
	list    []*state
	typical time.Duration
	// pace is the delay of first events relative to readRate.
	pace float64
}

// NewScheduler returns an empty set for the instances of a region.
func NewScheduler(region string) *Scheduler {
	return &Scheduler{region: region, byID: map[string]*state{}, pace: 1}
}

// SetServers replaces the servers.
func (s *Scheduler) SetServers(servers []Server) {
	byID := make(map[string]*state, len(servers))
	s.list = s.list[:0]
	for _, listed := range servers {
		known := s.byID[listed.ID]
		if known == nil || known.Incarnation != listed.Incarnation {
			known = &state{hash: xxhash.Sum64String(listed.ID), parts: map[string]kept{}}
		}
		known.Server = listed
		byID[listed.ID] = known
		s.list = append(s.list, known)
	}
	s.byID = byID
}

// Query describes the server that a prompt needs.
type Query struct {
	Prompt []Part
	// InputBytes is the size of the inputs of the request by the failure domain that
	// they are in.
	InputBytes map[string]int64
	// Excluded are servers that the request was already sent to.
	Excluded []string
	// AskOnly is true for a question before the stages run: the prompt is not
	// counted.
	AskOnly bool
}

// Placement is the choice for a prompt.
type Placement struct {
	Server string
	// Expected is the time to the first event.
	Expected time.Duration
	// FailureDomain is where the server stands.
	FailureDomain string
	// CopyFrom is the server from which the chosen one copies what it lacks of the
	// prompt; empty when it reads all of that.
	CopyFrom string
	// NewParts holds the shared parts that the server was not believed to keep.
	NewParts []Part
}

// Place chooses a server and counts the prompt there, or returns false when there
// is none. Servers of other regions are used only when the own one has none.
func (s *Scheduler) Place(now time.Time, q Query) (Placement, bool) {
	candidates := s.candidates(now, q, true)
	if len(candidates) == 0 {
		candidates = s.candidates(now, q, false)
	}
	if len(candidates) == 0 {
		return Placement{}, false
	}
	key := sharedKey(q.Prompt)
	from := s.bestSource(now, q.Prompt)
	var best *state
	var bestCost time.Duration
	var bestNeed need
	for _, c := range candidates {
		n := s.needOf(c, q.Prompt, from)
		if cost := s.cost(c, now, q, n, key); best == nil || cost < bestCost {
			best, bestCost, bestNeed = c, cost, n
		}
	}
	placed := Placement{Server: best.ID, Expected: s.expected(best, now, bestNeed), FailureDomain: best.FailureDomain}
	if q.AskOnly {
		return placed, true
	}
	if bestNeed.copied > 0 {
		placed.CopyFrom, from.server.copiedAt = from.server.ID, now
	}
	placed.NewParts = best.lacking(q.Prompt)
	s.count(best, now, q.Prompt, bestNeed)
	return placed, true
}

// candidates returns the servers that are not excluded, of the region or of all.
// Paused ones are left out while others remain.
func (s *Scheduler) candidates(now time.Time, q Query, local bool) []*state {
	var good, rest []*state
	for _, c := range s.list {
		switch {
		case local && c.Region != s.region, slices.Contains(q.Excluded, c.ID):
		case now.Before(c.pausedUntil):
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

// need is what a server has to do before the first event of a prompt, in tokens.
type need struct {
	// read tokens are read, of which reread ones are in shared parts.
	read, reread int
	// copied tokens come from another server.
	copied int
}

// needOf returns what a server has to do for a prompt.
func (s *Scheduler) needOf(c *state, prompt []Part, from source) need {
	unread, shared := c.unread(prompt)
	copied := from.copied(c, unread)
	return need{read: unread - copied, reread: max(0, shared-copied), copied: copied}
}

// expected returns the expected time to the first event at a server.
func (s *Scheduler) expected(c *state, now time.Time, n need) time.Duration {
	expected := max(0, c.busyUntil.Sub(now)) + s.work(c, n)
	if now.Sub(c.lagAt) < lagLife {
		expected += c.lag
	}
	return expected
}

// work returns the time that a server needs for a prompt.
func (s *Scheduler) work(c *state, n need) time.Duration {
	work := s.reading(n.read)
	if n.copied > 0 {
		work += time.Duration(float64(n.copied) / c.CopyRate * float64(time.Second))
	}
	return work
}

// cost returns the expected time to the first event at a server with what else
// speaks against the server.
func (s *Scheduler) cost(c *state, now time.Time, q Query, n need, key uint64) time.Duration {
	cost := s.expected(c, now, n) + time.Duration(n.reread)*rereadPenalty + time.Duration(n.copied)*copyPenalty
	const megabyte = 1e6
	for domain, bytes := range q.InputBytes {
		if domain != c.FailureDomain {
			cost += time.Duration(float64(bytes) / megabyte * float64(crossPenalty))
		}
	}
	return cost + time.Duration((1-unit(key^c.hash))*float64(placePenalty))
}

// reading returns the time in which a server reads tokens.
func (s *Scheduler) reading(tokens int) time.Duration {
	return time.Duration(s.pace * float64(tokens) / readRate * float64(time.Second))
}

// unread returns the tokens of a prompt that the server has to read, and how many
// of them are in shared parts. A part counts as kept only behind kept ones.
func (c *state) unread(prompt []Part) (all, shared int) {
	missing := false
	for i, part := range prompt {
		if _, ok := c.parts[part.ID]; !ok {
			missing = true
		}
		if !missing {
			continue
		}
		all += part.Tokens
		if i < len(prompt)-1 {
			shared += part.Tokens
		}
	}
	return all, shared
}

// count adds a prompt to what a server does and keeps.
func (s *Scheduler) count(c *state, now time.Time, prompt []Part, n need) {
	if c.busyUntil.Before(now) {
		c.busyUntil = now
	}
	c.busyUntil = c.busyUntil.Add(s.work(c, n))
	c.keep(now, prompt)
}

// keep records that the server keeps parts.
func (c *state) keep(now time.Time, parts []Part) {
	for _, part := range parts {
		c.tokens += part.Tokens - c.parts[part.ID].tokens
		c.parts[part.ID] = kept{part.Tokens, now}
	}
	for len(c.parts) > maxParts || c.CacheTokens > 0 && c.tokens > c.CacheTokens && len(c.parts) > len(parts) {
		c.forgetOldest()
	}
}

func (c *state) forgetOldest() {
	oldest := ""
	for id, part := range c.parts {
		if oldest == "" || part.used.Before(c.parts[oldest].used) {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}

// ReplaceCached replaces what a server is believed to keep by its own list.
func (s *Scheduler) ReplaceCached(server string, parts []Part) {
	c := s.byID[server]
	if c == nil {
		return
	}
	listed := make(map[string]kept, len(parts))
	c.tokens = 0
	for _, part := range parts {
		listed[part.ID] = kept{part.Tokens, c.parts[part.ID].used}
		c.tokens += part.Tokens
	}
	c.parts = listed
}

// LocalServers returns the servers of the region.
func (s *Scheduler) LocalServers() (ids []string) {
	for _, c := range s.list {
		if c.Region == s.region {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// sharedKey identifies the deepest part of a prompt that other requests share.
func sharedKey(prompt []Part) uint64 {
	switch len(prompt) {
	case 0:
		return 0
	case 1:
		return xxhash.Sum64String(prompt[0].ID)
	}
	return xxhash.Sum64String(prompt[len(prompt)-2].ID)
}

// unit spreads a key evenly over (0, 1) (finalizer of splitmix64).
func unit(key uint64) float64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	key ^= key >> 31
	return (float64(key>>11) + 0.5) / (1 << 53)
}

// ChooseDomain chooses the failure domain for a prompt whose inputs are made by a number
// of servers in each domain, by weighted rendezvous hashing. It returns an empty
// string without producers.
func ChooseDomain(prompt []Part, producers map[string]int, draw float64) string {
	key := sharedKey(prompt)
	if key == 0 {
		key = math.Float64bits(draw)
	}
	best, bestScore := "", math.Inf(-1)
	for domain, n := range producers {
		if score := -float64(n) / math.Log(unit(key^xxhash.Sum64String(domain))); score > bestScore {
			best, bestScore = domain, score
		}
	}
	return best
}

// Report is what became of a placement.
type Report struct {
	Server   string
	Expected time.Duration
	// Delay is the time from the send to the first event.
	Delay time.Duration
	// Failed is true when the send broke, Refused when the server did not take it.
	Failed, Refused bool
}

// Report learns from what became of a placement.
func (s *Scheduler) Report(now time.Time, r Report) {
	c := s.byID[r.Server]
	if c == nil {
		return
	}
	switch {
	case r.Failed:
		c.failures++
		c.pausedUntil = now.Add(min(maxFailurePause, failurePause<<min(c.failures-1, 8)))
		return
	case r.Refused:
		c.pausedUntil = now.Add(refusedPause)
		return
	}
	c.failures = 0
	late := max(0, r.Delay-r.Expected)
	if now.Sub(c.lagAt) > lagLife {
		c.lag = 0
	}
	c.lag += time.Duration(lagWeight * float64(late-c.lag))
	c.lagAt = now
	if r.Expected > 0 {
		ratio := float64(r.Delay) / float64(r.Expected)
		s.pace = min(mostPace, max(leastPace, s.pace*(1+paceWeight*(min(mostPace, ratio)-1))))
	}
	if s.typical == 0 {
		s.typical = r.Delay
	}
	s.typical += time.Duration(typicalWeight * float64(r.Delay-s.typical))
}

// TypicalDelay returns the typical time from a send to the first event, 0 while none
// was reported.
func (s *Scheduler) TypicalDelay() time.Duration { return s.typical }
