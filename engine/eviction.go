package engine

import (
	"container/heap"
	"time"
)

// maxScans is the number of parts that are evicted by one search each. To evict more at a time,
// the parts are ordered once, so that the cost of a prompt is bounded by its number of parts and
// not by that number times maxCachedParts.
const maxScans = 4

// evictParts evicts the least recently used parts until the rest fits the server. The keep parts
// that were used last stay in the cache even if they exceed its tokens.
func (c *serverState) evictParts(keep int) {
	for range maxScans {
		if !c.overflows(keep) {
			return
		}
		c.evict(c.leastRecentlyUsed())
	}
	if !c.overflows(keep) {
		return
	}
	order := c.partsByUse()
	for c.overflows(keep) {
		c.evict(heap.Pop(&order).(usedPart).id)
	}
}

// overflows reports whether parts must be evicted.
func (c *serverState) overflows(keep int) bool {
	return len(c.cachedParts) > maxCachedParts || c.CacheTokens > 0 && c.cachedTokens > c.CacheTokens && len(c.cachedParts) > keep
}

func (c *serverState) evict(id string) {
	c.cachedTokens -= c.cachedParts[id].tokens
	delete(c.cachedParts, id)
}

// leastRecentlyUsed returns the ID of the part that was not used for the longest time.
func (c *serverState) leastRecentlyUsed() (oldest string) {
	found := false
	for id, part := range c.cachedParts {
		if !found || part.lastUsed.Before(c.cachedParts[oldest].lastUsed) {
			oldest, found = id, true
		}
	}
	return oldest
}

// partsByUse returns the cached parts in a heap, the least recently used one first.
func (c *serverState) partsByUse() useHeap {
	order := make(useHeap, 0, len(c.cachedParts))
	for id, part := range c.cachedParts {
		order = append(order, usedPart{id, part.lastUsed})
	}
	heap.Init(&order)
	return order
}

// usedPart is a part and when it was last used.
type usedPart struct {
	id       string
	lastUsed time.Time
}

// useHeap implements heap.Interface.
type useHeap []usedPart

// Len returns the number of parts.
func (h useHeap) Len() int { return len(h) }

// Less orders the parts by use.
func (h useHeap) Less(i, j int) bool { return h[i].lastUsed.Before(h[j].lastUsed) }

// Swap swaps two parts.
func (h useHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a part.
func (h *useHeap) Push(part any) { *h = append(*h, part.(usedPart)) }

// Pop removes the last part.
func (h *useHeap) Pop() any {
	last := len(*h) - 1
	part := (*h)[last]
	*h = (*h)[:last]
	return part
}
