package gateway

import (
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
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
	// byID holds the pauses by the ID of the server.
	byID map[string]serverHold
}

// serverHold is the pause of one incarnation of a server.
type serverHold struct {
	incarnation int64
	until       time.Time
}

func newServerHolds() *serverHolds { return &serverHolds{byID: map[string]serverHold{}} }

// add starts a pause of a server, or extends it. A pause that an earlier incarnation asked
// for is ignored.
func (h *serverHolds) add(server upstream.Server, now time.Time, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := serverHold{server.Incarnation, now.Add(min(pause, maxHold))}
	known, held := h.byID[server.ID]
	if held && (known.incarnation > hold.incarnation || known.incarnation == hold.incarnation && known.until.After(hold.until)) {
		return
	}
	h.byID[server.ID] = hold
	if len(h.byID) > maxHeldServers {
		h.dropFirst()
	}
}

// dropRestarted ends the pauses of earlier incarnations. incarnationOf returns the current
// one of a server, and false for one that is not listed.
func (h *serverHolds) dropRestarted(incarnationOf func(id string) (int64, bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, hold := range h.byID {
		if current, listed := incarnationOf(id); listed && current > hold.incarnation {
			delete(h.byID, id)
		}
	}
}

// dropFirst drops the pause that ends first.
func (h *serverHolds) dropFirst() {
	first := ""
	for id, hold := range h.byID {
		if first == "" || hold.until.Before(h.byID[first].until) {
			first = id
		}
	}
	delete(h.byID, first)
}

// remaining returns how long the pause of an incarnation of a server still lasts, 0 without
// one.
func (h *serverHolds) remaining(server string, incarnation int64, now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := h.byID[server]
	if hold.incarnation != incarnation {
		return 0
	}
	return max(0, hold.until.Sub(now))
}

// held returns the IDs of the servers in a pause.
func (h *serverHolds) held(now time.Time) (ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, hold := range h.byID {
		if now.Before(hold.until) {
			ids = append(ids, id)
		} else {
			delete(h.byID, id)
		}
	}
	return ids
}
