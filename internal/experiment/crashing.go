package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

// Load and fleet of the experiment crashing: model servers in two regions, of which
// each ends when it begins to answer a prompt with a bad part.
const (
	crashRegions         = 2
	crashServers         = 12 // of each region
	crashInstances       = 8  // of each region
	soundPerSecond       = 30
	crashCallers         = 6
	crashPeriod          = 40 * time.Second
	badFrom, badUntil    = 5 * time.Second, 35 * time.Second
	serverRestartTime    = 6 * time.Second
	minAnswerDelay       = 50 * time.Millisecond
	answerDelaySpread    = 300 * time.Millisecond
	answerStart          = 500 * time.Millisecond
	reportDelay          = 5 * time.Millisecond
	regionDelay          = 15 * time.Millisecond
	answeredDelay        = 100 * time.Millisecond
	trialPoll            = 100 * time.Millisecond
	maxTrialPolls        = 15
	boundCrashes         = 5
	boundDelay           = 4 * time.Second
	soundBoundDelay      = 2 * boundDelay
	strikes              = 3
	policyInstanceAlone  = "instance alone"
	policyThreeStrikes   = "three strikes"
	policyNoneQuarantine = "none"
)

// crashVariant is one way in which bad parts come.
type crashVariant struct {
	badPerSecond float64
	badParts     int
	// first is true when the bad part is the first one of the prompt.
	first bool
	// withCaller is true when bad requests always have the same caller's part too.
	withCaller bool
	// killsPerSecond is how many servers end by themselves.
	killsPerSecond float64
	// group is the number of servers that end together in such a kill.
	group int
	// ownerLostAt is when the trackers lose their state; 0 for never.
	ownerLostAt time.Duration
}

var crashVariants = []crashVariant{
	{badPerSecond: 1, badParts: 1},
	{badPerSecond: 8, badParts: 1},
	{badPerSecond: 3, badParts: 3},
	{badPerSecond: 3, badParts: 1, first: true},
	{badPerSecond: 3, badParts: 1, withCaller: true},
	{badPerSecond: 3, badParts: 1, killsPerSecond: 1, group: 1},
	{badPerSecond: 3, badParts: 1, killsPerSecond: 0.3, group: 6},
	{badPerSecond: 3, badParts: 1, ownerLostAt: 6 * time.Second},
	{badPerSecond: 0, badParts: 1, killsPerSecond: 1, group: 1},
	{badPerSecond: 0, badParts: 1, killsPerSecond: 0.3, group: 6},
}

var crashPolicies = []string{PolicyColtsfootdrift, policyInstanceAlone, policyThreeStrikes, policyNoneQuarantine}

