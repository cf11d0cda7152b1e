package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

const (
	// admissionInterval is how often limits are adapted and late requests refused.
	admissionInterval = 20 * time.Millisecond
	// loadInterval is the mean time between two load reports that an instance
	// reads, whatever the number of servers: about 1 KB/s of control traffic.
	loadInterval = 400 * time.Millisecond
	loadTimeout  = time.Second
)

// DecisionMetrics reports the decisions under load.
type DecisionMetrics struct {
	scope  tally.Scope
	tagged sync.Map
}

// NewDecisionMetrics returns metrics that report to a scope.
func NewDecisionMetrics(scope tally.Scope) *DecisionMetrics {
	return &DecisionMetrics{scope: scope}
}

// refused counts a refused request by the type of its problem.
func (m *DecisionMetrics) refused(problem string) {
	kept, ok := m.tagged.Load(problem)
	if !ok {
		tags := map[string]string{"reason": problem}
		kept, _ = m.tagged.LoadOrStore(problem, m.scope.Tagged(tags).Counter("refused_requests"))
	}
	kept.(tally.Counter).Inc(1)
}

// queueGauges are the gauges of one pool's queue.
type queueGauges struct{ running, waiting, limit tally.Gauge }

func (m *DecisionMetrics) queue(pool string, running, waiting, limit int) {
	type key struct{ pool string }
	kept, ok := m.tagged.Load(key{pool})
	if !ok {
		scope := m.scope.Tagged(map[string]string{"pool": pool})
		gauges := queueGauges{scope.Gauge("admission_running"), scope.Gauge("admission_waiting"), scope.Gauge("admission_limit")}
		kept, _ = m.tagged.LoadOrStore(key{pool}, gauges)
	}
	gauges := kept.(queueGauges)
	gauges.running.Update(float64(running))
	gauges.waiting.Update(float64(waiting))
	gauges.limit.Update(float64(limit))
}

func newDecisionMetrics(m *metrics.Metrics) *DecisionMetrics { return NewDecisionMetrics(m.Scope) }

func newServers(entry settings.Entry, logger *slog.Logger) *Servers {
	location := routing.Location{Region: entry.Region, FailureDomain: entry.FailureDomain}
	return NewServers(entry.Instance, location, entry.MinLinkInstances(), logger, time.Now)
}

func newAdmissionControl(servers *Servers, m *DecisionMetrics, logger *slog.Logger) *AdmissionControl {
	return NewAdmissionControl(servers, m, logger, time.Now)
}

func newLoadReader() backend.LoadReader {
	return &backend.HTTPLoadReader{Client: &http.Client{Timeout: loadTimeout}}
}

// driveDecisions runs the timers of the decisions until the daemon stops.
func driveDecisions(lc fx.Lifecycle, servers *Servers, control *AdmissionControl, reader backend.LoadReader) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go clock.Every(ctx, admissionInterval, control.Tick)
			go servers.PollLoad(ctx, reader)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// PollLoad reads the load report of one random server at a time until ctx ends.
// Each instance reads at its own random times.
func (s *Servers) PollLoad(ctx context.Context, reader backend.LoadReader) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, loadInterval/2+rand.N(loadInterval))
		s.pollOne(ctx, reader)
	}
}

func (s *Servers) pollOne(ctx context.Context, reader backend.LoadReader) {
	pools := s.snapshot()
	if len(pools) == 0 {
		return
	}
	skip := rand.IntN(len(pools))
	for _, p := range pools {
		if skip == 0 {
			p.poll(ctx, reader, s.logger, s.now)
			return
		}
		skip--
	}
}

func (p *serverPool) poll(ctx context.Context, reader backend.LoadReader, logger *slog.Logger, now func() time.Time) {
	p.mu.Lock()
	index, ok := p.pool.RandomLocal(p.random)
	server := p.servers[index]
	p.mu.Unlock()
	if !ok {
		return
	}
	report, err := reader.Load(ctx, server)
	if err != nil {
		events.LoadUnreadable.Log(ctx, logger, slog.String("server", server.ID), slog.Any("error", err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if current, ok := p.pool.Index(server.ID); ok {
		load := routing.LoadReport{Running: report.Running, Waiting: report.Waiting}
		p.pool.Report(current, load, now().Add(-report.Age))
	}
}
