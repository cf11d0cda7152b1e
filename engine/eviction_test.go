package engine

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// manyParts returns n parts of one token each with names of their own.
func manyParts(name string, n int) []Part {
	parts := make([]Part, n)
	for i := range parts {
		parts[i] = Part{ID: fmt.Sprint(name, i), Tokens: 1}
	}
	return parts
}

func fullServer() (*serverState, time.Time) {
	c := &serverState{cachedParts: map[string]cachedPart{}}
	now := time.Unix(1000, 0)
	for i := range maxCachedParts / 64 {
		now = now.Add(time.Second)
		c.cacheParts(now, manyParts(fmt.Sprint("old", i, "-"), 64))
	}
	return c, now.Add(time.Second)
}

// Guards against the eviction of parts that were used lately while older ones stay, with few and
// with many parts to evict.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	for _, n := range []int{1, maxScans, 64, 2000} {
		c := qt.New(t)
		server, now := fullServer()
		server.cacheParts(now, manyParts("new", n))
		c.Check(server.cachedParts, qt.HasLen, maxCachedParts)
		c.Check(server.cachedTokens, qt.Equals, maxCachedParts)
		oldest := now
		for _, part := range server.cachedParts {
			if part.lastUsed.Before(oldest) {
				oldest = part.lastUsed
			}
		}
		c.Check(oldest, qt.Equals, time.Unix(int64(1001+n/64), 0), qt.Commentf("%d parts", n))
	}
}

// BenchmarkPromptOfManyNewParts caches a prompt of 2,000 new parts on a full server.
func BenchmarkPromptOfManyNewParts(b *testing.B) {
	server, now := fullServer()
	for i := 0; b.Loop(); i++ {
		parts := manyParts(fmt.Sprint(i, "-"), 2000)
		now = now.Add(time.Second)
		server.cacheParts(now, parts)
	}
}
