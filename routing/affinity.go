package routing

import "time"

// hint is the last known place of a prompt prefix. Cache events come late and
// with gaps, so that a hint is only a preference and expires.
type hint struct {
	prefix uint64
	server ServerIndex
	until  int64
}

const (
	hintCount = 1024
	hintLife  = time.Minute
)

// Cached records a cache event: server i holds, or no longer holds, a prefix.
func (p *Pool) Cached(i ServerIndex, prefix uint64, present bool, now time.Time) {
	h := &p.hints[prefix%hintCount]
	if present {
		*h = hint{prefix, i, now.Add(hintLife).UnixNano()}
		return
	}
	if h.prefix == prefix && h.server == i {
		*h = hint{}
	}
}

// affine returns the server that holds a prefix according to a fresh hint, or
// the first one in rendezvous order whose load is within the bound.
func (p *Pool) affine(t int64, q *Query, mode strictness, candidates []ServerIndex) ServerIndex {
	load, slots := 1.0, 0.0
	for _, i := range candidates {
		s := &p.servers[i]
		load += s.load(t)
		slots += float64(s.Slots)
	}
	bound := BoundedLoad * load / slots
	if h := p.hints[q.Prefix%hintCount]; h.prefix == q.Prefix && h.until > t && p.holds(h.server) {
		if p.within(t, h.server, q, mode, bound) {
			return h.server
		}
	}
	best := none
	var bestHash uint64
	for _, i := range candidates {
		hash := mix(p.servers[i].hash ^ q.Prefix)
		if (best == none || hash > bestHash) && p.within(t, i, q, mode, bound) {
			best, bestHash = i, hash
		}
	}
	return best
}

// holds reports whether i is a live server of the region.
func (p *Pool) holds(i ServerIndex) bool {
	return p.servers[i].live && p.servers[i].tier < tierRemote
}

// within reports whether a server may take one more call of a shared prefix. A
// call to an idle server is always within the bound.
func (p *Pool) within(t int64, i ServerIndex, q *Query, mode strictness, bound float64) bool {
	s := &p.servers[i]
	load := s.load(t)
	fits := load < 1 || (load+1)/float64(s.Slots) <= bound
	return fits && s.level == 0 && s.slowStartFrom == 0 && s.eligible(i, q, mode)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
