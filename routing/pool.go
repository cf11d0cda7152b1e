package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Latency series of a server.
const (
	seriesFirstByte = iota
	seriesTotal
	seriesCount
)

// server is the state of one backend server. Times are in nanoseconds.
type server struct {
	Server
	hash uint64
	live bool
	// home is the number of home slots of this instance, homeLong of those that
	// long kinds may use.
	home, homeLong int
	// homeNumbers are those of the home slots at the server, lowest first.
	homeNumbers []int
	// tier is the distance class of the server.
	tier int
	// draining is true from a drain marker until the next incarnation.
	draining bool
	// slowStartFrom is when the slow start began; 0 for a server that is warm.
	slowStartFrom int64
	inFlight      int
	long          int
	// peerInFlight and peersLong are the aged counts of the other instances.
	peerInFlight float64
	peerLong     float64
	// excess is the load of the last report that no count explained.
	excess   float64
	excessAt int64
	latency  [seriesCount][classCount]latencySeries
	stragglerState
	// scale multiplies the load in the score: latency relative to the pool
	// divided by weight and slots.
	scale float64
}

// peerReport is what another instance last said.
type peerReport struct {
	counts     []ServerCount
	receivedAt int64
}

// Pool is the servers of one pool as one instance sees them.
type Pool struct {
	location Location
	// choices is the number of random candidates of one decision.
	choices int
	servers []server
	byID    map[string]ServerIndex
	// ordered holds the live servers by tier; tierEnd is the end of each tier.
	ordered     []ServerIndex
	tierEnd     [tierCount]int
	peerReports map[string]peerReport
	// slots is the sum over live servers.
	slots     int
	self      string
	instances []Instance
	// home lists the servers with home slots of this instance.
	home      []ServerIndex
	homeSlots int

	nextMaintenance  int64
	nextOverdueCheck int64
	nextHalving      int64
	medians          [seriesCount][classCount]float64
	totalLatency     [classCount]histogram
	times            [classCount]StageTimes
	hedgeDelay       [classCount]time.Duration
	scratch          []float64
	lowered          int
	picksSinceProbe  int
}

// Choices is the number of random candidates that a decision compares.
const Choices = 2

// NewPool returns an empty pool for an instance at location.
func NewPool(location Location) *Pool {
	return &Pool{
		location:    location,
		choices:     Choices,
		byID:        map[string]ServerIndex{},
		peerReports: map[string]peerReport{},
	}
}

// Update replaces the servers of the pool. Servers that are new to a pool that
// already has some, and restarted ones, go through a slow start.
func (p *Pool) Update(servers []Server, now time.Time) {
	t := now.UnixNano()
	first := len(p.ordered) == 0
	for i := range p.servers {
		s := &p.servers[i]
		s.live, s.home, s.homeLong, s.homeNumbers = false, 0, 0, s.homeNumbers[:0]
	}
	for _, listed := range servers {
		p.update(listed, first, t)
	}
	p.reorder()
	p.assignHomeSlots()
	p.maintain(t)
}

func (p *Pool) update(listed Server, first bool, t int64) {
	listed.Slots = max(1, listed.Slots)
	index, known := p.byID[listed.ID]
	if known && p.servers[index].Incarnation >= listed.Incarnation {
		s := &p.servers[index]
		s.live, s.Slots = true, listed.Slots
		return
	}
	if !known {
		index = p.allocateIndex()
		p.byID[listed.ID] = index
	}
	s := &p.servers[index]
	*s = server{
		Server: listed, hash: xxhash.Sum64String(listed.ID), live: true, tier: p.tier(listed),
		inFlight: s.inFlight, long: s.long, scale: 1 / float64(listed.Slots),
	}
	if !first {
		s.slowStartFrom = t
	}
}

// allocateIndex returns the index of a slot that no call uses.
func (p *Pool) allocateIndex() ServerIndex {
	for i := range p.servers {
		s := &p.servers[i]
		if s.ID == "" {
			return ServerIndex(i)
		}
	}
	p.servers = append(p.servers, server{})
	return ServerIndex(len(p.servers) - 1)
}

