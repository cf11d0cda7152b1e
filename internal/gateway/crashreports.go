package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

// crashReportTimeout bounds the report of a crash to another instance.
const crashReportTimeout = 300 * time.Millisecond

// recordAnswered records that the answer to a request went on beyond its start, here and at
// the instance that places the prompts. The latter learns it with the next call, or at once
// when other requests wait for the outcome of a trial.
func (p *Placer) recordAnswered(service string, parts []string, onTrial bool) {
	p.quarantines.recordAnswered(service, parts)
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return
	}
	p.quarantines.queueAnswered(service, parts)
	if onTrial {
		p.sendReport(address, &peerpb.ReportPlacementRequest{Service: service})
	}
}

// ownCrash records the end of a server under a request of this instance. The instance that
// places the prompts of the service decides what follows from it, and this one does if it
// can't be reached.
func (p *Placer) ownCrash(ctx context.Context, service string, crash quarantine.Crash) {
	p.quarantines.metrics.crashes.Inc(1)
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		p.regionCrash(service, crash)
		return
	}
	crash.Remote = p.reportToPlacer(ctx, address, encodeCrash(service, crash))
	p.quarantines.recordCrash(service, crash)
}

// holdSuspects has requests with the parts of one wait, because its server may have ended.
func (p *Placer) holdSuspects(ctx context.Context, service, request string, parts []string) {
	p.quarantines.hold(service, request, parts)
	address := p.cluster.Owner(placementKey(service))
	if address == "" {
		return
	}
	p.reportToPlacer(ctx, address, &peerpb.ReportCrashRequest{Service: service, Parts: parts, RequestId: request, Uncertain: true})
}

// reportToPlacer reports a crash to the instance that places the prompts, and returns whether
// it was received.
func (p *Placer) reportToPlacer(ctx context.Context, address string, request *peerpb.ReportCrashRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	err := p.peerClient.ReportCrash(ctx, address, request)
	if err != nil {
		p.cluster.Avoid(address)
		events.PlacerFailed.Log(ctx, p.logger, slog.String("id", request.RequestId), slog.String("address", address), slog.Any("error", err))
	}
	return err == nil
}

// regionCrash records a crash in this region, and reports it to the other regions together
// with the quarantines.
func (p *Placer) regionCrash(service string, crash quarantine.Crash) {
	p.quarantines.recordCrash(service, crash)
	request := encodeCrash(service, crash)
	request.Remote = true
	now := time.Now()
	for _, r := range p.quarantines.records(service) {
		request.Quarantines = append(request.Quarantines, encodeRecord(now, r))
	}
	for _, address := range p.cluster.RegionContacts() {
		go p.forwardCrash(address, request)
	}
}

func (p *Placer) forwardCrash(address string, request *peerpb.ReportCrashRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	if err := p.peerClient.ReportCrash(ctx, address, request); err != nil {
		events.PlacementShareFailed.Log(ctx, p.logger, slog.String("service", request.Service), slog.String("address", address), slog.Any("error", err))
	}
}

// ReportCrash implements peer.PlacementHandler. An instance that does not place the prompts
// of the service forwards a report of another region once to the one of its region that does.
func (p *Placer) ReportCrash(request *peerpb.ReportCrashRequest) {
	if request.Uncertain {
		p.quarantines.hold(request.Service, request.RequestId, request.Parts)
		return
	}
	crash := decodeCrash(request)
	if !request.Remote {
		p.regionCrash(request.Service, crash)
		return
	}
	address := p.cluster.Owner(placementKey(request.Service))
	if address != "" && !request.Forwarded {
		request.Forwarded = true
		go p.forwardCrash(address, request)
		return
	}
	now := time.Now()
	var records []quarantine.Record
	for _, r := range request.Quarantines {
		records = append(records, decodeRecord(now, r))
	}
	p.quarantines.merge(request.Service, records)
	p.quarantines.recordCrash(request.Service, crash)
}

func encodeCrash(service string, crash quarantine.Crash) *peerpb.ReportCrashRequest {
	return &peerpb.ReportCrashRequest{
		Service: service, Server: crash.Server.ID, Incarnation: crash.Server.Incarnation, RequestId: crash.Request, Parts: crash.Parts,
		SentAgoMs: time.Since(crash.SentAt).Milliseconds(), CutAgoMs: time.Since(crash.CutAt).Milliseconds(), Remote: crash.Remote,
	}
}

func decodeCrash(request *peerpb.ReportCrashRequest) quarantine.Crash {
	now := time.Now()
	return quarantine.Crash{
		Server: quarantine.ServerStart{ID: request.Server, Incarnation: request.Incarnation}, Request: request.RequestId, Parts: request.Parts,
		SentAt: now.Add(-time.Duration(request.SentAgoMs) * time.Millisecond),
		CutAt:  now.Add(-time.Duration(request.CutAgoMs) * time.Millisecond), Remote: request.Remote,
	}
}

func encodeRecord(now time.Time, r quarantine.Record) *peerpb.QuarantineRecord {
	return &peerpb.QuarantineRecord{Id: r.ID, Parts: r.Parts, RemainingMs: r.Until.Sub(now).Milliseconds(), Crashes: int64(r.Crashes), Lifted: r.Lifted}
}

func decodeRecord(now time.Time, r *peerpb.QuarantineRecord) quarantine.Record {
	return quarantine.Record{ID: r.Id, Parts: r.Parts, Until: now.Add(time.Duration(r.RemainingMs) * time.Millisecond), Crashes: int(r.Crashes), Lifted: r.Lifted}
}
