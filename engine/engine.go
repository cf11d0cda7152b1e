// Package engine chooses the model server for a prompt by the expected time to the
// first event and by penalties for work and transfers that delay other requests. The
// expected time depends on the prompts that were placed at a server before, and on the
// parts of the prompt that it is expected to have in its prompt cache.
//
// Model servers are called engines in names and in the packages that entry instances use.
//
// The package does no I/O and reads no clock.
package engine

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/regions"
)

const (
	// initialPrefillTokensPerSecond is the initial estimate of the prompt tokens that a
	// server processes per second. Scheduler.prefillFactor corrects it.
	initialPrefillTokensPerSecond = 40_000
	// sharedPrefillPenaltyPerToken is the cost of processing a token of a shared part
	// again, beyond the time that this takes, because other requests wait for it.
	sharedPrefillPenaltyPerToken = 60 * time.Microsecond
	// crossDomainPenaltyPerMegabyte is the cost of inputs from another failure domain.
	crossDomainPenaltyPerMegabyte = 70 * time.Millisecond
	// affinityPenalty scales the cost that is derived from a hash of prompt and
	// server. It sends prompts with the same shared parts to the same server when
	// nothing else distinguishes the servers.
	affinityPenalty = 15 * time.Millisecond
	// failurePause is how long a server that failed gets no new prompts. It doubles
	// with each consecutive failure, up to maxFailurePause.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// refusedPause is how long a server that refused a request gets no new prompts.
	refusedPause = 250 * time.Millisecond
	// isolationPeriod is how long a server gets no new prompts beside an isolated one.
	isolationPeriod = time.Second
	// excessDelayWeight is the weight of the newest excess delay in the moving average,
	// and excessDelayTTL how long the average is used without a new report.
	excessDelayWeight = 0.4
	excessDelayTTL    = 2 * time.Second
	// typicalDelayWeight is the weight of the newest delay in the moving average of
	// delays.
	typicalDelayWeight = 0.08
	// prefillFactorWeight is the weight of the newest delay in Scheduler.prefillFactor,
	// which stays between minPrefillFactor and maxPrefillFactor.
	prefillFactorWeight = 0.03
	minPrefillFactor    = 0.25
	maxPrefillFactor    = 6.0
	// maxCachedParts bounds the parts that are recorded for a server.
	maxCachedParts = 4096
)

// Server is one model server.
type Server struct {
	ID            string
	Region        string
	FailureDomain string
	// Incarnation differs between the starts of a server under the same ID. A restart
	// empties the cache.
	Incarnation int64
	// ColdPeriod differs between the times at which a server became cold, which empties the
	// cache, too.
	ColdPeriod int
	// CacheTokens is the capacity of the prompt cache in tokens; 0 when unknown.
	CacheTokens int
	// CopyRate is the number of cached prompt tokens per second that the server can
	// copy from another one; 0 when it can't copy.
	CopyRate float64
	// Slots is the number of requests that the server runs at once; 0 when unknown. The runs
	// at a server are recorded only when it is known.
	Slots int
}

// Part is a part of a prompt. Requests may share all parts but the last one, which
// belongs to a single request.
type Part struct {
	ID     string
	Tokens int
}

// cachedPart is a part that a server is expected to have in its cache.
type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// serverState is the state of one server.
type serverState struct {
	Server
	hash uint64
	// lastCopiedFromAt is when this server was last chosen as a source.
	lastCopiedFromAt time.Time
	// busyUntil is when the server is expected to have processed all prompts that were
	// placed there.
	busyUntil    time.Time
	cachedParts  map[string]cachedPart
	cachedTokens int
	// failures is the number of consecutive failures.
	failures    int
	pausedUntil time.Time
	// isolatedUntil is until when the server gets no new prompts beside an isolated one.
	isolatedUntil time.Time
	// excessDelay is the moving average of the time by which first events came later
	// than expected, and excessDelayAt the time of its last change.
	excessDelay   time.Duration
	excessDelayAt time.Time
	serverRuns
}

// Scheduler chooses model servers of one service for the instances of one region. It is
// not safe for concurrent use.
type Scheduler struct {
	region       string
	byID         map[string]*serverState
	servers      []*serverState
	typicalDelay time.Duration
	// prefillFactor is the measured time of a prefill relative to that at
	// initialPrefillTokensPerSecond.
	prefillFactor float64
	serviceRuns
}

// NewScheduler returns a scheduler without servers for the instances of a region.
func NewScheduler(region string) *Scheduler {
	return &Scheduler{region: region, byID: map[string]*serverState{}, prefillFactor: 1, serviceRuns: newServiceRuns()}
}

