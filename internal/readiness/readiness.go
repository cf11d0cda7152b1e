// Package readiness tells load balancers whether an instance takes new work.
package readiness

import (
	"fmt"
	"log/slog"
	"net/http"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// Readiness tells the load balancer whether the instance takes new work.
type Readiness struct {
	// Logger gets Ready the first time that the instance is ready.
	Logger *slog.Logger
	Ready  events.Event

	reported   sync.Once
	mu         sync.Mutex
	conditions []condition
	withdrawn  bool
}

type condition struct {
	name string
	met  func() bool
}

// Require adds a condition that must be met, such as a configuration in force.
func (r *Readiness) Require(name string, met func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = append(r.conditions, condition{name, met})
}

// Withdraw makes the instance not ready for good.
func (r *Readiness) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
}

// NotReadyReason returns why the instance is not ready, or an empty string.
func (r *Readiness) NotReadyReason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withdrawn {
		return "shutting down"
	}
	for _, c := range r.conditions {
		if !c.met() {
			return c.name
		}
	}
	return ""
}

// ServeHTTP answers 200 when ready, and otherwise 503 with the reason.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	missing := r.NotReadyReason()
	if missing == "" {
		r.reported.Do(func() { r.Ready.Log(request.Context(), r.Logger) })
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintln(w, missing)
}
