package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// eventsPerDrop is the number of cache events of which one is dropped: every tenth
// event is never published.
const eventsPerDrop = 10

// maxCacheEvents is the number of events that are kept for readers.
const maxCacheEvents = 1000

// cacheEvent is an event with the time at which it is published.
type cacheEvent struct {
	backend.WireCacheEvent
	due time.Time
}

// prefixCache is a bounded set of prompt prefixes with LRU eviction. It reports
// insertions and evictions as numbered events, which are published with a delay.
type prefixCache struct {
	mu         sync.Mutex
	limit      int           // maximum number of prefixes
	delay      time.Duration // from an event to its publication
	keys       []string      // least recently used first
	events     []cacheEvent
	lastNumber int64 // number of the last event, dropped ones included
}

// use reports whether a prefix was cached, and caches it.
func (c *prefixCache) use(prefix string) bool {
	if prefix == "" || c.limit == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	position := slices.Index(c.keys, prefix)
	if position >= 0 {
		c.keys = append(slices.Delete(c.keys, position, position+1), prefix)
		return true
	}
	if len(c.keys) == c.limit {
		c.addEvent(c.keys[0], false)
		c.keys = slices.Delete(c.keys, 0, 1)
	}
	c.keys = append(c.keys, prefix)
	c.addEvent(prefix, true)
	return false
}

// addEvent adds an event unless it is one of the dropped ones.
func (c *prefixCache) addEvent(prefix string, stored bool) {
	c.lastNumber++
	if c.lastNumber%eventsPerDrop == 0 {
		return
	}
	event := backend.WireCacheEvent{Number: c.lastNumber, PrefixKey: prefix, Stored: stored}
	c.events = append(c.events, cacheEvent{event, time.Now().Add(c.delay)})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// holds reports whether a prefix is cached.
func (c *prefixCache) holds(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.keys, prefix)
}

// published returns the events with a higher number than after whose publication
// time has passed.
func (c *prefixCache) published(after int64, now time.Time) []backend.WireCacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []backend.WireCacheEvent{}
	for _, event := range c.events {
		if event.Number > after && !event.due.After(now) {
			events = append(events, event.WireCacheEvent)
		}
	}
	return events
}