// SetServers replaces the servers. The state of a server is kept unless it restarted or became
// cold.
func (s *Scheduler) SetServers(servers []Server) {
	byID := make(map[string]*serverState, len(servers))
	s.servers = s.servers[:0]
	for _, server := range servers {
		current := s.byID[server.ID]
		if current == nil || current.Incarnation != server.Incarnation || current.ColdPeriod != server.ColdPeriod {
			current = &serverState{hash: xxhash.Sum64String(server.ID), cachedParts: map[string]cachedPart{}}
		}
		current.Server = server
		byID[server.ID] = current
		s.servers = append(s.servers, current)
	}
	s.byID = byID
}

// Query describes a prompt to place.
type Query struct {
	Prompt []Part
	// InputBytes is the size of the request's inputs by failure domain.
	InputBytes map[string]int64
	// Excluded lists the IDs of servers that the request was already sent to.
	Excluded []string
	// Isolate is true for a prompt that may crash its server. It is placed on the server
	// with the least to do, which gets no other new prompts for isolationPeriod.
	Isolate bool
	// AskOnly is true when the placement is only an estimate, which is made before the
	// stages run. The prompt is then not counted at the server.
	AskOnly bool
	// Regions are the regions whose servers may run the prompt or be the source of a copy.
	Regions regions.Set
	// Run is what the request needs beside its prompt.
	Run Run
	// MaxWait is how long the request can wait for a free slot and memory; 0 for any time.
	MaxWait time.Duration
}

// Placement is the server that was chosen for a prompt.
type Placement struct {
	// Server is the server's ID, and Incarnation that of its start.
	Server      string
	Incarnation int64
	// Expected is the expected time to the first event.
	Expected time.Duration
	// FailureDomain is the failure domain of the server.
	FailureDomain string
	// CopyFrom is the ID of the server from which the chosen one copies cached parts
	// of the prompt; empty when it copies none. CopyFromIncarnation is that of its start.
	CopyFrom            string
	CopyFromIncarnation int64
	// NewParts holds the shared parts that the server was not expected to cache.
	NewParts []Part
	// RoomWait is the part of Expected for which the request waits for a free slot or
	// memory. Without a server, it is the time until one has room.
	RoomWait time.Duration
}

// Place chooses a server and counts the prompt there. It returns false when no server
// remains, and with Placement.RoomWait when none has room within Query.MaxWait. Servers of
// other regions are used only when the scheduler's region has none.
func (s *Scheduler) Place(now time.Time, q Query) (Placement, bool) {
	candidates := s.candidates(now, q, true)
	if len(candidates) == 0 {
		candidates = s.candidates(now, q, false)
	}
	if len(candidates) == 0 {
		return Placement{}, false
	}
	s.expireRuns(now)
	candidates, wait := s.withRoom(now, q, candidates)
	if len(candidates) == 0 {
		return Placement{RoomWait: wait}, false
	}
	key := affinityKey(q.Prompt)
	copySource := s.bestSource(now, q)
	var best *serverState
	var bestCost time.Duration
	var bestWork workload
	for _, c := range candidates {
		work := s.workloadFor(c, q.Prompt, copySource)
		if cost := s.cost(c, now, q, work, key); best == nil || cost < bestCost {
			best, bestCost, bestWork = c, cost, work
		}
	}
	placed := Placement{Server: best.ID, Incarnation: best.Incarnation, Expected: s.expected(best, now, q, bestWork), FailureDomain: best.FailureDomain, RoomWait: s.roomWait(best, now, q)}
	if q.AskOnly {
		return placed, true
	}
	if q.Isolate {
		best.isolatedUntil = now.Add(isolationPeriod)
	}
	if bestWork.copied > 0 {
		placed.CopyFrom, placed.CopyFromIncarnation = copySource.server.ID, copySource.server.Incarnation
		copySource.server.lastCopiedFromAt = now
	}
	placed.NewParts = best.missingSharedParts(q.Prompt)
	work := s.recordPlacement(best, now, q.Prompt, bestWork)
	s.recordRun(best, now, q, placed.Expected, work)
	return placed, true
}

// candidates returns the servers that are not excluded; with local set, only those of
// the scheduler's region. Paused servers are returned only when no others remain.
func (s *Scheduler) candidates(now time.Time, q Query, local bool) []*serverState {
	var available, paused []*serverState
	for _, c := range s.servers {
		switch {
		case local && c.Region != s.region, !q.Regions.Contains(c.Region), slices.Contains(q.Excluded, c.ID):
		case now.Before(c.pausedUntil), now.Before(c.isolatedUntil):
			paused = append(paused, c)
		default:
			available = append(available, c)
		}
	}
	if len(available) > 0 {
		return available
	}
	return paused
}

