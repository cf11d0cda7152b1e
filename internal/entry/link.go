package entry

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// linkBudget limits the use of the link between regions to this instance's share
// of its capacity.
type linkBudget struct {
	mu     sync.Mutex
	budget *quota.LinkBudget
	// instances is the number of instances that share the link, minInstances its
	// lower bound.
	minInstances int
	instances    int
}

func newLinkBudget(minInstances int) *linkBudget {
	return &linkBudget{budget: quota.NewLinkBudget(0), minInstances: minInstances, instances: minInstances}
}

// update sets the capacity of the link and the number of instances that the
// instance list has in this region.
func (l *linkBudget) update(set *pipeline.Set, instances int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = max(l.minInstances, instances)
	if set != nil {
		l.budget.SetCapacity(quota.BytesPerSecond(set.Deployment.LinkMbits))
	}
}

// share returns the fraction of the link that this instance may use, an equal part
// for each instance.
func (l *linkBudget) share() float64 {
	return 1 / float64(l.instances)
}

// hasCapacity reports whether a call of at most bytes may use the link now. It is
// false for 0, which the kinds have whose requests stay in their region.
func (l *linkBudget) hasCapacity(bytes int64, now time.Time) bool {
	if bytes == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.CanReserve(bytes, l.share(), now)
}

// reserve takes bytes from the budget before a call, and returns false when the
// budget does not suffice.
func (l *linkBudget) reserve(bytes int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, _ := l.budget.Reserve(bytes, l.share(), now)
	return ok
}

// settle replaces the reservation of a finished call by the bytes that it moved.
func (l *linkBudget) settle(query Query, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use := quota.LinkUse{Kind: query.Kind, Stage: query.Stage, Organisation: query.Organisation}
	l.budget.Settle(use, query.LinkBytes, bytes)
}

// LinkUsage returns the bytes that crossed the link by kind, stage and organisation.
func (s *Servers) LinkUsage() map[quota.LinkUse]int64 {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	usage := make(map[quota.LinkUse]int64, len(s.link.budget.Used()))
	for use, bytes := range s.link.budget.Used() {
		usage[use] = bytes
	}
	return usage
}