// crashing compares who counts the ends of servers under requests, and what follows.
var crashing = scenario{
	policies: crashPolicies,
	figures:  []string{"ended per part", "ended most", "sent late most", "sound begun", "sound begun least", "sound refused"},
	goals: []Goal{
		{Figure: "ended per part", Bound: 3}, {Figure: "sent late most", Bound: 3}, {Figure: "sound begun least", AtLeast: true, Bound: 0.5},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		if !slices.Contains(crashPolicies, policy) {
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		var sum crashFigures
		for i, v := range crashVariants {
			sum.add(newCrashSim(policy, v, seed*uint64(len(crashVariants))+uint64(i)).run(), v)
		}
		return sum.figures(), nil
	},
}

// crashFigures are the figures of all variants.
type crashFigures struct {
	ended, parts, endedMost, lateMost int
	sound, begun, refused             int
	begunLeast                        float64
	variants                          int
}

func (f *crashFigures) add(s *crashSim, v crashVariant) {
	for _, crashes := range s.crashes {
		f.ended += len(crashes)
		f.endedMost = max(f.endedMost, len(crashes))
	}
	if v.badPerSecond > 0 {
		f.parts += v.badParts
	}
	f.lateMost = max(f.lateMost, s.sentLate)
	f.sound, f.begun, f.refused = f.sound+s.sound, f.begun+s.begun, f.refused+s.refused
	if share := float64(s.begunLate) / float64(max(1, s.soundLate)); f.variants == 0 || share < f.begunLeast {
		f.begunLeast = share
	}
	f.variants++
}

func (f *crashFigures) figures() map[string]float64 {
	return map[string]float64{
		"ended per part": float64(f.ended) / float64(f.parts), "ended most": float64(f.endedMost), "sent late most": float64(f.lateMost),
		"sound begun": float64(f.begun) / float64(f.sound), "sound begun least": f.begunLeast, "sound refused": float64(f.refused) / float64(f.sound),
	}
}

// crashServer is one model server.
type crashServer struct {
	id          string
	region      int
	incarnation int64
	down        bool
	// starting holds the requests whose answers have not begun.
	starting []*crashRequest
}

type crashRequest struct {
	id           string
	parts        []string
	region, home int
	bad          string
	sentAt       time.Time
	polls        int
}

// crashSim simulates one variant with one policy.
type crashSim struct {
	variant  crashVariant
	policy   string
	random   *rand.Rand
	start    time.Time
	now      time.Time
	events   crashEvents
	sequence int
	servers  []*crashServer
	trackers map[int]*quarantine.Tracker
	strikes  map[string]int
	ids      int

	// crashes holds, by bad part, when servers ended under it.
	crashes               map[string][]time.Time
	sentLate              int
	sound, begun, refused int
	soundLate, begunLate  int
}

func newCrashSim(policy string, v crashVariant, seed uint64) *crashSim {
	start := time.Unix(1_000_000_000, 0)
	s := &crashSim{variant: v, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start, trackers: map[int]*quarantine.Tracker{}, strikes: map[string]int{}, crashes: map[string][]time.Time{}}
	for i := range crashRegions * crashServers {
		s.servers = append(s.servers, &crashServer{id: fmt.Sprint("s", i), region: i / crashServers})
	}
	return s
}

// run simulates the whole period.
func (s *crashSim) run() *crashSim {
	s.arrive(soundPerSecond, 0, crashPeriod, s.soundRequest)
	s.arrive(s.variant.badPerSecond, badFrom, badUntil, s.badRequest)
	s.repeat(s.variant.killsPerSecond, badFrom, badUntil, s.killGroup)
	if s.variant.ownerLostAt > 0 {
		s.at(s.variant.ownerLostAt, s.loseOwners)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(crashEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *crashSim) at(offset time.Duration, run func()) { s.schedule(s.start.Add(offset), run) }
func (s *crashSim) after(d time.Duration, run func())   { s.schedule(s.now.Add(d), run) }

func (s *crashSim) schedule(at time.Time, run func()) {
	s.sequence++
	heap.Push(&s.events, crashEvent{at, s.sequence, run})
}

func (s *crashSim) repeat(perSecond float64, from, until time.Duration, run func()) {
	if perSecond == 0 {
		return
	}
	for at := from; ; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		s.at(at, run)
	}
}

func (s *crashSim) arrive(perSecond float64, from, until time.Duration, create func() *crashRequest) {
	s.repeat(perSecond, from, until, func() { s.place(create()) })
}

func (s *crashSim) newRequest(parts ...string) *crashRequest {
	s.ids++
	id := fmt.Sprint("r", s.ids)
	home := s.random.IntN(crashRegions * crashInstances)
	return &crashRequest{id: id, parts: append(parts, id), region: home / crashInstances, home: home}
}

func (s *crashSim) caller() string { return fmt.Sprint("caller", s.random.IntN(crashCallers)) }

func (s *crashSim) soundRequest() *crashRequest {
	r := s.newRequest("route", s.caller())
	s.sound++
	if s.boundPassed(soundBoundDelay) {
		s.soundLate++
	}
	return r
}

func (s *crashSim) badRequest() *crashRequest {
	bad := fmt.Sprint("bad", s.random.IntN(s.variant.badParts))
	parts := []string{"route", s.caller(), bad}
	switch {
	case s.variant.first:
		parts = []string{bad, "route", s.caller()}
	case s.variant.withCaller:
		parts = []string{"caller0", bad}
	}
	r := s.newRequest(parts...)
	r.bad = bad
	return r
}

// boundPassed reports whether a delay has passed since the last of the crashes after which
// the bound counts.
func (s *crashSim) boundPassed(delay time.Duration) bool {
	for _, crashes := range s.crashes {
		if last := crashes[min(len(crashes), boundCrashes)-1]; s.now.After(last.Add(delay)) {
			return true
		}
	}
	return s.variant.badPerSecond == 0 && s.now.After(s.start.Add(badFrom+soundBoundDelay))
}

// tracker returns the tracker that decides on a request, nil when the policy has none.
func (s *crashSim) tracker(r *crashRequest) *quarantine.Tracker {
	key := r.region
	switch s.policy {
	case policyInstanceAlone:
		key = r.home
	case policyThreeStrikes, policyNoneQuarantine:
		return nil
	}
	if s.trackers[key] == nil {
		s.trackers[key] = quarantine.NewTracker()
		s.trackers[key].BeginWarmUp(s.now)
	}
	return s.trackers[key]
}

// loseOwners replaces the trackers by new ones, which know only the quarantines.
func (s *crashSim) loseOwners() {
	for key, t := range s.trackers {
		s.trackers[key] = quarantine.NewTracker()
		s.trackers[key].Merge(s.now, t.Records(s.now))
		s.trackers[key].BeginWarmUp(s.now)
	}
}

func (s *crashSim) verdict(r *crashRequest) quarantine.Verdict {
	if t := s.tracker(r); t != nil {
		return t.Admit(s.now, r.id, r.parts).Verdict
	}
	if s.policy == policyThreeStrikes && slices.ContainsFunc(r.parts, func(part string) bool { return s.strikes[part] >= strikes }) {
		return quarantine.Quarantined
	}
	return quarantine.Admitted
}

// place sends a request to a server, or lets it wait or refuses it.
func (s *crashSim) place(r *crashRequest) {
	verdict := s.verdict(r)
	server := s.pick(r.region)
	switch {
	case verdict == quarantine.Waiting && r.polls < maxTrialPolls:
		r.polls++
		s.after(trialPoll, func() { s.place(r) })
		return
	case verdict == quarantine.Waiting, verdict == quarantine.Quarantined, server == nil:
		if r.bad == "" {
			s.refused++
		}
		return
	}
	r.sentAt = s.now
	if crashes := s.crashes[r.bad]; len(crashes) >= boundCrashes && s.now.After(crashes[boundCrashes-1].Add(boundDelay)) {
		s.sentLate++
	}
	server.starting = append(server.starting, r)
	incarnation := server.incarnation
	s.after(minAnswerDelay+time.Duration(s.random.Int64N(int64(answerDelaySpread))), func() {
		if server.incarnation == incarnation && !server.down {
			s.beginAnswer(server, r)
		}
	})
}

// pick returns a random server of a region, or of any region when none is up.
func (s *crashSim) pick(region int) *crashServer {
	var local, all []*crashServer
	for _, server := range s.servers {
		if server.down {
			continue
		}
		all = append(all, server)
		if server.region == region {
			local = append(local, server)
		}
	}
	if len(local) == 0 {
		local = all
	}
	if len(local) == 0 {
		return nil
	}
	return local[s.random.IntN(len(local))]
}

func (s *crashSim) beginAnswer(server *crashServer, r *crashRequest) {
	if r.bad != "" {
		s.crashes[r.bad] = append(s.crashes[r.bad], s.now)
		s.end(server)
		return
	}
	server.starting = slices.DeleteFunc(server.starting, func(other *crashRequest) bool { return other == r })
	s.begun++
	if s.boundPassed(soundBoundDelay) {
		s.begunLate++
	}
	incarnation := server.incarnation
	s.after(answerStart+answeredDelay, func() {
		if t := s.tracker(r); t != nil && server.incarnation == incarnation && !server.down {
			t.Answered(s.now, r.parts)
		}
	})
}

// killGroup ends some servers that follow each other.
func (s *crashSim) killGroup() {
	first := s.random.IntN(len(s.servers))
	for i := range s.variant.group {
		if server := s.servers[(first+i)%len(s.servers)]; !server.down {
			s.end(server)
		}
	}
}

// end ends a server under the requests at it, and starts it again later.
func (s *crashSim) end(server *crashServer) {
	cut := s.now
	start := quarantine.ServerStart{ID: server.id, Incarnation: server.incarnation}
	for _, r := range server.starting {
		s.report(r, quarantine.Crash{Server: start, Request: r.id, Parts: r.parts, SentAt: r.sentAt, CutAt: cut})
	}
	server.down, server.starting = true, nil
	s.after(serverRestartTime, func() {
		server.down = false
		server.incarnation++
	})
}

// report has the trackers learn of a crash.
func (s *crashSim) report(r *crashRequest, crash quarantine.Crash) {
	if s.policy == policyThreeStrikes {
		for _, part := range r.parts {
			s.strikes[part]++
		}
		return
	}
	s.after(reportDelay, func() {
		if t := s.tracker(r); t != nil {
			t.Crashed(s.now, crash)
		}
	})
	if s.policy != PolicyColtsfootdrift {
		return
	}
	s.after(regionDelay, func() {
		own := s.tracker(r)
		remote := crash
		remote.Remote = true
		for region := range crashRegions {
			if t := s.trackers[region]; t != nil && t != own {
				t.Merge(s.now, own.Records(s.now))
				t.Crashed(s.now, remote)
			}
		}
	})
}

// crashEvent is one event of a crashSim.
type crashEvent struct {
	at       time.Time
	sequence int
	run      func()
}

// crashEvents is a heap of events in the order of time.
type crashEvents []crashEvent

func (e crashEvents) Len() int { return len(e) }
func (e crashEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e crashEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *crashEvents) Push(x any)   { *e = append(*e, x.(crashEvent)) }
func (e *crashEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
