package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Timing of failure detection, as in section 8.4 of the design page.
const (
	// Interval is the time between two calls of Tick.
	Interval = time.Second
	// SuspectAfter is how long after its last heartbeat a member is suspected.
	SuspectAfter = 5 * time.Second
	// RemoveAfter is how long a suspected member has to refute the suspicion before
	// it is removed.
	RemoveAfter = 3 * time.Second
	// summaryLifetime is how long the summary of a failure domain is valid.
	summaryLifetime = 30 * time.Second
	// tombstoneLifetime is how long the record of a member that was removed or left
	// is kept, so that delayed messages don't add the member again and that members
	// find each other again after a network partition.
	tombstoneLifetime = 15 * time.Minute
	// pauseThreshold is the time between two ticks above which this instance was
	// paused itself. Missing heartbeats then don't prove that other members failed.
	pauseThreshold = 3 * time.Second
)

const (
	// fanOut is the number of heartbeats that each tick sends in the own failure
	// domain.
	fanOut = 2
	// crossDomainTicks is the number of ticks between heartbeats to another failure
	// domain.
	crossDomainTicks = 5
	// probeTicks is the number of ticks between heartbeats that go to a candidate or a
	// removed member instead of a live one.
	probeTicks = 3
	// changeRepeats is in how many messages a changed record is sent with priority.
	changeRepeats = 6
	// maxBroadcasts bounds the urgent broadcasts between two ticks. Further changes
	// are sent with heartbeats only.
	maxBroadcasts = 8
	// maxTombstones and maxCandidates bound the size of the state.
	maxTombstones = 256
	maxCandidates = 64
)

// Identity describes the own instance.
type Identity struct {
	ID            string
	FailureDomain string
	Address       string
	// Incarnation must increase with each start. The adapter uses the Unix time in
	// seconds.
	Incarnation uint64
}

// member is the record of a member with its local bookkeeping.
type member struct {
	record Record
	// lastHeartbeat is when the heartbeat counter last increased.
	lastHeartbeat time.Time
	// stateSince is when the state last changed.
	stateSince time.Time
	// repeatsLeft is in how many more messages the record is sent with priority.
	repeatsLeft int
	// addressIncarnation is the incarnation that reported the address.
	addressIncarnation uint64
}

// State is the state machine of one instance. It is not safe for concurrent use.
type State struct {
	self     Record
	random   *rand.Rand
	ticks    int
	lastTick time.Time

	// members holds the other members of the failure domain, those that were removed
	// or left included.
	members  map[string]*member
	idByHash map[uint64]string
	// sortedLive caches the other live members, sorted by ID. It is nil after a change.
	sortedLive []*member
	// rotation holds the IDs of the members that get the next heartbeats.
	rotation []string
	domains  map[string]*domain
	// candidates holds the candidates by address.
	candidates map[string]Candidate

	drains         map[string]drainEntry
	stragglers     map[string]Straggler
	inFlightCounts []InFlightCount
	demand         []Demand
	// demandUntilTick holds, by organisation, the tick until which it is reported.
	demandUntilTick map[string]int
	// peerDemand holds the demand that other members reported, by ID.
	peerDemand map[string][]timedDemand

	// highestRevision is the highest known configuration revision, domainRevision the
	// highest one in force at another member of the failure domain.
	highestRevision int64
	domainRevision  int64

	cursors cursors
	// broadcastsLeft is the number of urgent broadcasts allowed until the next tick.
	broadcastsLeft int
	outputs        []Output
}

// cursors are the positions from which the next heartbeat continues each list, and
// the next section to lead.
type cursors struct {
	section, heartbeatCounters, records, summaries, demand, inFlightCounts, stragglers, drains int
}

// Candidate is the address of a possible instance, from the platform's list, which
// may be outdated, or from the settings.
type Candidate struct {
	// FailureDomain is empty for a candidate from the settings.
	FailureDomain string
	Address       string
}

// New returns the state of an instance that knows no other instances.
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

// SetCandidates replaces the candidates to contact. It never changes the state of a
// member. Of more than maxCandidates, a random part is kept, those of the own or an
// unknown failure domain first.
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

// domainRank returns 0 for a candidate of the own or an unknown failure domain, 1 for
// others.
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

// crossDomainPhase returns the tick, modulo crossDomainTicks, at which this instance
// sends to another failure domain. It differs between instances to spread the
// messages over time.
func (s *State) crossDomainPhase() int {
	return int(hashID(s.self.ID) % crossDomainTicks)
}

// shiftTimes shifts the times of all members by the time for which this instance was
// paused.
func (s *State) shiftTimes(gap time.Duration) {
	for _, m := range s.members {
		m.lastHeartbeat = m.lastHeartbeat.Add(gap)
		m.stateSince = m.stateSince.Add(gap)
	}
}

// expire suspects and removes members without heartbeats and drops outdated state.
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

// otherLiveMembers returns the other live members of the failure domain, sorted by ID.
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

// sortedKeys returns the keys of a map in an order that is the same in each run.
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
