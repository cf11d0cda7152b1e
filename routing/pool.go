package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Latencies that are measured per server: to the first byte and of the total call.
const (
	seriesFirstByte = iota
	seriesTotal
	seriesCount
)

// server is the state of one backend server. Times are in Unix nanoseconds.
type server struct {
	Server
	hash uint64
	live bool
	// homeSlots is the number of this instance's home slots at the server, and
	// homeLongSlots of those that the long class may use.
	homeSlots, homeLongSlots int
	// homeSlotNumbers lists the slot numbers of the home slots, lowest first.
	homeSlotNumbers []int
	// tier is the distance of the server.
	tier int
	// draining is true from a drain marker until the next incarnation.
	draining bool
	// slowStartFrom is when the slow start began; 0 if there is none in progress.
	slowStartFrom int64
	// inFlight counts this instance's calls, long those of the long class among them.
	inFlight int
	long     int
	// peerInFlight and peerLong are the calls that other instances reported,
	// weighted by the age of the reports.
	peerInFlight float64
	peerLong     float64
	// excess is the load in the last load report beyond the known calls.
	excess   float64
	excessAt int64
	latency  [seriesCount][classCount]latencySeries
	stragglerState
	// scale multiplies the load in the score. It is the latency relative to the
	// pool, divided by weight and slots.
	scale float64
}

// receivedCounts are the calls in flight that another instance last reported.
type receivedCounts struct {
	counts     []InFlightCount
	receivedAt int64
}

// Pool holds the servers of one pool as seen by one instance. Times are in Unix
// nanoseconds, medians in nanoseconds.
type Pool struct {
	location Location
	// choices is the number of random candidates that a decision compares.
	choices int
	servers []server
	byID    map[string]ServerIndex
	// ordered lists the live servers by tier; tierEnd is the end of each tier in it.
	ordered    []ServerIndex
	tierEnd    [tierCount]int
	peerCounts map[string]receivedCounts
	// liveSlots is the sum of the slots of the live servers of all regions, draining ones
	// included.
	liveSlots int
	// self is the ID of this instance, and instances are all entry instances of the
	// region, sorted by ID.
	self      string
	instances []Instance
	// homeServers lists the servers at which this instance has home slots, and
	// totalHomeSlots is the number of these slots.
	homeServers    []ServerIndex
	totalHomeSlots int

	nextMaintenance  int64
	nextOverdueCheck int64
	nextHalving      int64
	medians          [seriesCount][classCount]float64
	// totalLatency holds the latencies of answers from servers at full weight. times
	// and hedgeDelay, its quantile hedgeQuantile, are computed from it by maintain.
	totalLatency [classCount]histogram
	times        [classCount]StageTimes
	hedgeDelay   [classCount]time.Duration
	// scratch is reused by computeMedians.
	scratch []float64
	// lowered is the number of live servers whose weight is lowered.
	lowered         int
	picksSinceProbe int
}

// Choices is the number of random candidates that a decision compares.
const Choices = 2

// NewPool returns an empty pool for an instance at location.
func NewPool(location Location) *Pool {
	return &Pool{
		location:   location,
		choices:    Choices,
		byID:       map[string]ServerIndex{},
		peerCounts: map[string]receivedCounts{},
	}
}

// SetServers replaces the list of servers. Servers added to a pool that already has
// some, and restarted ones, go through a slow start.
func (p *Pool) SetServers(servers []Server, now time.Time) {
	t := now.UnixNano()
	first := len(p.ordered) == 0
	for i := range p.servers {
		s := &p.servers[i]
		s.live, s.homeSlots, s.homeLongSlots, s.homeSlotNumbers = false, 0, 0, s.homeSlotNumbers[:0]
	}
	for _, listed := range servers {
		p.setServer(listed, first, t)
	}
	p.reorder()
	p.assignHomeSlots()
	p.maintain(t)
}