// reorder sorts the live servers by tier and frees slots of gone ones.
func (p *Pool) reorder() {
	p.ordered = p.ordered[:0]
	p.slots = 0
	for i := range p.servers {
		s := &p.servers[i]
		switch {
		case s.live:
			p.ordered = append(p.ordered, ServerIndex(i))
			p.slots += s.Slots
		case s.ID != "" && s.inFlight == 0:
			delete(p.byID, s.ID)
			*s = server{}
		}
	}
	slices.SortFunc(p.ordered, func(a, b ServerIndex) int {
		if d := p.servers[a].tier - p.servers[b].tier; d != 0 {
			return d
		}
		return strings.Compare(p.servers[a].ID, p.servers[b].ID)
	})
	for tier := range tierCount {
		p.tierEnd[tier] = 0
		for _, index := range p.ordered {
			if p.servers[index].tier <= tier {
				p.tierEnd[tier]++
			}
		}
	}
}

// Index returns the index of a server by its ID.
func (p *Pool) Index(id string) (ServerIndex, bool) {
	index, ok := p.byID[id]
	return index, ok
}

// ID returns the ID of a server.
func (p *Pool) ID(i ServerIndex) string { return p.servers[i].ID }

// Local reports whether a server is in the instance's region.
func (p *Pool) Local(i ServerIndex) bool { return p.servers[i].tier < tierRemote }

// Slots returns the sum of the slots of the servers in the instance's region, or
// in all regions when its own has none.
func (p *Pool) Slots() int {
	if slots := p.slotsOf(p.ordered[:p.tierEnd[tierRegion]]); slots > 0 {
		return slots
	}
	return p.slotsOf(p.ordered)
}

func (p *Pool) slotsOf(servers []ServerIndex) int {
	slots := 0
	for _, index := range servers {
		if !p.servers[index].draining {
			slots += p.servers[index].Slots
		}
	}
	return slots
}

// RandomLocal returns a random live server of the instance's region, for a load report.
func (p *Pool) RandomLocal(random *rand.Rand) (ServerIndex, bool) {
	near := p.ordered[:p.tierEnd[tierRegion]]
	if len(near) == 0 {
		return noServer, false
	}
	return near[random.IntN(len(near))], true
}

// Started counts a call in flight.
func (p *Pool) Started(i ServerIndex, class pipeline.Class, now time.Time) {
	s := &p.servers[i]
	c := classIndex(class)
	s.inFlight++
	if c == longIndex {
		s.long++
	}
	s.latency[seriesTotal][c].started(now.UnixNano())
}

// FirstByte records the time from the start of a call to the first byte of its answer.
func (p *Pool) FirstByte(i ServerIndex, class pipeline.Class, latency time.Duration) {
	p.servers[i].latency[seriesFirstByte][classIndex(class)].add(latency)
}

// Finished ends a call that was started.
func (p *Pool) Finished(i ServerIndex, class pipeline.Class, result Result, now time.Time) {
	s := &p.servers[i]
	c := classIndex(class)
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	if c == longIndex && s.long > 0 {
		s.long--
	}
	whole := &s.latency[seriesTotal][c]
	whole.finished(now.Add(-result.Latency).UnixNano())
	switch result.Outcome {
	case Answered:
		whole.add(result.Latency)
		s.abandonedSlow = 0
	case Failed:
		whole.addAtLeast(result.Latency)
	case Abandoned:
		whole.addAtLeast(p.recordAbandoned(s, c, result.Latency, now.UnixNano()))
	case Refused:
		return
	case Unreachable:
		p.lowerToMinimum(s, now.UnixNano())
		return
	}
	p.recordResult(s, c, result, now.UnixNano())
}

// Report takes a server's own load report. Load beyond the counts of all
// instances is a correction that ages out, because reports lag.
func (p *Pool) Report(i ServerIndex, report LoadReport, now time.Time) {
	s := &p.servers[i]
	known := float64(s.inFlight) + s.peerInFlight
	s.excess = max(0, float64(report.Running+report.Waiting)-known)
	s.excessAt = now.UnixNano()
}

// SetPeerCounts replaces the counts that another instance last reported. The pool
// keeps the slice.
func (p *Pool) SetPeerCounts(instance string, counts []ServerCount, now time.Time) {
	p.peerReports[instance] = peerReport{counts: counts, receivedAt: now.UnixNano()}
}

// Counts returns the calls in flight of this instance, for its peers.
func (p *Pool) Counts() []ServerCount {
	var counts []ServerCount
	for _, index := range p.ordered {
		if s := &p.servers[index]; s.inFlight > 0 {
			counts = append(counts, ServerCount{ID: s.ID, InFlight: s.inFlight, Long: s.long})
		}
	}
	return counts
}

// Drain marks a server that is leaving. The marker ends with the next
// incarnation of the server.
func (p *Pool) Drain(id string) bool {
	index, ok := p.byID[id]
	if !ok || p.servers[index].draining {
		return false
	}
	p.servers[index].draining = true
	return true
}
