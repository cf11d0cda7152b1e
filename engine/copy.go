package engine

import "time"

const (
	// minCopyTokens is the smallest number of tokens that are copied.
	minCopyTokens = 256
	// minCopySpeedup is how many times faster than a prefill at initialPrefillTokensPerSecond a
	// copy must be.
	minCopySpeedup = 2
	// copyPenaltyPerToken is the cost of a copied token beyond the time of the copy: the
	// prefill of a token, because it may displace another one from the cache, which must then
	// be processed again. A copy is worth it when it saves a longer wait.
	copyPenaltyPerToken = time.Second / initialPrefillTokensPerSecond
)

// source is the server of any region that caches most of a prompt, with the number of
// prompt tokens that it does not cache. The zero value is no source.
type source struct {
	server   *serverState
	uncached int
}

// bestSource returns the server that caches most of a prompt. Ties go to servers of the
// scheduler's own region, then to the server that was a source least recently. Paused
// servers and those outside the allowed regions are no sources.
func (s *Scheduler) bestSource(now time.Time, q Query) (best source) {
	for _, c := range s.servers {
		if now.Before(c.pausedUntil) || !q.Regions.Contains(c.Region) {
			continue
		}
		uncached, _ := c.uncachedTokens(q.Prompt)
		if best.server == nil || uncached < best.uncached || uncached == best.uncached && s.preferredAsSource(c, best.server) {
			best = source{c, uncached}
		}
	}
	return best
}

// preferredAsSource reports whether a is preferred to b as a source when both cache
// equally much of a prompt.
func (s *Scheduler) preferredAsSource(a, b *serverState) bool {
	if near := a.Region == s.region; near != (b.Region == s.region) {
		return near
	}
	return a.lastCopiedFromAt.Before(b.lastCopiedFromAt)
}

// tokensToCopy returns how many tokens a server copies from the source if it does not
// cache the given number of prompt tokens. It returns 0 when a copy is not worth it.
func (src source) tokensToCopy(c *serverState, uncached int) int {
	if src.server == nil || src.server == c || c.CopyRate < minCopySpeedup*initialPrefillTokensPerSecond || uncached-src.uncached < minCopyTokens {
		return 0
	}
	return uncached - src.uncached
}

// missingSharedParts returns the shared parts of a prompt that the server does not
// cache.
func (c *serverState) missingSharedParts(prompt []Part) (parts []Part) {
	for i, part := range prompt {
		if _, ok := c.cachedParts[part.ID]; !ok && i < len(prompt)-1 {
			parts = append(parts, part)
		}
	}
	return parts
}

// RecordCached records parts that an incarnation of a server caches because another
// instance placed a prompt there.
func (s *Scheduler) RecordCached(now time.Time, server string, incarnation int64, parts []Part) {
	if c := s.incarnationOf(server, incarnation); c != nil {
		c.cacheParts(now, parts)
	}
}
