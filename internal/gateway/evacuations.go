package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
)

// errServerEvacuated reports a request that was not sent because the failure domain of its
// server is evacuated.
var errServerEvacuated = errors.New("failure domain of the server is evacuated")

// Evacuations keeps requests of this instance from the servers of evacuated failure domains.
// Such servers are chosen for nothing, so it stops what was chosen before the evacuation was
// known here: retries, calls and frees of stages, reads of caches, and probes.
type Evacuations struct {
	views   *view.Sync
	logger  *slog.Logger
	stopped tally.Counter
	// evacuated is the number of evacuated failure domains.
	evacuated tally.Gauge

	mu sync.Mutex
	// running holds the evacuations that this instance knows, by failure domain.
	running map[string]*evacuation
}

// evacuation is one evacuated failure domain.
type evacuation struct {
	// since is when this instance learned of it.
	since time.Time
	// stopped is the number of requests that were not sent.
	stopped int64
	// withheld holds the IDs of the servers that they were for.
	withheld map[string]bool
}

// NewEvacuations returns the evacuations in the views of a Sync.
func NewEvacuations(views *view.Sync, logger *slog.Logger, scope tally.Scope) *Evacuations {
	return &Evacuations{
		views: views, logger: logger, stopped: scope.Counter("evacuation_requests_stopped"),
		evacuated: scope.Gauge("evacuated_failure_domains"), running: map[string]*evacuation{},
	}
}

// Check returns errServerEvacuated for a registered server in an evacuated failure domain.
func (e *Evacuations) Check(ctx context.Context, server string) error {
	current := e.views.Current()
	listed, ok := current.ByID(server)
	if !ok || !current.IsEvacuated(listed.FailureDomain) {
		return nil
	}
	e.recordStopped(ctx, listed)
	return errServerEvacuated
}

// recordStopped counts a request that was not sent, and logs the first one for each server.
func (e *Evacuations) recordStopped(ctx context.Context, server view.Server) {
	e.stopped.Inc(1)
	e.mu.Lock()
	first := false
	if running := e.running[server.FailureDomain]; running != nil {
		running.stopped++
		first = !running.withheld[server.ID]
		running.withheld[server.ID] = true
	}
	e.mu.Unlock()
	if first {
		events.EvacuationBlockedSend.Log(ctx, e.logger, slog.String("server", server.ID), slog.String("failure_domain", server.FailureDomain))
	}
}

// ObserveView records which evacuations began and ended.
func (e *Evacuations) ObserveView(v *view.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, domain := range v.Evacuated {
		if e.running[domain] == nil {
			e.running[domain] = &evacuation{since: time.Now(), withheld: map[string]bool{}}
			events.EvacuationBegan.Log(context.Background(), e.logger, slog.String("failure_domain", domain),
				slog.Int64("version", v.Version.Revision()), slog.Int("servers", len(v.InFailureDomain(domain))))
		}
	}
	for domain, running := range e.running {
		if !v.IsEvacuated(domain) {
			delete(e.running, domain)
			events.EvacuationEnded.Log(context.Background(), e.logger, slog.String("failure_domain", domain),
				slog.Int64("version", v.Version.Revision()), slog.Int64("took_ms", time.Since(running.since).Milliseconds()),
				slog.Int64("requests_stopped", running.stopped))
		}
	}
	e.evacuated.Update(float64(len(e.running)))
}

// EvacuationStatus is one evacuated failure domain for operators.
type EvacuationStatus struct {
	FailureDomain string `json:"failure_domain"`
	// Since is when this instance learned of the evacuation.
	Since time.Time `json:"since"`
	// Servers is the number of servers that are registered there.
	Servers int `json:"servers"`
	// RequestsStopped is the number of requests of this instance that were not sent.
	RequestsStopped int64 `json:"requests_stopped"`
	// OpenConnections is the number of connections of this instance to these servers. It is
	// 0 once the failure domain is empty.
	OpenConnections int `json:"open_connections"`
}

// Status returns the evacuated failure domains, sorted. openConnections returns the number of
// connections of this instance to a server.
func (e *Evacuations) Status(openConnections func(server string) int) []EvacuationStatus {
	list := []EvacuationStatus{}
	current := e.views.Current()
	e.mu.Lock()
	for domain, running := range e.running {
		list = append(list, EvacuationStatus{FailureDomain: domain, Since: running.since, RequestsStopped: running.stopped})
	}
	e.mu.Unlock()
	for i := range list {
		for _, server := range current.InFailureDomain(list[i].FailureDomain) {
			list[i].Servers++
			list[i].OpenConnections += openConnections(server.ID)
		}
	}
	slices.SortFunc(list, func(a, b EvacuationStatus) int { return strings.Compare(a.FailureDomain, b.FailureDomain) })
	return list
}
