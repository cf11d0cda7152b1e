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
	// drainLifetime is how long a refusal is believed without another one. A server
	// that comes back has a new incarnation, which ends the marker.
	drainLifetime = 5 * time.Minute
	// countLifetime is how long the count of a peer is believed. Heartbeats carry
	// only counts above 0.
	countLifetime = 5 * time.Second
)

// stragglerInterval is how often stragglers are exchanged. Each instance makes a
// slow call every few tens of milliseconds until it knows of a slow server.
const stragglerInterval = 100 * time.Millisecond

// stragglerLifetime is how long a straggler marker of a peer is believed. Each
// peer of a failure domain of 22 is heard every 11 s.
const stragglerLifetime = 30 * time.Second

// gossip passes on between membership and the decisions: drain and straggler
// markers, requests in flight and the demand of organisations.
type gossip struct {
	members   *Members
	servers   *Servers
	admission *AdmissionControl

	mu sync.Mutex
	// counts holds what each peer last reported, by server.
	counts map[string]map[string]heardCount
	// incarnations are those of the instance list, by server.
	incarnations map[string]int64
}

type heardCount struct {
	count routing.ServerCount
	at    time.Time
}

func newGossip(members *Members, servers *Servers, control *AdmissionControl) *gossip {
	return &gossip{
		members: members, servers: servers, admission: control,
		counts: map[string]map[string]heardCount{}, incarnations: map[string]int64{},
	}
}

// runGossip starts the exchange.
func runGossip(lc fx.Lifecycle, g *gossip, feed *ListFeed) {
	if g.members.Node == nil {
		return
	}
	g.members.Node.Observe(g.observe)
	feed.Observe(g.listed)
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

// observe takes what other instances report.
func (g *gossip) observe(output membership.Output) {
	switch out := output.(type) {
	case membership.NewDrainMarker:
		g.drain(out.Marker)
	case membership.InFlightCountsReceived:
		g.heard(out)
	case membership.MemberChanged:
		if out.Record.State >= membership.Removed {
			g.forget(out.Record.ID)
		}
	}
}

// drain applies a marker unless the list already shows a later incarnation.
func (g *gossip) drain(marker membership.DrainMarker) {
	g.mu.Lock()
	listed := g.incarnations[marker.Server]
	g.mu.Unlock()
	if !marker.Cleared && listed <= marker.Incarnation {
		g.servers.Drain(marker.Server)
	}
}

// heard merges the counts of a peer, of which a heartbeat may hold a part, and
// passes them on.
func (g *gossip) heard(out membership.InFlightCountsReceived) {
	now := time.Now()
	g.mu.Lock()
	known := g.counts[out.Instance]
	if known == nil {
		known = map[string]heardCount{}
		g.counts[out.Instance] = known
	}
	for _, count := range out.Counts {
		known[count.Server] = heardCount{routing.ServerCount{ID: count.Server, InFlight: count.InFlight, Long: count.Long}, now}
	}
	var merged []routing.ServerCount
	for server, count := range known {
		if now.Sub(count.at) > countLifetime {
			delete(known, server)
			continue
		}
		merged = append(merged, count.count)
	}
	g.mu.Unlock()
	for pool := range g.servers.snapshot() {
		g.servers.PeerCounts(out.Instance, pool, merged)
	}
}

func (g *gossip) forget(instance string) {
	g.mu.Lock()
	delete(g.counts, instance)
	g.mu.Unlock()
}

// exchange reports to the other instances and takes what they reported.
func (g *gossip) exchange() {
	g.report()
	g.exchangeDemand()
}

// exchangeDemand divides the rates of organisations among the instances.
func (g *gossip) exchangeDemand() {
	own := demandOf(g.admission.Demand())
	var peers []quota.Summary
	g.members.Do(func(s *membership.State) []membership.Output {
		s.SetDemand(own)
		for _, report := range s.PeerDemand(time.Now()) {
			peers = append(peers, summaryOf(report))
		}
		return nil
	})
	g.admission.SetPeers(peers)
}

// demandOf drops demand below a thousandth of a request per second.
func demandOf(summary quota.Summary) (demand []membership.Demand) {
	for _, d := range summary.Largest {
		if rate := int64(d.PerSecond * milli); rate > 0 {
			demand = append(demand, membership.Demand{Organisation: d.Organisation, MilliPerSecond: rate})
		}
	}
	return demand
}

func summaryOf(report membership.DemandReport) quota.Summary {
	summary := quota.Summary{Instances: report.Instances, Incomplete: !report.Complete}
	for _, d := range report.Demand {
		summary.Largest = append(summary.Largest, quota.Demand{Organisation: d.Organisation, PerSecond: float64(d.MilliPerSecond) / milli})
	}
	return summary
}

const milli = 1000

// exchangeStragglers passes on the servers that look slow.
func (g *gossip) exchangeStragglers() {
	var own []membership.Straggler
	for _, id := range g.servers.Stragglers() {
		own = append(own, membership.Straggler{Server: id, Remaining: stragglerLifetime})
	}
	var seen map[string]int
	g.members.Do(func(s *membership.State) []membership.Output {
		seen = s.PeerStragglers()
		return s.SetStragglers(own)
	})
	g.servers.PeerStragglers(seen)
}

// report gives the own requests in flight to membership.
func (g *gossip) report() {
	var counts []membership.InFlightCount
	load := 0
	for _, pool := range g.servers.Counts() {
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

// listed marks the servers that the list shows as leaving, for instances that
// can't read it, clears the markers of servers with a new incarnation and applies
// the others to servers that are new in the list.
func (g *gossip) listed(members []platform.Member) {
	incarnations := map[string]int64{}
	for _, member := range members {
		if member.Role != platform.RoleBackend {
			continue
		}
		incarnations[member.ID] = member.Incarnation
		if member.State == platform.StateLeaving {
			g.members.MarkDraining(member.ID, member.Incarnation, drainLifetime)
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
		g.drain(marker)
	}
}

// drainReporter tells the other instances of servers that refuse because they leave.
type drainReporter struct {
	Picker
	members *Members
}

// newPicker returns the choice of servers, with reports of refusals.
func newPicker(servers *Servers, members *Members) Picker {
	return drainReporter{servers, members}
}

// Pick chooses a server and counts a call in flight there.
func (r drainReporter) Pick(query Query) (Picked, bool) {
	picked, ok := r.Picker.Pick(query)
	if !ok || r.members.Node == nil {
		return picked, ok
	}
	return reportedPick{picked, r.members}, true
}

type reportedPick struct {
	Picked
	members *Members
}

// Done ends the call and reports a server that leaves.
func (p reportedPick) Done(err error, bytes int64) {
	p.Picked.Done(err, bytes)
	if errors.Is(err, backend.ErrDraining) {
		server := p.Server()
		p.members.MarkDraining(server.ID, server.Incarnation, drainLifetime)
	}
}
