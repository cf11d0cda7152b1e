package gateway

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// Observe records what an answer of a server says of its limit. sentAt is when its request
// was sent.
func (p *Permits) Observe(ctx context.Context, server upstream.Server, s ratelimit.Statement, sentAt time.Time) {
	if s.Kind == ratelimit.Malformed {
		p.recordMalformed(ctx, server.ID)
	}
	p.mu.Lock()
	entry, changed := p.table.Observe(time.Now(), server.ID, server.Incarnation, s, sentAt)
	if changed {
		delete(p.askAgain, server.ID)
	}
	p.mu.Unlock()
	if changed {
		p.logChange(ctx, entry)
		p.publish([]membership.ServerLimit{{Entry: entry}}, true)
	}
}

// malformedLogInterval is the time between two log lines on malformed limits of one server.
const malformedLogInterval = time.Minute

// recordMalformed counts an answer whose limit can't be read, and logs some of them.
func (p *Permits) recordMalformed(ctx context.Context, server string) {
	p.malformed.Inc(1)
	p.mu.Lock()
	due := time.Since(p.malformedLogged[server]) >= malformedLogInterval
	if due {
		p.malformedLogged[server] = time.Now()
	}
	p.mu.Unlock()
	if due {
		events.LimitMalformed.Log(ctx, p.logger, slog.String("server", server))
	}
}

func (p *Permits) logChange(ctx context.Context, e ratelimit.Entry) {
	events.LimitNamed.Log(ctx, p.logger, slog.String("server", e.Server), slog.Float64("per_second", float64(e.Rate)), slog.Bool("ended", e.Ended), slog.Uint64("sequence", e.Sequence))
}

// receive records limits that another instance knows. Those that are new and come from
// another region are passed on to the instances of this one.
func (p *Permits) receive(received membership.ServerLimitsReceived) {
	changed := p.merge(received.Limits)
	if len(changed) == 0 {
		return
	}
	if received.Local {
		changed = nil
	}
	p.publish(changed, false)
}

// merge records limits and returns those that are new.
func (p *Permits) merge(limits []membership.ServerLimit) (changed []membership.ServerLimit) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		if p.table.Merge(now, l.Entry) {
			delete(p.askAgain, l.Server)
			changed = append(changed, l)
			p.logChange(context.Background(), l.Entry)
		}
	}
	return changed
}

// publish has heartbeats carry the limits that this instance knows, and announces those that
// changed at once.
func (p *Permits) publish(changed []membership.ServerLimit, everywhere bool) {
	p.mu.Lock()
	var all []membership.ServerLimit
	for _, e := range p.table.Entries() {
		all = append(all, membership.ServerLimit{Entry: e})
	}
	p.limited.Update(float64(len(p.table.Limited(time.Now()))))
	p.cold.Update(float64(p.table.ColdServers(time.Now())))
	p.mu.Unlock()
	p.cluster.node.Do(func(s *membership.State) []membership.Output {
		s.SetServerLimits(all)
		return s.AnnounceServerLimits(changed, everywhere)
	})
}

// Expire forgets limits of servers that left or restarted, and those that have ended.
func (p *Permits) Expire() {
	current := p.views.Current()
	if current == nil {
		return
	}
	p.mu.Lock()
	p.table.Expire(time.Now(), func(id string) (int64, bool) {
		server, listed := current.ByID(id)
		return server.Incarnation, listed
	})
	known := func(id string) bool {
		_, named := p.table.Entry(id)
		_, limited := p.table.Limit(time.Now(), id)
		return named || limited
	}
	for _, allocator := range p.allocators {
		allocator.Expire(known)
	}
	maps.DeleteFunc(p.askAgain, func(id string, _ time.Time) bool { return !known(id) })
	maps.DeleteFunc(p.malformedLogged, func(_ string, at time.Time) bool { return time.Since(at) >= malformedLogInterval })
	p.mu.Unlock()
	p.publish(nil, false)
}

// LimitStatus is the limit of one server for operators.
type LimitStatus struct {
	Server string `json:"server"`
	// PerSecond is the limit that the server named last, 0 if it named none, and InForce the
	// one that applies now, which rises for some seconds after the end of the limit.
	PerSecond float64 `json:"per_second"`
	InForce   float64 `json:"in_force"`
	Ended     bool    `json:"ended"`
	// ColdMS is the time in milliseconds for which the server is cold.
	ColdMS int64 `json:"cold_ms"`
	// WaitMS is the time in milliseconds for which this instance gets no permit.
	WaitMS int64 `json:"wait_ms"`
}

// Limits returns the limits in force, sorted by server.
func (p *Permits) Limits() []LimitStatus {
	list := []LimitStatus{}
	p.mu.Lock()
	now := time.Now()
	for _, server := range p.table.Limited(now) {
		rate, _ := p.table.Limit(now, server)
		e, _ := p.table.Entry(server)
		list = append(list, LimitStatus{Server: server, PerSecond: float64(e.Rate), InForce: float64(rate), Ended: e.Ended})
	}
	p.mu.Unlock()
	slices.SortFunc(list, func(a, b LimitStatus) int { return strings.Compare(a.Server, b.Server) })
	for i := range list {
		list[i].WaitMS = p.Wait(list[i].Server).Milliseconds()
		list[i].ColdMS = p.coldRemaining(list[i].Server).Milliseconds()
	}
	return list
}

// LimitOf returns the limit of a server in requests per second, and false without one.
func (p *Permits) LimitOf(server string) (ratelimit.Rate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Limit(time.Now(), server)
}
