// Package readiness serves the readiness check by which load balancers decide whether
// an instance gets new requests.
package readiness

import (
	"fmt"
	"log/slog"
	"net/http"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// Readiness is the handler of the readiness check. The instance is ready when all
// conditions are met and Withdraw was not called.
type Readiness struct {
	// Ready is logged to Logger at the first check that finds the instance ready.
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

// Require adds a condition that must be met, such as a loaded configuration. The name
// is the reason while it is not met.
func (r *Readiness) Require(name string, met func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conditions = append(r.conditions, condition{name, met})
}

// Withdraw makes the instance not ready from now on, whatever its conditions.
func (r *Readiness) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdrawn = true
}

// NotReadyReason returns why the instance is not ready: the name of the first condition
// that is not met, or that it is shutting down. It is empty when the instance is ready.
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

// ServeHTTP answers with status 200 when the instance is ready, and otherwise with 503
// and the reason.
func (r *Readiness) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	reason := r.NotReadyReason()
	if reason == "" {
		r.reported.Do(func() { r.Ready.Log(request.Context(), r.Logger) })
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintln(w, reason)
}
