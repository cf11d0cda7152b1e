package gateway

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// pump starts the calls that can be made now.
func (s *StageCaller) pump(w *serviceQueue) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		call, ok := w.queue.Next(time.Now())
		if !ok {
			return
		}
		w.begun(call)
		go s.call(w, call, w.pieces(call, time.Now()))
	}
}

// call makes one call and takes its outcome.
func (s *StageCaller) call(w *serviceQueue, call stagework.Call, pieces []Piece) {
	started := time.Now()
	outcomes, err := s.exchange(call, pieces)
	s.calls.Inc(1)
	s.callTime.Record(time.Since(started))
	attrs := []slog.Attr{
		slog.String("service", w.service), slog.String("server", call.Server), slog.Int("pieces", len(pieces)), slog.Int("crossing", call.CrossDomain),
		slog.Int("waiting", call.Waiting), slog.Int64("room_left", call.RoomLeft),
		slog.Int64("took_ms", time.Since(started).Milliseconds()), slog.String("outcome", summary(outcomes)),
	}
	if err != nil {
		s.refused.Inc(1)
		attrs = append(attrs, slog.Any("error", err))
	}
	events.StageCallEnded.Log(context.Background(), s.logger, attrs...)
	w.mu.Lock()
	effects := w.queue.Finished(time.Now(), call.ID, outcomes)
	w.mu.Unlock()
	s.apply(w, effects)
	s.pump(w)
}

// exchange sends a call and reads its outcomes, of which there is always one for
// each piece.
func (s *StageCaller) exchange(call stagework.Call, pieces []Piece) ([]stagework.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
	defer cancel()
	server, ok := s.fleet.Server(call.Server)
	if !ok {
		return stagework.SameOutcome(stagework.Refused, len(pieces)), nil
	}
	request, err := s.protocol.StageCall(server, pieces)
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	answer, err := s.upstream.Send(ctx, server, request)
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStageAnswer))
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	outcomes, err := s.protocol.StageOutcomes(answer.Status, answer.Header, body, len(pieces))
	if err != nil {
		return stagework.SameOutcome(stagework.Failed, len(pieces)), err
	}
	return outcomes, nil
}

// summary names the worst outcome of a call.
func summary(outcomes []stagework.Outcome) string {
	worst := stagework.Produced
	for _, o := range outcomes {
		worst = max(worst, o.Status)
	}
	return worst.String()
}