// workload is the work of a server before the first event of a prompt, in tokens.
type workload struct {
	// prefill is the number of tokens to process, and sharedPrefill the number of
	// those that are in shared parts.
	prefill, sharedPrefill int
	// copied is the number of tokens to copy from another server.
	copied int
}

// workloadFor returns the workload of a server for a prompt.
func (s *Scheduler) workloadFor(c *serverState, prompt []Part, copySource source) workload {
	uncached, shared := c.uncachedTokens(prompt)
	copied := copySource.tokensToCopy(c, uncached)
	return workload{prefill: uncached - copied, sharedPrefill: max(0, shared-copied), copied: copied}
}

// expected returns the expected time to the first event at a server.
func (s *Scheduler) expected(c *serverState, now time.Time, q Query, work workload) time.Duration {
	expected := s.startWait(c, now, q) + s.workDuration(c, now, work)
	if now.Sub(c.excessDelayAt) < excessDelayTTL {
		expected += c.excessDelay
	}
	return expected
}

// workDuration returns the time that a server needs for a workload.
func (s *Scheduler) workDuration(c *serverState, now time.Time, work workload) time.Duration {
	duration := time.Duration(s.slowness(c, now) * float64(s.prefillDuration(work.prefill)))
	if work.copied > 0 {
		duration += time.Duration(float64(work.copied) / c.CopyRate * float64(time.Second))
	}
	return duration
}

// cost returns the expected time to the first event at a server plus all penalties, for an
// isolated prompt only the time that the server is busy. The server with the lowest cost is
// chosen.
func (s *Scheduler) cost(c *serverState, now time.Time, q Query, work workload, key uint64) time.Duration {
	if q.Isolate {
		return s.startWait(c, now, q)
	}
	cost := s.expected(c, now, q, work) + time.Duration(work.sharedPrefill)*sharedPrefillPenaltyPerToken + time.Duration(work.copied)*copyPenaltyPerToken
	const megabyte = 1e6
	for domain, bytes := range q.InputBytes {
		if domain != c.FailureDomain {
			cost += time.Duration(float64(bytes) / megabyte * float64(crossDomainPenaltyPerMegabyte))
		}
	}
	return cost + time.Duration((1-uniform(key^c.hash))*float64(affinityPenalty))
}

// prefillDuration returns the time that a server needs to process prompt tokens.
func (s *Scheduler) prefillDuration(tokens int) time.Duration {
	return time.Duration(s.prefillFactor * float64(tokens) / initialPrefillTokensPerSecond * float64(time.Second))
}

// uncachedTokens returns the number of tokens of a prompt that the server does not
// cache, and how many of them are in shared parts. Only the longest cached prefix of
// parts counts as cached.
func (c *serverState) uncachedTokens(prompt []Part) (all, shared int) {
	prefixEnded := false
	for i, part := range prompt {
		if _, ok := c.cachedParts[part.ID]; !ok {
			prefixEnded = true
		}
		if !prefixEnded {
			continue
		}
		all += part.Tokens
		if i < len(prompt)-1 {
			shared += part.Tokens
		}
	}
	return all, shared
}

// recordPlacement adds a prompt to the expected work and cache of a server. It returns the work.
func (s *Scheduler) recordPlacement(c *serverState, now time.Time, prompt []Part, work workload) time.Duration {
	if c.busyUntil.Before(now) {
		c.busyUntil = now
	}
	duration := s.workDuration(c, now, work)
	c.busyUntil = c.busyUntil.Add(duration)
	c.cacheParts(now, prompt)
	return duration
}

// cancelWork removes what a run without an answer has left of its work before the first event.
func (c *serverState) cancelWork(now time.Time, r *activeRun) {
	if r == nil || r.answered {
		return
	}
	if unspent := min(r.work, r.workEnds.Sub(now)); unspent > 0 {
		c.busyUntil = c.busyUntil.Add(-unspent)
	}
}

// cacheParts records that the server caches parts, and evicts others when they exceed
// its capacity.
func (c *serverState) cacheParts(now time.Time, parts []Part) {
	for _, part := range parts {
		c.cachedTokens += part.Tokens - c.cachedParts[part.ID].tokens
		c.cachedParts[part.ID] = cachedPart{part.Tokens, now}
	}
	c.evictParts(len(parts))
}

