package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// ObserveView records which servers are cold. Requests to a cold server need permits like those
// to a server that has named a limit.
func (p *Permits) ObserveView(v *view.View) {
	if v.Table == nil {
		return
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordReturned(v, now)
	for _, server := range v.Registered() {
		if server.ColdFor > 0 {
			p.recordCold(v.Table, server, now.Add(server.ColdFor))
		} else if p.table.EndCold(now, server.ID) {
			events.ServerWarm.Log(context.Background(), p.logger, slog.String("server", server.ID))
		}
	}
}

// recordReturned takes the servers of a failure domain whose evacuation has ended as just
// started: they may have become cold meanwhile, which their entries may say too late. It is
// called with the lock held.
func (p *Permits) recordReturned(v *view.View, now time.Time) {
	for _, domain := range p.evacuated {
		if v.IsEvacuated(domain) {
			continue
		}
		for _, server := range v.InFailureDomain(domain) {
			service := v.Table.Service(server.Service)
			rate, limited := p.coldRate(service)
			if !limited {
				continue
			}
			until := now.Add(service.ColdStart)
			p.table.ReportCold(ratelimit.ColdPeriod{Server: server.ID, Incarnation: server.Incarnation, Rate: rate, Until: until})
		}
	}
	p.evacuated = v.Evacuated
}

// recordCold records that a server is cold until a time. It is called with the lock held.
func (p *Permits) recordCold(table *route.Table, server view.Server, until time.Time) {
	rate, limited := p.coldRate(table.Service(server.Service))
	if !limited {
		return
	}
	period := ratelimit.ColdPeriod{Server: server.ID, Incarnation: server.Incarnation, Number: server.ColdPeriod, Rate: rate, Until: until}
	if p.table.SetCold(period) {
		events.ServerCold.Log(context.Background(), p.logger, slog.String("server", server.ID), slog.String("failure_domain", server.FailureDomain),
			slog.Int64("cold_ms", server.ColdFor.Milliseconds()), slog.Float64("per_second", float64(rate)))
	}
}

// coldRate returns the rate of requests to a cold server of a service, and false when the service
// has none or is nil.
func (p *Permits) coldRate(service *route.Service) (ratelimit.Rate, bool) {
	if service == nil || service.ColdRate <= 0 {
		return 0, false
	}
	bound := service.ColdRate*p.settings.ColdOverage + p.settings.ColdSlack
	return min(ratelimit.Rate(service.ColdRate), ratelimit.SafeRate(bound)), true
}

// receiveCold records that the server of a request for a permit is cold, which the caller may
// have learned first.
func (p *Permits) receiveCold(table *route.Table, request *peerpb.AcquirePermitRequest) {
	rate, limited := p.coldRate(table.Service(request.Service))
	if request.ColdMs <= 0 || !limited {
		return
	}
	until := time.Now().Add(min(time.Duration(request.ColdMs)*time.Millisecond, maxReportedCold))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.ReportCold(ratelimit.ColdPeriod{Server: request.Limit.GetServer(), Incarnation: request.Limit.GetIncarnation(), Rate: rate, Until: until})
}

// maxReportedCold bounds the time that another instance may report.
const maxReportedCold = 10 * time.Minute

// coldRemaining returns how long a server is still cold.
func (p *Permits) coldRemaining(server string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	period, cold := p.table.Cold(now, server)
	if !cold {
		return 0
	}
	return period.Until.Sub(now)
}
