package engine

import (
	"slices"
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
	for _, part := range c.partsByUse() {
		if !c.overflows(keep) {
			return
		}
		c.evict(part.id)
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

// usedPart is a part and when it was last used.
type usedPart struct {
	id       string
	lastUsed time.Time
}

// partsByUse returns the cached parts in the order of their last use.
func (c *serverState) partsByUse() []usedPart {
	parts := make([]usedPart, 0, len(c.cachedParts))
	for id, part := range c.cachedParts {
		parts = append(parts, usedPart{id, part.lastUsed})
	}
	slices.SortFunc(parts, func(a, b usedPart) int { return a.lastUsed.Compare(b.lastUsed) })
	return parts
}
