package view

import "time"

// An instance that relies on a reader reads the store itself when what the reader announces does
// not arrive, so that a reader with a slow link delays the others for a bounded time.
const (
	// minPatience is how long the reader and its first standby wait for changes that another
	// instance has, before they read the store themselves. The second standby waits
	// takeoverInterval longer, the third one twice that and each one after it standbyInterval
	// more; followers wait between minFollowerPatience and maxWatchDelay more.
	minPatience         = 300 * time.Millisecond
	minFollowerPatience = 1200 * time.Millisecond
	// slowPatience is how much longer readers and standbys wait while an answer arrives.
	slowPatience = 1200 * time.Millisecond
	// takeoverTime is how long a standby reads the store after the reader was late, so that
	// the region does not return to a reader that is late again and again.
	takeoverTime = 10 * time.Second
)

// pullPatience returns how long an instance of a rank waits for changes that another instance
// has before it reads the store itself.
func (s *Sync) pullPatience(rank int) time.Duration {
	if rank > maxStandbyRank {
		return s.followerPatience
	}
	steps := min(max(0, rank-1), 2)
	return minPatience + time.Duration(steps)*takeoverInterval + time.Duration(max(0, rank-3))*standbyInterval
}

// pullsAreStuck reports whether the changes that another instance has do not arrive. It is
// called with the lock held.
func (s *Sync) pullsAreStuck(now time.Time, rank int) bool {
	patience := s.pullPatience(rank)
	if s.receivesPull() {
		if rank > maxStandbyRank {
			return false // a standby reads the store if the answer takes too long
		}
		patience += slowPatience
	}
	return s.isBehind() && now.Sub(s.behindSince) >= patience
}

// Bounds of readBackoff.
const (
	minReadBackoff = time.Second
	maxReadBackoff = 16 * time.Second
)

// leavesLinkToOthers reports whether this instance makes no call to the store because the last
// one failed although others reach the store. The link of this instance may be full then, and
// each call that ends without an answer would fill it further. It is called with the lock held.
func (s *Sync) leavesLinkToOthers(now time.Time) bool {
	return now.Before(s.retryReadAt) && now.Sub(s.lastContact) < confirmTimeout+followerDelay
}

// deferRead records that a call to the store failed.
func (s *Sync) deferRead(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readBackoff = min(maxReadBackoff, max(minReadBackoff, 2*s.readBackoff))
	s.retryReadAt = now.Add(s.readBackoff)
}

// readerIsLate reports whether this instance is a standby that reads the store because the
// reader does not deliver, and not because a large answer is on its way to it.
func (s *Sync) readerIsLate() bool {
	rank := s.peers.ReaderRank()
	s.mu.Lock()
	defer s.mu.Unlock()
	return rank > 0 && rank <= maxStandbyRank && s.receivingSince.IsZero()
}

// takeOver records that the store returned changes which a late reader had not delivered.
func (s *Sync) takeOver(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.readUntil) {
		s.readUntil = now.Add(takeoverTime)
	}
}
