package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answerhead"
	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

const (
	// admissionInterval is the time between two adaptations of the limits, at which
	// requests that waited too long are refused as well.
	admissionInterval = 20 * time.Millisecond
	// loadReportInterval is the mean time between two load reports that an instance
	// reads. It is independent of the number of servers, which keeps the control
	// traffic at about 1 KB/s.
	loadReportInterval = 400 * time.Millisecond
	loadReportTimeout  = time.Second
)

// AdmissionMetrics counts refused requests and reports the state of the admission
// queues.
type AdmissionMetrics struct {
	scope         tally.Scope
	taggedMetrics sync.Map
}

// NewAdmissionMetrics returns metrics that report to a scope.
func NewAdmissionMetrics(scope tally.Scope) *AdmissionMetrics {
	return &AdmissionMetrics{scope: scope}
}

// countRefused counts a refused request by the type of its problem.
func (m *AdmissionMetrics) countRefused(problemType string) {
	metric, ok := m.taggedMetrics.Load(problemType)
	if !ok {
		tags := map[string]string{"reason": problemType}
		metric, _ = m.taggedMetrics.LoadOrStore(problemType, m.scope.Tagged(tags).Counter("refused_requests"))
	}
	metric.(tally.Counter).Inc(1)
}

// queueGauges are the gauges of one pool's queue.
type queueGauges struct{ running, waiting, limit tally.Gauge }

func (m *AdmissionMetrics) updateQueue(pool string, running, waiting, limit int) {
	// The type keeps pools apart from the problem types, which are keys of the same map.
	type key struct{ pool string }
	metric, ok := m.taggedMetrics.Load(key{pool})
	if !ok {
		scope := m.scope.Tagged(map[string]string{"pool": pool})
		gauges := queueGauges{scope.Gauge("admission_running"), scope.Gauge("admission_waiting"), scope.Gauge("admission_limit")}
		metric, _ = m.taggedMetrics.LoadOrStore(key{pool}, gauges)
	}
	gauges := metric.(queueGauges)
	gauges.running.Update(float64(running))
	gauges.waiting.Update(float64(waiting))
	gauges.limit.Update(float64(limit))
}

func newAdmissionMetrics(m *metrics.Metrics) *AdmissionMetrics { return NewAdmissionMetrics(m.Scope) }

func newServers(entry settings.Entry, logger *slog.Logger) *Servers {
	location := routing.Location{Region: entry.Region, FailureDomain: entry.FailureDomain}
	return NewServers(entry.Instance, location, entry.MinLinkInstances(), logger, time.Now)
}

func newAdmissionControl(servers *Servers, m *AdmissionMetrics, logger *slog.Logger) *AdmissionControl {
	return NewAdmissionControl(servers, m, logger, time.Now)
}

func newLoadReader() backend.LoadReader {
	return &backend.HTTPLoadReader{Client: answerhead.NewClient(loadReportTimeout)}
}

// runAdmissionAndLoadPolling runs the ticks of admission control and reads load
// reports until the daemon stops.
func runAdmissionAndLoadPolling(lc fx.Lifecycle, servers *Servers, control *AdmissionControl, reader backend.LoadReader) {
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
// The intervals are random, so that instances do not read in step.
func (s *Servers) PollLoad(ctx context.Context, reader backend.LoadReader) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, loadReportInterval/2+rand.N(loadReportInterval))
		s.pollRandomServer(ctx, reader)
	}
}

func (s *Servers) pollRandomServer(ctx context.Context, reader backend.LoadReader) {
	pools := s.snapshot()
	if len(pools) == 0 {
		return
	}
	remaining := rand.IntN(len(pools))
	for _, p := range pools {
		if remaining == 0 {
			p.pollLoad(ctx, reader, s.logger, s.now)
			return
		}
		remaining--
	}
}

func (p *serverPool) pollLoad(ctx context.Context, reader backend.LoadReader, logger *slog.Logger, now func() time.Time) {
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
		p.pool.RecordLoad(current, load, now().Add(-report.Age))
	}
}
