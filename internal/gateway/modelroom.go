package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// fullPeriod is how long after a placement had to wait for room further requests ask for room
// before their stages run. It is about the time that the stages of a request take.
const fullPeriod = time.Second

// errLoadUnknown reports a state of a model server without its load.
var errLoadUnknown = errors.New("state does not say how many requests run")

// roomMetrics are the metrics of the room at the model servers of the services whose prompts
// this instance places.
type roomMetrics struct {
	slots, slotsUsed, tokens, tokensUsed tally.Gauge
	refused                              tally.Counter
}

func newRoomMetrics(scope tally.Scope) roomMetrics {
	return roomMetrics{
		slots: scope.Gauge("model_slots"), slotsUsed: scope.Gauge("model_slots_used"),
		tokens: scope.Gauge("model_tokens"), tokensUsed: scope.Gauge("model_tokens_used"),
		refused: scope.Counter("placements_refused_for_room"),
	}
}

// observeRoom records that a placement of a service had to wait for room.
func (p *Placer) observeRoom(service string, wait time.Duration) {
	if wait <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullAt[service] = time.Now()
}

// wasFull reports whether a placement of a service has lately had to wait for room.
func (p *Placer) wasFull(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.fullAt[service]) < fullPeriod
}

// Rooms returns the use of the model servers of this region, by service, for the services
// whose prompts this instance places.
func (p *Placer) Rooms() map[string]engine.Room {
	rooms := map[string]engine.Room{}
	for _, service := range p.servers.EngineServices() {
		if p.cluster.Owner(placementKey(service)) != "" {
			continue
		}
		p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { rooms[service] = s.Room(time.Now()) })
	}
	return rooms
}

// recordRoom updates the metrics of room.
func (p *Placer) recordRoom() {
	var all engine.Room
	for _, room := range p.Rooms() {
		all.Slots += room.Slots
		all.SlotsUsed += room.SlotsUsed
		all.Tokens += room.Tokens
		all.TokensUsed += room.TokensUsed
	}
	p.roomMetrics.slots.Update(float64(all.Slots))
	p.roomMetrics.slotsUsed.Update(float64(all.SlotsUsed))
	p.roomMetrics.tokens.Update(float64(all.Tokens))
	p.roomMetrics.tokensUsed.Update(float64(all.TokensUsed))
}

// readRuns asks a model server for its load, so that the runs count which the instance that
// placed the prompts before has placed there.
func (p *Placer) readRuns(ctx context.Context, service string, server upstream.Server) {
	if !p.servers.countsRuns(service) {
		return
	}
	load, err := p.readLoad(ctx, server)
	if err != nil {
		events.ServerRunsUnknown.Log(ctx, p.logger, slog.String("server", server.ID), slog.Any("error", err))
		return
	}
	p.servers.WithEngineScheduler(service, func(s *engine.Scheduler) { s.RecordLoad(time.Now(), server.ID, server.Incarnation, load) })
}

func (p *Placer) readLoad(ctx context.Context, server upstream.Server) (engine.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheReadTimeout)
	defer cancel()
	answer, err := p.client.Send(ctx, server, p.protocol.StateCall(server))
	if err != nil {
		return engine.Load{}, err
	}
	defer answer.Close()
	body, err := answer.ReadBody(maxStateBytes)
	if err != nil {
		return engine.Load{}, err
	}
	if answer.Status != http.StatusOK {
		return engine.Load{}, fmt.Errorf("model server answered with status %d", answer.Status)
	}
	load, ok := p.protocol.StateLoad(body)
	if !ok {
		return engine.Load{}, errLoadUnknown
	}
	return load, nil
}

// countsRuns reports whether the runs at the model servers of a service are recorded.
func (s *Servers) countsRuns(service string) (counts bool) {
	s.WithEngineScheduler(service, func(scheduler *engine.Scheduler) { counts = scheduler.CountsRuns() })
	return counts
}
