package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Times of section 8.4 of the design page.
const (
	// Interval is the time between two calls of Tick.
	Interval = time.Second
	// SuspectAfter is how long a member may be silent.
	SuspectAfter = 5 * time.Second
	// RemoveAfter is the time in which a suspected member can refute.
	RemoveAfter = 3 * time.Second
	// summaryLifetime is how long a failure domain is believed without news.
	summaryLifetime = 30 * time.Second
	// tombstoneLifetime is how long a removed member stays known, so that late
	// messages don't bring it back and that a healed partition is found.
	tombstoneLifetime = 15 * time.Minute
	// pauseThreshold is the time between two ticks from which on this instance itself
	// was paused. The silence of others then proves nothing.
	pauseThreshold = 3 * time.Second
)

// Counts of messages per tick.
const (
	fanOut = 2
	// crossDomainTicks is the number of ticks between heartbeats to another failure domain.
	crossDomainTicks = 5
	// probeTicks is the number of ticks between heartbeats to a candidate in place
	// of a member.
	probeTicks = 3
	// changeRepeats is how often a changed record goes first.
	changeRepeats = 6
	// maxBroadcasts bounds the urgent broadcasts between two ticks. Further news
	// travels with heartbeats.
	maxBroadcasts = 8
	// maxTombstones and maxCandidates bound the state.
	maxTombstones = 256
	maxCandidates = 64
)

// Identity is what the adapter knows of its own instance.
type Identity struct {
	ID            string
	FailureDomain string
	Address       string
	// Incarnation must rise with each start; the adapter takes the time in seconds.
	Incarnation uint64
}

// member is a record with what this instance knows of its freshness.
type member struct {
	record Record
	// lastHeartbeat is when its heartbeat counter last rose.
	lastHeartbeat time.Time
	// stateSince is when the state last changed.
	stateSince time.Time
	// repeatsLeft counts the messages in which the record still goes first.
	repeatsLeft int
	// addressIncarnation is the incarnation of the address.
	addressIncarnation uint64
}

// State is the state machine. It is not safe for concurrent use.
type State struct {
	self     Record
	random   *rand.Rand
	ticks    int
	lastTick time.Time

	// members holds the other members of the failure domain, dead ones included.
	members  map[string]*member
	idByHash map[uint64]string
	// sortedLive caches the live and suspected members by ID; nil after a change.
	sortedLive []*member
	// rotation holds the IDs of the next targets.
	rotation []string
	domains  map[string]*domain
	// candidates holds addresses that may belong to instances.
	candidates map[string]Candidate

	drains         map[string]drainEntry
	stragglers     map[string]Straggler
	inFlightCounts []InFlightCount
	demand         []Demand
	// demandUntilTick is the tick until which an organisation is reported.
	demandUntilTick map[string]int
	// peerDemand holds what other members reported, by ID.
	peerDemand map[string][]timedDemand

	// highestRevision is the highestRevision revision known, domainRevision the highestRevision in force
	// at another member of the failure domain.
	highestRevision int64
	domainRevision  int64

	cursors cursors
	// broadcastsLeft is the number of urgent broadcastsLeft left until the next tick.
	broadcastsLeft int
	outputs        []Output
}

// cursors are positions in the lists that take turns.
type cursors struct {
	section, heartbeatCounters, records, summaries, demand, inFlightCounts, stragglers, drains int
}

// Candidate is an instance of the platform's list, which is a hint only, or of
// the settings; these don't tell its failure domain.
type Candidate struct {
	FailureDomain string
	Address       string
}

// New returns the state of an instance that knows nobody.
func New(identity Identity, random *rand.Rand, now time.Time) *State {
	return &State{
		self: Record{ID: identity.ID, FailureDomain: identity.FailureDomain, Address: identity.Address,
			Incarnation: identity.Incarnation, Counter: 1},
		random:          random,
		lastTick:        now,
		members:         map[string]*member{},
		idByHash:        map[uint64]string{},
		domains:         map[string]*domain{},
		candidates:      map[string]Candidate{},
		drains:          map[string]drainEntry{},
		stragglers:      map[string]Straggler{},
		peerDemand:      map[string][]timedDemand{},
		demandUntilTick: map[string]int{},
	}
}

