package standin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
)

// InstanceListFaults configures the faults of the instance list.
type InstanceListFaults struct {
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

// InstanceList is a stand-in of the platform's instance list.
type InstanceList struct {
	mu        sync.Mutex
	faults    InstanceListFaults
	snapshots []snapshot // oldest first
}

// Set replaces all members. The list shows the change after the lag.
func (l *InstanceList) Set(members []platform.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(slices.Clone(members))
}

// Put adds a member, or replaces the one with the same ID.
func (l *InstanceList) Put(member platform.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(append(withoutMember(l.latest(), member.ID), member))
}

// Remove removes a member from the list.
func (l *InstanceList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(withoutMember(l.latest(), id))
}

func withoutMember(members []platform.Member, id string) []platform.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m platform.Member) bool { return m.ID == id })
}

func (l *InstanceList) latest() []platform.Member {
	if len(l.snapshots) == 0 {
		return nil
	}
	return l.snapshots[len(l.snapshots)-1].members
}

func (l *InstanceList) replace(members []platform.Member) {
	now := time.Now()
	l.snapshots = append(l.snapshots, snapshot{takenAt: now, members: members})
	horizon := now.Add(-max(l.lag(), historyRetention))
	for len(l.snapshots) > 1 && l.snapshots[1].takenAt.Before(horizon) {
		l.snapshots = l.snapshots[1:]
	}
}

// Faults returns the faults in force.
func (l *InstanceList) Faults() InstanceListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the faults.
func (l *InstanceList) SetFaults(faults InstanceListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

func (l *InstanceList) lag() time.Duration {
	return time.Duration(l.faults.LagMS) * time.Millisecond
}

// Members returns the list as it was one lag ago, or the oldest one that is known
// when there was none yet.
func (l *InstanceList) Members() []platform.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.snapshots) == 0 {
		return []platform.Member{}
	}
	shown := l.snapshots[0]
	for _, s := range l.snapshots {
		if !s.takenAt.After(time.Now().Add(-l.lag())) {
			shown = s
		}
	}
	return slices.Clone(shown.members)
}

// Handler serves the list and the faults. A member registers with PUT and leaves
// with DELETE on its own path below the list.
func (l *InstanceList) Handler() http.Handler {
	router := mux.NewRouter()
	member := platform.PathList + "/{id}"
	router.HandleFunc(PathFaults, serveFaults(l.Faults, l.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(platform.PathList, l.withFaults(l.serveList)).Methods(http.MethodGet)
	router.HandleFunc(member, l.withFaults(l.servePut)).Methods(http.MethodPut)
	router.HandleFunc(member, l.withFaults(l.serveRemove)).Methods(http.MethodDelete)
	return router
}

func (l *InstanceList) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if l.Faults().Outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

func (l *InstanceList) serveList(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, l.Members())
}

func (l *InstanceList) servePut(w http.ResponseWriter, r *http.Request) {
	var member platform.Member
	if !readJSON(w, r, &member) {
		return
	}
	member.ID = mux.Vars(r)["id"]
	l.Put(member)
	w.WriteHeader(http.StatusNoContent)
}

func (l *InstanceList) serveRemove(w http.ResponseWriter, r *http.Request) {
	l.Remove(mux.Vars(r)["id"])
	w.WriteHeader(http.StatusNoContent)
}
