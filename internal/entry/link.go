package entry

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// linkBudget guards the instance's part of the link between regions.
type linkBudget struct {
	mu      sync.Mutex
	link    *quota.LinkBudget
	least   int
	sharers int
}

func newLinkBudget(least int) *linkBudget {
	return &linkBudget{link: quota.NewLinkBudget(0), least: least, sharers: least}
}

// update takes the capacity of the link and the listed instances of the region.
func (l *linkBudget) update(set *pipeline.Set, instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sharers = max(l.least, instances)
	if set != nil {
		l.link.SetCapacity(quota.BytesPerSecond(set.Deployment.LinkMbits))
	}
}

// share is the instance's part of the link, an equal part among the sharers.
func (l *linkBudget) share() float64 {
	return 1 / float64(l.sharers)
}

// room reports whether a call may use the link; 0 bytes stay in the region.
func (l *linkBudget) room(bytes int64, now time.Time) bool {
	if bytes == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.link.CanReserve(bytes, l.share(), now)
}

func (l *linkBudget) reserve(bytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, _ := l.link.Reserve(bytes, l.share(), now)
	return ok
}

func (l *linkBudget) settle(query Query, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := quota.LinkUse{Kind: query.Kind, Stage: query.Stage, Organisation: query.Organisation}
	l.link.Settle(use, query.LinkBytes, bytes)
}

// LinkUsed returns the bytes that crossed the link by kind, stage and organisation.
func (s *Servers) LinkUsed() map[quota.LinkUse]int64 {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	used := make(map[quota.LinkUse]int64, len(s.link.link.Used()))
	for use, bytes := range s.link.link.Used() {
		used[use] = bytes
	}
	return used
}
