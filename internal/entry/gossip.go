package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

const (
	// drainMarkerLifetime is how long a drain marker is valid after the last refusal
	// of the server. A server that restarts has a new incarnation, which ends the
	// marker earlier.
	drainMarkerLifetime = 5 * time.Minute
	// countLifetime is how long an in-flight count of a peer is valid. It has to
	// expire, since heartbeats carry only counts above 0.
	countLifetime = 5 * time.Second
)

// stragglerInterval is the time between two exchanges of stragglers. It is short
// because each instance makes a slow call every few tens of milliseconds until it
// learns of a slow server.
const stragglerInterval = 100 * time.Millisecond

// stragglerMarkerLifetime is how long a straggler marker from a peer is valid. In
// a failure domain of 22 instances a heartbeat from each peer arrives every 11 s.
const stragglerMarkerLifetime = 30 * time.Second

// gossip exchanges state with the other instances through membership, for routing
// and admission control: drain and straggler markers, requests in flight and the
// demand of organisations.
type gossip struct {
	members   *Members
	servers   *Servers
	admission *AdmissionControl

	mu sync.Mutex
	// counts holds the last reported count by peer and server.
	counts map[string]map[string]reportedCount
	// incarnations holds the incarnation of each server in the instance list.
	incarnations map[string]int64
}

// reportedCount is an in-flight count of a peer and the time of its report.
type reportedCount struct {
	count routing.InFlightCount
	at    time.Time
}

func newGossip(members *Members, servers *Servers, control *AdmissionControl) *gossip {
	return &gossip{
		members: members, servers: servers, admission: control,
		counts: map[string]map[string]reportedCount{}, incarnations: map[string]int64{},
	}
}

