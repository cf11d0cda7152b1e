package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
)

// PlatformFaults configures the faults of the instance list.
type PlatformFaults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// LagMS is the delay after which the list shows a change, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// snapshot is the list of members between two changes.
type snapshot struct {
	takenAt time.Time
	members []platform.Member
}

// Platform is a stand-in of the platform's instance list.
type Platform struct {
	mu        sync.Mutex
	faults    PlatformFaults
	snapshots []snapshot // oldest first
}

// Set replaces all members. The list shows the change after the lag.
func (p *Platform) Set(members []platform.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(slices.Clone(members))
}

// Put adds a member, or replaces the one with the same ID.
func (p *Platform) Put(member platform.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(append(withoutMember(p.latest(), member.ID), member))
}

// Remove removes a member from the list.
func (p *Platform) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replace(withoutMember(p.latest(), id))
}

func withoutMember(members []platform.Member, id string) []platform.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m platform.Member) bool { return m.ID == id })
}

func (p *Platform) latest() []platform.Member {
	if len(p.snapshots) == 0 {
		return nil
	}
	return p.snapshots[len(p.snapshots)-1].members
}

func (p *Platform) replace(members []platform.Member) {
	now := time.Now()
	p.snapshots = append(p.snapshots, snapshot{takenAt: now, members: members})
	horizon := now.Add(-max(p.lag(), historyRetention))
	for len(p.snapshots) > 1 && p.snapshots[1].takenAt.Before(horizon) {
		p.snapshots = p.snapshots[1:]
	}
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

func (p *Platform) lag() time.Duration {
	return time.Duration(p.faults.LagMS) * time.Millisecond
}

// Members returns the list as it was one lag ago, or the oldest one that is known
// when there was none yet.
func (p *Platform) Members() []platform.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.snapshots) == 0 {
		return []platform.Member{}
	}
	shown := p.snapshots[0]
	for _, s := range p.snapshots {
		if !s.takenAt.After(time.Now().Add(-p.lag())) {
			shown = s
		}
	}
	return slices.Clone(shown.members)
}

// Handler serves the list and the faults. A member registers with PUT and leaves
// with DELETE on its own path below the list.
func (p *Platform) Handler() http.Handler {
	router := mux.NewRouter()
	member := platform.PathList + "/{id}"
	router.HandleFunc(PathFaults, serveFaults(p.Faults, p.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(platform.PathList, p.withFaults(p.serveList)).Methods(http.MethodGet)
	router.HandleFunc(member, p.withFaults(p.servePut)).Methods(http.MethodPut)
	router.HandleFunc(member, p.withFaults(p.serveRemove)).Methods(http.MethodDelete)
	return router
}

func (p *Platform) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.Faults().Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Members())
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var member platform.Member
	if !readJSON(w, r, &member) {
		return
	}
	member.ID = mux.Vars(r)["id"]
	p.Put(member)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}