func (p *Pool) setServer(listed Server, first bool, t int64) {
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

// allocateIndex returns the index of an unused entry of servers.
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

// reorder sorts the live servers by tier and ID, and clears the entries of removed
// servers that have no calls in flight.
func (p *Pool) reorder() {
	p.ordered = p.ordered[:0]
	p.liveSlots = 0
	for i := range p.servers {
		s := &p.servers[i]
		switch {
		case s.live:
			p.ordered = append(p.ordered, ServerIndex(i))
			p.liveSlots += s.Slots
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

// Index returns the index of the server with the given ID.
func (p *Pool) Index(id string) (ServerIndex, bool) {
	index, ok := p.byID[id]
	return index, ok
}

// ID returns the ID of a server.
func (p *Pool) ID(i ServerIndex) string { return p.servers[i].ID }

// Region returns the region of a server.
func (p *Pool) Region(i ServerIndex) string { return p.servers[i].Region }

// Local reports whether a server is in the instance's region.
func (p *Pool) Local(i ServerIndex) bool { return p.servers[i].tier < tierRemote }

// Slots returns the sum of the slots of the servers in the instance's region, or in
// all regions if its own has none. Draining servers do not count.
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

// RandomLocal returns a random live server of the instance's region. The caller
// queries its load report.
func (p *Pool) RandomLocal(random *rand.Rand) (ServerIndex, bool) {
	local := p.ordered[:p.tierEnd[tierRegion]]
	if len(local) == 0 {
		return noServer, false
	}
	return local[random.IntN(len(local))], true
}

// Started counts a call as in flight.
func (p *Pool) Started(i ServerIndex, class pipeline.Class, now time.Time) {
	s := &p.servers[i]
	c := classIndex(class)
	s.inFlight++
	if c == classLong {
		s.long++
	}
	s.latency[seriesTotal][c].started(now.UnixNano())
}

// FirstByte records the time from the start of a call to the first byte of its
// answer.
func (p *Pool) FirstByte(i ServerIndex, class pipeline.Class, latency time.Duration) {
	p.servers[i].latency[seriesFirstByte][classIndex(class)].add(latency)
}

// Finished records the end of a call that Started counted.
func (p *Pool) Finished(i ServerIndex, class pipeline.Class, result Result, now time.Time) {
	s := &p.servers[i]
	c := classIndex(class)
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	if c == classLong && s.long > 0 {
		s.long--
	}
	total := &s.latency[seriesTotal][c]
	total.finished(now.Add(-result.Latency).UnixNano())
	switch result.Outcome {
	case Answered:
		total.add(result.Latency)
		s.abandonedSlow = 0
	case Failed:
		total.addAtLeast(result.Latency)
	case Abandoned:
		total.addAtLeast(p.recordAbandoned(s, c, result.Latency, now.UnixNano()))
	case Refused:
		return
	case Unreachable:
		p.lowerToMinimum(s, now.UnixNano())
		return
	}
	p.recordResult(s, c, result, now.UnixNano())
}

// RecordLoad records a server's own load report. Load beyond the known calls of all
// instances is added to the server's load and decays, because load reports lag.
func (p *Pool) RecordLoad(i ServerIndex, report LoadReport, now time.Time) {
	s := &p.servers[i]
	known := float64(s.inFlight) + s.peerInFlight
	s.excess = max(0, float64(report.Running+report.Waiting)-known)
	s.excessAt = now.UnixNano()
}

// SetPeerCounts replaces the calls in flight that another instance reported. The
// pool keeps the slice.
func (p *Pool) SetPeerCounts(instance string, counts []InFlightCount, now time.Time) {
	p.peerCounts[instance] = receivedCounts{counts: counts, receivedAt: now.UnixNano()}
}

// InFlightCounts returns this instance's calls in flight, to be reported to its peers.
func (p *Pool) InFlightCounts() []InFlightCount {
	var counts []InFlightCount
	for _, index := range p.ordered {
		if s := &p.servers[index]; s.inFlight > 0 {
			counts = append(counts, InFlightCount{ID: s.ID, InFlight: s.inFlight, Long: s.long})
		}
	}
	return counts
}

// Drain marks a server as draining. It returns false if the server is unknown or
// already marked. The mark ends with the next incarnation of the server.
func (p *Pool) Drain(id string) bool {
	index, ok := p.byID[id]
	if !ok || p.servers[index].draining {
		return false
	}
	p.servers[index].draining = true
	return true
}
