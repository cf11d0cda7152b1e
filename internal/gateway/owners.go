package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// maxRanked bounds the instances that are ranked for a key.
const maxRanked = 8

// ownerRanks ranks the live instances of the region for keys. It ranks each key once
// per change of membership.
type ownerRanks struct {
	mu sync.Mutex
	// byKey holds the IDs of the first maxRanked instances by key.
	byKey map[string][]string
	// addresses holds the peer addresses by ID. It is nil after a change.
	addresses map[string]string
	// provisional is true when the instances may include some that are only registered.
	provisional bool
	// strong and weak hold the IDs of the instances by capacity.
	strong, weak []string
}

// invalidate has the instances ranked anew.
func (r *ownerRanks) invalidate() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = nil
}

// rank returns the IDs of the first instances for a key, and the peer addresses of all
// instances. live returns the live instances of the region. A provisional ranking is
// replaced by the next one.
func (r *ownerRanks) rank(key string, live func() []membership.Record, provisional bool) (ids []string, addresses map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.addresses == nil || r.provisional {
		r.update(live())
		r.provisional = provisional
	}
	ranked, known := r.byKey[key]
	if !known {
		ranked = append(rendezvous.Order(key, r.strong), rendezvous.Order(key, r.weak)...)
		ranked = slices.Clip(ranked[:min(maxRanked, len(ranked))])
		r.byKey[key] = ranked
	}
	return ranked, r.addresses
}

func (r *ownerRanks) update(live []membership.Record) {
	r.byKey = map[string][]string{}
	r.addresses = map[string]string{}
	r.strong, r.weak = membership.SplitByCapacity(live)
	for _, record := range live {
		r.addresses[record.ID] = record.Address
	}
}

// liveInstances returns the records of the live instances of the region, while this one
// is joining also those of instances that are only registered. The address of this
// instance is empty.
func (c *Cluster) liveInstances(joining bool) []membership.Record {
	var live []membership.Record
	known := map[string]bool{}
	c.node.View(func(s *membership.State) {
		for _, record := range s.LiveMembers() {
			known[record.ID] = true
			if record.ID == c.settings.Instance {
				record.Address = ""
			}
			if record.State == membership.Alive {
				live = append(live, record)
			}
		}
	})
	if !joining {
		return live
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.registered {
		if !known[id] {
			live = append(live, membership.Record{ID: id, Address: r.Address, Capacity: r.Capacity})
		}
	}
	return live
}

// joining reports whether this instance has started so recently that membership may
// not know all instances.
func (c *Cluster) joining() bool { return time.Since(c.started) < joinGracePeriod }

// rank returns the instances that come first for a key, and the addresses by ID.
func (c *Cluster) rank(key string) (ids []string, addresses map[string]string) {
	joining := c.joining()
	return c.ranks.rank(key, func() []membership.Record { return c.liveInstances(joining) }, joining)
}

// Owners returns the addresses of some of the region's live instances in the order of
// rendezvous hashing of a key, strong ones before weak ones. The first one owns the
// key: it batches the calls of the stage service of that name, or places the prompts of
// a service of model servers. Instances that did not answer lately come last. An empty
// address is this instance, which is always in the list.
func (c *Cluster) Owners(key string) []string {
	ids, addresses := c.rank(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	owners := make([]string, 0, len(ids)+1)
	for _, id := range ids {
		owners = append(owners, addresses[id])
	}
	if !slices.Contains(owners, "") {
		owners = append(owners, "")
	}
	slices.SortStableFunc(owners, func(a, b string) int {
		return c.avoidance(a, now) - c.avoidance(b, now)
	})
	return owners
}

// avoidance returns 1 for an instance that did not answer lately, 0 for others. It is
// called with the lock held.
func (c *Cluster) avoidance(address string, now time.Time) int {
	if now.Before(c.avoidUntil[address]) {
		return 1
	}
	return 0
}

// Owner returns the address of the instance that owns a key, empty for this one.
func (c *Cluster) Owner(key string) string { return c.Owners(key)[0] }

// ReaderRank implements view.Peers. The rank is the lowest one until firstReadDelay has
// passed: when all instances start together, each would otherwise be a reader.
func (c *Cluster) ReaderRank() int {
	if time.Since(c.started) < firstReadDelay {
		return maxRanked
	}
	ids, _ := c.rank("store reader")
	if rank := slices.Index(ids, c.settings.Instance); rank >= 0 {
		return rank
	}
	return maxRanked
}

// observeMembers has the owners chosen anew when an instance joins, leaves or fails.
func (c *Cluster) observeMembers(output membership.Output) {
	switch output.(type) {
	case membership.MemberChanged, membership.IsolationChanged:
		c.ranks.invalidate()
	}
}
