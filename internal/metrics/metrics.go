// Package metrics provides the tally scope in which the system reports its metrics, and
// the HTTP handler that serves them to Prometheus.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the Prometheus reporter.
const reportInterval = time.Second

// Metrics is a root scope with the handler that serves its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns Metrics with a registry of their own, so that several instances can run
// in one process.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "coltsfootdrift",
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the reporting after a last report.
func (m *Metrics) Close() error {
	return m.closer.Close()
}
