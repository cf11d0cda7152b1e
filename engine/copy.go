package engine

import "time"

const (
	// minCopy is the number of tokens from which parts of a prompt are copied.
	minCopy = 256
	// copyAdvantage is how many times faster than reading a copy must be.
	copyAdvantage = 2
	// copyPenalty is what a copied token costs beyond its time, because it takes
	// memory at one more server.
	copyPenalty = 8 * time.Microsecond
)

// source is the server that keeps most of a prompt, of any region, and how many of
// its tokens are not kept there. The zero value is no source.
type source struct {
	server *state
	unread int
}

// bestSource returns the server that keeps most of a prompt. Of equal ones it is that of
// the own region, then the one from which was copied least recently.
func (s *Scheduler) bestSource(now time.Time, prompt []Part) (best source) {
	for _, c := range s.list {
		if now.Before(c.pausedUntil) {
			continue
		}
		unread, _ := c.unread(prompt)
		if best.server == nil || unread < best.unread || unread == best.unread && s.before(c, best.server) {
			best = source{c, unread}
		}
	}
	return best
}

// before orders servers that keep the same parts as sources.
func (s *Scheduler) before(a, b *state) bool {
	if near := a.Region == s.region; near != (b.Region == s.region) {
		return near
	}
	return a.copiedAt.Before(b.copiedAt)
}

// copied returns how many tokens a server that has not read a number of them copies
// from the source.
func (f source) copied(c *state, unread int) int {
	if f.server == nil || f.server == c || c.CopyRate < copyAdvantage*readRate || unread-f.unread < minCopy {
		return 0
	}
	return unread - f.unread
}

// lacking returns the shared parts of a prompt that the server does not keep.
func (c *state) lacking(prompt []Part) (parts []Part) {
	for i, part := range prompt {
		if _, ok := c.parts[part.ID]; !ok && i < len(prompt)-1 {
			parts = append(parts, part)
		}
	}
	return parts
}

// RecordCached records parts that another instance has placed at a server.
func (s *Scheduler) RecordCached(now time.Time, server string, parts []Part) {
	if c := s.byID[server]; c != nil {
		c.keep(now, parts)
	}
}
