package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Timing of failure detection, as in section 8.4 of the design page.
const (
	// Interval is the time between two calls of Tick, and the time in which a probe
	// must be answered.
	Interval = time.Second
	// RemoveAfter is how long a suspected member has to refute the suspicion before
	// it is removed. The refutation must reach all members in that time.
	RemoveAfter = 4 * time.Second
	// summaryLifetime is how long the summary of a failure domain is valid.
	summaryLifetime = 30 * time.Second
	// tombstoneLifetime is how long the record of a member that was removed or left
	// is kept, so that delayed messages don't add the member again and that members
	// find each other again after a network partition.
	tombstoneLifetime = 15 * time.Minute
	// pauseThreshold is the time between two ticks above which this instance was
	// paused itself. Missing answers then don't prove that other members
	// failed.
	pauseThreshold = 3 * time.Second
)

const (
	// crossDomainTicks is the number of ticks between heartbeats to another failure
	// domain.
	crossDomainTicks = 5
	// probeTicks is the number of ticks between heartbeats that go to a candidate or a
	// removed member instead of a live one.
	probeTicks = 3
	// maxBroadcasts bounds the urgent broadcasts between two ticks. Further changes
	// are sent with heartbeats only.
	maxBroadcasts = 8
	// maxTombstones and maxCandidates bound the size of the state.
	maxTombstones = 256
	maxCandidates = 64
	// maxRelays bounds the probes on behalf of other members.
	maxRelays = 64
)

// Identity describes the own instance.
type Identity struct {
	ID            string
	FailureDomain string
	Address       string
	// Incarnation must increase with each start. The adapter uses the Unix time in
	// seconds.
	Incarnation uint64
	Capacity    Capacity
}

// member is the record of a member with its local bookkeeping.
type member struct {
	record Record
	// stateSince is when the state last changed.
	stateSince time.Time
	// repeatsLeft is in how many more messages the record is sent with priority.
	repeatsLeft int
	// addressIncarnation is the incarnation that reported the address.
	addressIncarnation uint64
	// transit estimates how long messages of the member wait on their way.
	transit transitEstimator
}

// State is the state machine of one instance. It is not safe for concurrent use.
type State struct {
	self     Record
	random   *rand.Rand
	ticks    int
	lastTick time.Time

	// members holds the other members of the failure domain, those that were removed
	// or left included.
	members map[string]*member
	// sortedLive holds the other live members, sorted by ID.
	sortedLive []*member
	// failed holds the members that are not alive, by ID.
	failed map[string]*member
	// changed holds the members with repeatsLeft above 0.
	changed []*member
	// rotation holds the IDs of the members that are probed next.
	rotation []string
	// probes holds the probes that were not answered yet.
	probes []*probe
	// relays holds, by the ID of a member that is probed on behalf of another one, the
	// tick until which it must answer.
	relays map[string]int
	// lastReceived is when the last message of the own failure domain arrived.
	lastReceived time.Time
	isolated     bool
	sync         synchronisation

	domains map[string]*domain
	// candidates holds the candidates by address, newCandidates the addresses of those
	// that were not contacted yet.
	candidates    map[string]Candidate
	newCandidates []string

	drains         map[string]drainEntry
	stragglers     map[string]Straggler
	inFlightCounts []InFlightCount
	serverLimits   []ServerLimit
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
	section, records, summaries, demand, inFlightCounts, stragglers, drains, serverLimits int
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
			Incarnation: identity.Incarnation, Counter: 1, Capacity: identity.Capacity},
		random:          random,
		lastTick:        now,
		lastReceived:    now,
		members:         map[string]*member{},
		failed:          map[string]*member{},
		relays:          map[string]int{},
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
	previous := s.candidates
	s.candidates = map[string]Candidate{}
	for _, c := range shuffled {
		if len(s.candidates) >= maxCandidates || c.Address == s.self.Address || !validName(c.Address) {
			continue
		}
		s.candidates[c.Address] = c
		if _, known := previous[c.Address]; !known && s.domainRank(c) == 0 {
			s.newCandidates = append(s.newCandidates, c.Address)
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
	s.checkIsolation(now)
	s.advanceProbes(now)
	s.advanceSync()
	s.probeSuspect()
	s.contactNewCandidates(now)
	if !s.sendCrossDomain(now) {
		s.probeNext(now)
	}
	return s.outputs
}

// sendCrossDomain sends a heartbeat to another failure domain when it is time for
// one, or returns false.
func (s *State) sendCrossDomain(now time.Time) bool {
	if s.ticks%crossDomainTicks != s.crossDomainPhase() {
		return false
	}
	address, ok := s.crossDomainTarget()
	if ok {
		s.send(address, s.crossDomainHeartbeat(now))
	}
	return ok
}

// crossDomainPhase returns the tick, modulo crossDomainTicks, at which this instance
// sends to another failure domain. It differs between instances to spread the
// messages over time.
func (s *State) crossDomainPhase() int {
	return int(hashID(s.self.ID) % crossDomainTicks)
}

// shiftTimes shifts all times by the time for which this instance was paused, and
// drops the probes whose answers may have been lost meanwhile.
func (s *State) shiftTimes(gap time.Duration) {
	s.probes = nil
	clear(s.relays)
	s.lastReceived = s.lastReceived.Add(gap)
	for _, m := range s.members {
		m.stateSince = m.stateSince.Add(gap)
	}
}

// expire removes members whose suspicion was not refuted and drops outdated state.
func (s *State) expire(now time.Time) {
	tombstones := 0
	for _, id := range sortedKeys(s.failed) {
		m := s.failed[id]
		if m.record.State >= Removed {
			tombstones++
		}
		switch {
		case m.record.State == Suspected && now.Sub(m.stateSince) >= RemoveAfter:
			s.setState(m, Removed, now)
		case m.record.State >= Removed && (now.Sub(m.stateSince) > tombstoneLifetime || tombstones > maxTombstones):
			delete(s.members, id)
			delete(s.failed, id)
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
	m.record.State, m.stateSince = state, now
	s.updateLists(m)
	s.repeat(m)
	if state >= Removed {
		delete(s.peerDemand, m.record.ID)
	}
	s.outputs = append(s.outputs, MemberChanged{m.record})
}

// live returns the other live members of the failure domain, sorted by ID. The caller
// must not change the list.
func (s *State) live() []*member { return s.sortedLive }

// updateLists adds a member to the lists of live and of failed members or removes it,
// as its state requires.
func (s *State) updateLists(m *member) {
	if m.record.State == Alive {
		delete(s.failed, m.record.ID)
	} else {
		s.failed[m.record.ID] = m
	}
	i, listed := slices.BinarySearchFunc(s.sortedLive, m.record.ID, func(other *member, id string) int {
		return strings.Compare(other.record.ID, id)
	})
	switch isLive := m.record.State <= Suspected; {
	case isLive && !listed:
		s.sortedLive = slices.Insert(s.sortedLive, i, m)
	case !isLive && listed:
		s.sortedLive = slices.Delete(s.sortedLive, i, i+1)
	}
}

// otherLiveMembers returns the records of the other live members of the failure
// domain, sorted by ID.
func (s *State) otherLiveMembers() []Record {
	live := s.live()
	records := make([]Record, len(live), len(live)+1)
	for i, m := range live {
		records[i] = m.record
	}
	return records
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
