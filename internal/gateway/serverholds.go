package gateway

import (
	"sync"
	"time"
)

const (
	// maxHold bounds a pause, whatever a server asks for.
	maxHold = 10 * time.Minute
	// maxHeldServers bounds the servers whose pauses are remembered; those that end first
	// are dropped.
	maxHeldServers = 4096
)

// serverHolds remembers the servers that asked for a pause.
type serverHolds struct {
	mu sync.Mutex
	// until holds the end of the pause by the ID of the server.
	until map[string]time.Time
}

func newServerHolds() *serverHolds { return &serverHolds{until: map[string]time.Time{}} }

// add starts a pause of a server, or extends it.
func (h *serverHolds) add(server string, now time.Time, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if end := now.Add(min(pause, maxHold)); end.After(h.until[server]) {
		h.until[server] = end
	}
	if len(h.until) > maxHeldServers {
		h.dropFirst()
	}
}

// dropFirst drops the pause that ends first.
func (h *serverHolds) dropFirst() {
	first := ""
	for id, end := range h.until {
		if first == "" || end.Before(h.until[first]) {
			first = id
		}
	}
	delete(h.until, first)
}

// remaining returns how long the pause of a server still lasts, 0 without one.
func (h *serverHolds) remaining(server string, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, h.until[server].Sub(now))
}

// held returns the IDs of the servers in a pause.
func (h *serverHolds) held(now time.Time) (ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, end := range h.until {
		if now.Before(end) {
			ids = append(ids, id)
		} else {
			delete(h.until, id)
		}
	}
	return ids
}