// runGossip exchanges state with the other instances until the daemon stops. It
// does nothing without a peer address.
func runGossip(lc fx.Lifecycle, g *gossip, poller *InstanceListPoller) {
	if g.members.Node == nil {
		return
	}
	g.members.Node.Observe(g.handleOutput)
	poller.Observe(g.applyInstanceList)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go clock.Every(ctx, membership.Interval, g.exchange)
			go clock.Every(ctx, stragglerInterval, g.exchangeStragglers)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// handleOutput applies what other instances reported.
func (g *gossip) handleOutput(output membership.Output) {
	switch out := output.(type) {
	case membership.NewDrainMarker:
		g.applyDrainMarker(out.Marker)
	case membership.InFlightCountsReceived:
		g.mergeCounts(out)
	case membership.MemberChanged:
		if out.Record.State >= membership.Removed {
			g.removeInstance(out.Record.ID)
		}
	}
}

// applyDrainMarker drains a server unless the instance list already has a later
// incarnation of it.
func (g *gossip) applyDrainMarker(marker membership.DrainMarker) {
	g.mu.Lock()
	listed := g.incarnations[marker.Server]
	g.mu.Unlock()
	if !marker.Cleared && listed <= marker.Incarnation {
		g.servers.Drain(marker.Server)
	}
}

// mergeCounts merges the counts from a heartbeat, which may hold only a part of
// the peer's counts, with its earlier ones and passes the result to routing.
func (g *gossip) mergeCounts(out membership.InFlightCountsReceived) {
	now := time.Now()
	g.mu.Lock()
	known := g.counts[out.Instance]
	if known == nil {
		known = map[string]reportedCount{}
		g.counts[out.Instance] = known
	}
	for _, count := range out.Counts {
		known[count.Server] = reportedCount{routing.InFlightCount{ID: count.Server, InFlight: count.InFlight, Long: count.Long}, now}
	}
	var merged []routing.InFlightCount
	for server, count := range known {
		if now.Sub(count.at) > countLifetime {
			delete(known, server)
			continue
		}
		merged = append(merged, count.count)
	}
	g.mu.Unlock()
	for pool := range g.servers.snapshot() {
		g.servers.SetPeerCounts(out.Instance, pool, merged)
	}
}

// removeInstance drops the counts of a removed instance.
func (g *gossip) removeInstance(instance string) {
	g.mu.Lock()
	delete(g.counts, instance)
	g.mu.Unlock()
}

// exchange publishes the requests in flight of this instance, and exchanges demand
// with the other instances.
func (g *gossip) exchange() {
	g.reportInFlight()
	g.exchangeDemand()
}

// exchangeDemand publishes the demand of this instance and applies that of the
// others, by which the rates of organisations are divided among the instances.
func (g *gossip) exchangeDemand() {
	own := membershipDemand(g.admission.Demand())
	var peers []quota.DemandReport
	g.members.Do(func(s *membership.State) []membership.Output {
		s.SetDemand(own)
		for _, report := range s.PeerDemand(time.Now()) {
			peers = append(peers, quotaDemandReport(report))
		}
		return nil
	})
	g.admission.SetPeerDemand(peers)
}

// membershipDemand converts demand for heartbeats. Demand below a thousandth of a
// request per second is dropped.
func membershipDemand(report quota.DemandReport) (demand []membership.Demand) {
	for _, d := range report.Largest {
		if rate := int64(d.PerSecond * milliPerUnit); rate > 0 {
			demand = append(demand, membership.Demand{Organisation: d.Organisation, MilliPerSecond: rate})
		}
	}
	return demand
}

// quotaDemandReport converts a demand report of a peer for admission control.
func quotaDemandReport(report membership.DemandReport) quota.DemandReport {
	converted := quota.DemandReport{Instances: report.Instances, Incomplete: !report.Complete}
	for _, d := range report.Demand {
		converted.Largest = append(converted.Largest, quota.Demand{Organisation: d.Organisation, PerSecond: float64(d.MilliPerSecond) / milliPerUnit})
	}
	return converted
}

// milliPerUnit converts requests per second to thousandths of them.
const milliPerUnit = 1000

// exchangeStragglers publishes the stragglers that this instance detected and
// applies those that the peers reported.
func (g *gossip) exchangeStragglers() {
	var own []membership.Straggler
	for _, id := range g.servers.Stragglers() {
		own = append(own, membership.Straggler{Server: id, Remaining: stragglerMarkerLifetime})
	}
	var reports map[string]int
	g.members.Do(func(s *membership.State) []membership.Output {
		reports = s.PeerStragglers()
		return s.SetStragglers(own)
	})
	g.servers.SetPeerStragglers(reports)
}

// reportInFlight publishes the requests in flight of this instance.
func (g *gossip) reportInFlight() {
	var counts []membership.InFlightCount
	load := 0
	for _, pool := range g.servers.InFlightCounts() {
		for _, count := range pool {
			counts = append(counts, membership.InFlightCount{Server: count.ID, InFlight: count.InFlight, Long: count.Long})
			load += count.InFlight
		}
	}
	g.members.Do(func(s *membership.State) []membership.Output {
		s.SetInFlightCounts(counts)
		s.SetLoad(load)
		return nil
	})
}

// applyInstanceList updates the drain markers from a new instance list. It marks
// servers that the list shows as leaving, for instances that cannot read the list,
// clears the markers of servers with a new incarnation, and applies the remaining
// markers again, because servers may be new in the list.
func (g *gossip) applyInstanceList(members []platform.Member) {
	incarnations := map[string]int64{}
	for _, member := range members {
		if member.Role != platform.RoleBackend {
			continue
		}
		incarnations[member.ID] = member.Incarnation
		if member.State == platform.StateLeaving {
			g.members.MarkDraining(member.ID, member.Incarnation, drainMarkerLifetime)
		}
	}
	g.mu.Lock()
	g.incarnations = incarnations
	g.mu.Unlock()
	for server, incarnation := range incarnations {
		g.members.Do(func(s *membership.State) []membership.Output {
			return s.ClearDraining(time.Now(), server, incarnation)
		})
	}
	var markers []membership.DrainMarker
	g.members.View(func(s *membership.State) { markers = s.Draining(time.Now()) })
	for _, marker := range markers {
		g.applyDrainMarker(marker)
	}
}

// drainReportingPicker reports servers that refuse calls because they are draining
// to the other instances.
type drainReportingPicker struct {
	Picker
	members *Members
}

// newPicker returns the picker of the executor, which reports draining servers to
// the other instances.
func newPicker(servers *Servers, members *Members) Picker {
	return drainReportingPicker{servers, members}
}

// Pick implements Picker.
func (p drainReportingPicker) Pick(query Query) (PickedServer, bool) {
	picked, ok := p.Picker.Pick(query)
	if !ok || p.members.Node == nil {
		return picked, ok
	}
	return drainReportingServer{picked, p.members}, true
}

// drainReportingServer is a picked server of a drainReportingPicker.
type drainReportingServer struct {
	PickedServer
	members *Members
}

// Done ends the call and reports a server that is draining.
func (p drainReportingServer) Done(err error, bytes int64) {
	p.PickedServer.Done(err, bytes)
	if errors.Is(err, backend.ErrDraining) {
		server := p.Server()
		p.members.MarkDraining(server.ID, server.Incarnation, drainMarkerLifetime)
	}
}
