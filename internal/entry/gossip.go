package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
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

// gossip passes on between membership and the choice of servers: drain markers
// and requests in flight.
type gossip struct {
	members *Members
	servers *Servers

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

func newGossip(members *Members, servers *Servers) *gossip {
	return &gossip{members: members, servers: servers, counts: map[string]map[string]heardCount{}, incarnations: map[string]int64{}}
}

// runGossip starts the exchange.
func runGossip(lc fx.Lifecycle, g *gossip, lister platform.Lister) {
	if g.members.Node == nil {
		return
	}
	g.members.Node.Observe(g.observe)
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, membership.Interval, g.report)
			go every(ctx, candidateInterval, func() { g.listed(listOnce(ctx, lister)) })
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
	case membership.DrainLearned:
		g.drain(out.Marker)
	case membership.CountsHeard:
		g.heard(out)
	case membership.Changed:
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
func (g *gossip) heard(out membership.CountsHeard) {
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

// report gives the own requests in flight to membership.
func (g *gossip) report() {
	var counts []membership.Count
	load := 0
	for _, pool := range g.servers.Counts() {
		for _, count := range pool {
			counts = append(counts, membership.Count{Server: count.ID, InFlight: count.InFlight, Long: count.Long})
			load += count.InFlight
		}
	}
	g.members.Do(func(s *membership.State) []membership.Output {
		s.SetCounts(counts)
		s.SetLoad(load)
		return nil
	})
}

// listed clears the markers of servers that the list shows with a new incarnation
// and applies the others to servers that are new in it.
func (g *gossip) listed(members []platform.Member) {
	if members == nil {
		return
	}
	incarnations := map[string]int64{}
	for _, member := range members {
		if member.Role == platform.RoleBackend {
			incarnations[member.ID] = member.Incarnation
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
