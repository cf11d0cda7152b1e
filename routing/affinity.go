package routing

// pickByPrefix returns the first server in the rendezvous order of the prompt prefix
// whose load is within the bound, or noServer.
func (p *Pool) pickByPrefix(t int64, q *Query, mode eligibilityMode, candidates []ServerIndex) ServerIndex {
	// The mean load includes the call that is being placed.
	load, slots := 1.0, 0.0
	for _, i := range candidates {
		s := &p.servers[i]
		load += s.load(t)
		slots += float64(s.Slots)
	}
	bound := BoundedLoad * load / slots
	best := noServer
	var bestHash uint64
	for _, i := range candidates {
		hash := mix(p.servers[i].hash ^ q.Prefix)
		if (best == noServer || hash > bestHash) && p.withinBound(t, i, q, mode, bound) {
			best, bestHash = i, hash
		}
	}
	return best
}

// withinBound reports whether a server may take one more call with the prefix. The
// load bound always admits a call to an idle server.
func (p *Pool) withinBound(t int64, i ServerIndex, q *Query, mode eligibilityMode, bound float64) bool {
	s := &p.servers[i]
	load := s.load(t)
	fits := load < 1 || (load+1)/float64(s.Slots) <= bound
	return fits && s.level == 0 && s.slowStartFrom == 0 && s.eligible(i, q, mode)
}

// mix is the finalizer of the SplitMix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