// ReplaceCached replaces the recorded cache contents of a server by the parts that the
// server itself reported. A report of another incarnation is ignored.
func (s *Scheduler) ReplaceCached(server string, incarnation int64, parts []Part) {
	c := s.incarnationOf(server, incarnation)
	if c == nil {
		return
	}
	cached := make(map[string]cachedPart, len(parts))
	c.cachedTokens = 0
	for _, part := range parts {
		cached[part.ID] = cachedPart{part.Tokens, c.cachedParts[part.ID].lastUsed}
		c.cachedTokens += part.Tokens
	}
	c.cachedParts = cached
}

// incarnationOf returns the state of one incarnation of a server, nil when another one or none
// is known.
func (s *Scheduler) incarnationOf(server string, incarnation int64) *serverState {
	if c := s.byID[server]; c != nil && c.Incarnation == incarnation {
		return c
	}
	return nil
}

// LocalServers returns the IDs of the servers of the scheduler's region.
func (s *Scheduler) LocalServers() (ids []string) {
	for _, c := range s.servers {
		if c.Region == s.region {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// affinityKey returns a hash of the last shared part of a prompt, or of its only part.
// It returns 0 for an empty prompt.
func affinityKey(prompt []Part) uint64 {
	switch len(prompt) {
	case 0:
		return 0
	case 1:
		return xxhash.Sum64String(prompt[0].ID)
	}
	return xxhash.Sum64String(prompt[len(prompt)-2].ID)
}

// uniform maps a key to a uniformly distributed number in (0, 1). It uses the finalizer
// of the SplitMix64 generator.
func uniform(key uint64) float64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	key ^= key >> 31
	return (float64(key>>11) + 0.5) / (1 << 53)
}

// ChooseDomain chooses the failure domain for a prompt by rendezvous hashing, weighted
// by the number of servers in each domain that can produce its inputs. A prompt without
// parts is assigned by draw, a random number. ChooseDomain returns an empty string when
// there are no producers.
func ChooseDomain(prompt []Part, producers map[string]int, draw float64) string {
	key := affinityKey(prompt)
	if key == 0 {
		key = math.Float64bits(draw)
	}
	best, bestScore := "", math.Inf(-1)
	for domain, n := range producers {
		if score := -float64(n) / math.Log(uniform(key^xxhash.Sum64String(domain))); score > bestScore {
			best, bestScore = domain, score
		}
	}
	return best
}

// Report is the outcome of a placement.
type Report struct {
	// Server is the server's ID, and Incarnation that of its start.
	Server      string
	Incarnation int64
	// Expected is Placement.Expected.
	Expected time.Duration
	// Delay is the time from the send of the request to the first event.
	Delay time.Duration
	// Failed is true when the request failed, Refused when the server did not accept
	// it.
	Failed, Refused bool
	RunReport
}

// Report updates the estimates for a server with the outcome of a placement. A report on
// another incarnation is ignored.
func (s *Scheduler) Report(now time.Time, r Report) {
	c := s.incarnationOf(r.Server, r.Incarnation)
	if c == nil {
		return
	}
	s.recordRunReport(c, now, r)
	switch {
	case r.Failed:
		c.failures++
		c.pausedUntil = now.Add(min(maxFailurePause, failurePause<<min(c.failures-1, 8)))
		return
	case r.Refused:
		c.pausedUntil = now.Add(refusedPause)
		return
	case r.Ended:
		return
	}
	c.failures = 0
	c.ledger.markAnswered(r.Run.ID)
	excess := max(0, r.Delay-r.Expected)
	if now.Sub(c.excessDelayAt) > excessDelayTTL {
		c.excessDelay = 0
	}
	c.excessDelay += time.Duration(excessDelayWeight * float64(excess-c.excessDelay))
	c.excessDelayAt = now
	if r.Expected > 0 {
		ratio := float64(r.Delay) / float64(r.Expected)
		s.prefillFactor = min(maxPrefillFactor, max(minPrefillFactor, s.prefillFactor*(1+prefillFactorWeight*(min(maxPrefillFactor, ratio)-1))))
	}
	if s.typicalDelay == 0 {
		s.typicalDelay = r.Delay
	}
	s.typicalDelay += time.Duration(typicalDelayWeight * float64(r.Delay-s.typicalDelay))
}

// TypicalDelay returns the moving average of the time from the send of a request to the
// first event; 0 before the first report.
func (s *Scheduler) TypicalDelay() time.Duration { return s.typicalDelay }
