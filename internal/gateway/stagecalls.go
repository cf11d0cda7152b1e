package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// startCalls starts the calls of a queue that can be made now.
func (s *StageScheduler) startCalls(q *serviceQueue) {
	limited := s.limitedServers(q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetLimits(time.Now(), limited)
	for {
		call, ok := q.queue.Next(time.Now())
		if !ok {
			return
		}
		q.scheduleInputsFetched(call)
		go s.runCall(q, call, q.pieces(call, time.Now()))
	}
}

// requestsPerCall is the number of requests to a server that a call takes: the call itself,
// and one that frees its results.
const requestsPerCall = 2

// limitedServers returns the limits of the servers of a service that have one, by ID.
func (s *StageScheduler) limitedServers(service string) map[string]stagework.CallLimit {
	limits := map[string]stagework.CallLimit{}
	for _, id := range s.client.permits.LimitedServers(service) {
		if rate, limited := s.client.permits.LimitOf(id); limited {
			limits[id] = stagework.CallLimit{PerSecond: float64(rate) / requestsPerCall, Wait: s.client.permits.Wait(id)}
		}
	}
	return limits
}

// runCall makes one call and applies its outcomes to the queue.
func (s *StageScheduler) runCall(q *serviceQueue, call stagework.Call, pieces []Piece) {
	started := time.Now()
	outcomes, err := s.sendCall(call, pieces)
	s.calls.Inc(1)
	s.callTime.Record(time.Since(started))
	attrs := []slog.Attr{
		slog.String("service", q.service), slog.String("server", call.Server), slog.Int("pieces", len(pieces)), slog.Int("crossing", call.CrossDomain),
		slog.Int("waiting", call.Waiting), slog.Int64("room_left", call.RoomLeft),
		slog.Int64("took_ms", time.Since(started).Milliseconds()), slog.String("outcome", worstOutcome(outcomes)),
	}
	if err != nil {
		s.callsFailed.Inc(1)
		attrs = append(attrs, slog.Any("error", err))
	}
	events.StageCallEnded.Log(context.Background(), s.logger, attrs...)
	now := time.Now()
	pause := s.client.holds.remaining(call.Server, call.Incarnation, now)
	q.mu.Lock()
	effects := q.queue.Finished(now, call.ID, outcomes)
	q.queue.Pause(call.Server, now.Add(pause))
	q.mu.Unlock()
	s.applyEffects(q, effects)
	s.startCalls(q)
}

// sendCall sends a call and returns its outcomes, one for each piece even when it also
// returns an error.
func (s *StageScheduler) sendCall(call stagework.Call, pieces []Piece) ([]stagework.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	server, ok := s.servers.Server(call.Server)
	if !ok || server.Incarnation != call.Incarnation {
		return stagework.SameOutcome(stagework.Refused, len(pieces)), nil
	}
	request, err := s.protocol.StageCall(server, pieces)
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	answer, err := s.client.Send(ctx, server, request)
	if withheld(err) {
		return stagework.SameOutcome(stagework.Refused, len(pieces)), err
	}
	if err != nil {
		return stagework.SameOutcome(s.statusOfFailure(server, err), len(pieces)), err
	}
	defer answer.Close()
	body, err := answer.ReadBody(maxStageAnswerBytes)
	if err != nil {
		return stagework.SameOutcome(s.statusOfFailure(server, err), len(pieces)), err
	}
	outcomes, err := s.protocol.StageOutcomes(answer.Status, answer.Header, body, len(pieces))
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	return outcomes, nil
}

// statusOfFailure returns the status of the pieces of a call that failed: whether the server
// ended during the call. A call that was not sent or timed out says nothing about that.
func (s *StageScheduler) statusOfFailure(server upstream.Server, err error) stagework.Status {
	if errors.Is(err, upstream.ErrNotSent) || errors.Is(err, context.DeadlineExceeded) {
		return stagework.Failed
	}
	if s.client.Probe(context.Background(), server) == livenessEnded {
		return stagework.ServerEnded
	}
	return stagework.Failed
}

// worstOutcome returns the name of the worst status among the outcomes of a call.
func worstOutcome(outcomes []stagework.Outcome) string {
	worst := stagework.Produced
	for _, o := range outcomes {
		worst = max(worst, o.Status)
	}
	return worst.String()
}