// SetCandidates replaces the candidates to contact. It never changes what is known of a
// member. Of too many candidates a random part is kept, those of the own failure
// domain first.
func (s *State) SetCandidates(candidates []Candidate) {
	shuffled := slices.Clone(candidates)
	s.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	slices.SortStableFunc(shuffled, func(a, b Candidate) int { return s.domainRank(a) - s.domainRank(b) })
	s.candidates = map[string]Candidate{}
	for _, c := range shuffled {
		if len(s.candidates) < maxCandidates && c.Address != s.self.Address && validName(c.Address) {
			s.candidates[c.Address] = c
		}
	}
}

// domainRank is 0 for a candidate of the own or of an unknown failure domain.
func (s *State) domainRank(c Candidate) int {
	if c.FailureDomain == "" || c.FailureDomain == s.self.FailureDomain {
		return 0
	}
	return 1
}

// Tick advances the state by one interval and returns the heartbeats to send.
func (s *State) Tick(now time.Time) []Output {
	s.outputs = nil
	if s.self.State == Left {
		return nil
	}
	if gap := now.Sub(s.lastTick); gap > pauseThreshold {
		s.shiftTimes(gap)
	}
	s.lastTick = now
	s.ticks++
	s.self.Counter++
	s.broadcastsLeft = maxBroadcasts
	s.expire(now)
	for _, address := range s.targets() {
		s.send(address, s.heartbeat(now))
	}
	if s.ticks%crossDomainTicks == s.crossDomainPhase() {
		if address, ok := s.crossDomainTarget(); ok {
			s.send(address, s.crossDomainHeartbeat(now))
		}
	}
	return s.outputs
}

// crossDomainPhase spreads the heartbeats between failure domains over time.
func (s *State) crossDomainPhase() int {
	return int(hashID(s.self.ID) % crossDomainTicks)
}

// shiftTimes shifts all times by the time for which this instance was paused.
func (s *State) shiftTimes(gap time.Duration) {
	for _, m := range s.members {
		m.lastHeartbeat = m.lastHeartbeat.Add(gap)
		m.stateSince = m.stateSince.Add(gap)
	}
}

// expire suspects and removes silent members and drops what is too old.
func (s *State) expire(now time.Time) {
	tombstones := 0
	for _, id := range sortedKeys(s.members) {
		m := s.members[id]
		if m.record.State >= Removed {
			tombstones++
		}
		switch {
		case m.record.State == Alive && now.Sub(m.lastHeartbeat) >= SuspectAfter:
			s.setState(m, Suspected, now)
		case m.record.State == Suspected && now.Sub(m.stateSince) >= RemoveAfter:
			s.setState(m, Removed, now)
		case m.record.State >= Removed && (now.Sub(m.stateSince) > tombstoneLifetime || tombstones > maxTombstones):
			delete(s.members, id)
			delete(s.idByHash, hashID(id))
		}
	}
	s.expireDomains(now)
	s.expireMarkers(now)
	s.expireDemand(now)
}

func (s *State) setState(m *member, state MemberState, now time.Time) {
	if m.record.State == state {
		return
	}
	m.record.State, m.stateSince, m.repeatsLeft = state, now, changeRepeats
	s.sortedLive = nil
	if state >= Removed {
		delete(s.peerDemand, m.record.ID)
	}
	s.outputs = append(s.outputs, MemberChanged{m.record})
}

// otherLiveMembers returns the live and suspected other members of the failure domain by ID.
func (s *State) otherLiveMembers() []Record {
	if s.sortedLive == nil {
		s.sortedLive = s.sortLiveMembers()
	}
	records := make([]Record, len(s.sortedLive), len(s.sortedLive)+1)
	for i, m := range s.sortedLive {
		records[i] = m.record
	}
	return records
}

func (s *State) sortLiveMembers() []*member {
	sorted := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		if m.record.State <= Suspected {
			sorted = append(sorted, m)
		}
	}
	slices.SortFunc(sorted, func(a, b *member) int { return strings.Compare(a.record.ID, b.record.ID) })
	return sorted
}

func (s *State) send(address string, message Message) {
	s.outputs = append(s.outputs, Send{address, message})
}

// sortedKeys makes the order of a map independent of the run.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes
}
