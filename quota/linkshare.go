package quota

import "time"

// Times of the division of the link. An instance stops using its share well
// before the others divide it anew: it needs word from each of them within
// shareValid; it is missing from the others' views after advertiseLife; and they
// count it as a sharer until memberLife. Views delayed by up to the difference
// of two of these times do no harm.
const (
	shareValid    = 10 * time.Second
	advertiseLife = 15 * time.Second
	memberLife    = 30 * time.Second
)

// LinkView is what an instance tells the others of its region: itself and those
// from which it heard lately.
type LinkView struct {
	Instance string
	Members  []string
}

// sharer is another instance that may use the link.
type sharer struct {
	// knownAt is when it was last heard of, heardAt when its own view last came.
	knownAt, heardAt time.Time
	// acknowledgedAt is when its view last named this instance.
	acknowledgedAt time.Time
}

// LinkShare is one instance's equal share of the link between regions. The sum
// of all shares stays within 1 although views are stale: an instance divides by
// every sharer that it knows of, has no share until all of them have acknowledged
// it, and loses it when one of them no longer does. Most of those that agreed
// before may then go on without the rest.
type LinkShare struct {
	self string
	// least is the smallest number of sharers to divide by.
	least int
	peers map[string]*sharer
	// joined is true from the acknowledgement by all until that of one is lost. A
	// sharer that joins later waits for this instance, not the reverse.
	joined bool
	// agreed is the number of sharers when the instance last had a share.
	agreed int
	// startedAt begins the time in which an instance only listens.
	startedAt time.Time
}

// NewLinkShare returns the share of an instance that starts. listed is what the
// instance list names in the region, least the operators' lower bound on the
// number of instances to divide by.
func NewLinkShare(self string, listed []string, least int, now time.Time) *LinkShare {
	l := &LinkShare{self: self, least: least, peers: map[string]*sharer{}, startedAt: now}
	for _, id := range listed {
		l.learn(id, now)
	}
	l.agreed = len(l.peers) + 1
	return l
}

// learn adds a sharer that was not known.
func (l *LinkShare) learn(id string, now time.Time) *sharer {
	peer := l.peers[id]
	if peer == nil && id != l.self {
		peer = &sharer{knownAt: now}
		l.peers[id] = peer
	}
	return peer
}

// Receive takes the view of another instance.
func (l *LinkShare) Receive(view LinkView, now time.Time) {
	if view.Instance == l.self {
		return
	}
	peer := l.learn(view.Instance, now)
	peer.knownAt, peer.heardAt = now, now
	for _, id := range view.Members {
		if id == l.self {
			peer.acknowledgedAt = now
			continue
		}
		l.learn(id, now)
	}
}

// View returns what this instance tells the others.
func (l *LinkShare) View(now time.Time) LinkView {
	members := []string{l.self}
	for id, peer := range l.peers {
		if !peer.heardAt.IsZero() && now.Sub(peer.heardAt) < advertiseLife {
			members = append(members, id)
		}
	}
	return LinkView{Instance: l.self, Members: members}
}

// Leave removes an instance that said that it stops using the link.
func (l *LinkShare) Leave(id string) {
	delete(l.peers, id)
	l.agreed = min(l.agreed, len(l.peers)+1)
}

// Fraction returns this instance's part of the link now, 0 while it may use none.
func (l *LinkShare) Fraction(now time.Time) float64 {
	l.forget(now)
	if now.Sub(l.startedAt) < shareValid {
		return 0
	}
	all, lost := true, false
	for _, peer := range l.peers {
		fresh := !peer.acknowledgedAt.IsZero() && now.Sub(peer.acknowledgedAt) < shareValid
		all = all && fresh
		lost = lost || (!fresh && !peer.acknowledgedAt.IsZero())
	}
	l.joined = all || (l.joined && !lost)
	if !l.joined {
		return 0
	}
	sharers := len(l.peers) + 1
	l.agreed = sharers
	return 1 / float64(max(l.least, sharers))
}

// forget drops silent sharers if most of those that last agreed remain. The
// smaller part of a region that was cut apart keeps them and has no share.
func (l *LinkShare) forget(now time.Time) {
	silent := 0
	for _, peer := range l.peers {
		if now.Sub(peer.knownAt) >= memberLife {
			silent++
		}
	}
	if silent == 0 || 2*(len(l.peers)+1-silent) <= l.agreed {
		return
	}
	for id, peer := range l.peers {
		if now.Sub(peer.knownAt) >= memberLife {
			delete(l.peers, id)
		}
	}
}
