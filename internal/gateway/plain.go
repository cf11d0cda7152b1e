package gateway

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// maxUnsentTries bounds the servers that are tried without a byte being sent.
const maxUnsentTries = 3

// plainSend is one send of a plain request.
type plainSend struct {
	server  upstream.Server
	index   routing.ServerIndex
	started time.Time
}

// servePlain sends a request to a server of a plain service.
func (a *clientRequest) servePlain() {
	var excluded []routing.ServerIndex
	for unsent := 0; ; {
		send, ok := a.pickServer(excluded)
		if !ok {
			a.refuse("no server", longRetryAfter)
			return
		}
		excluded = append(excluded, send.index)
		answer, err := a.upstream.Send(a.ctx, send.server, a.outgoingRequest(send.server, SendInfo{}))
		switch {
		case errors.Is(err, upstream.ErrNotSent) && !a.clientGone() && !a.expired():
			a.finishSend(send, routing.Unreachable)
			a.logSendFailed(send.server, 0, err)
			if unsent++; unsent >= maxUnsentTries {
				a.refuse("servers are not reached", shortRetryAfter)
				return
			}
			continue
		case err != nil:
			a.sends++
			if a.handlePlainSendError(send, err) {
				return
			}
			continue
		}
		a.sends++
		if a.handlePlainAnswer(send, answer) {
			return
		}
	}
}

// pickServer chooses a server and counts the call.
func (a *clientRequest) pickServer(excluded []routing.ServerIndex) (send plainSend, ok bool) {
	now := time.Now()
	var id string
	a.fleet.WithPool(a.service.Name, func(pool *routing.Pool, random *rand.Rand) {
		if send.index, ok = pool.Pick(now, random, newPlainQuery(a.remaining(), excluded)); ok {
			id = pool.ID(send.index)
			pool.Started(send.index, pipeline.ClassInteractive, now)
		}
	})
	if !ok {
		return send, false
	}
	send.started = now
	server, known := a.fleet.Server(id)
	if !known {
		a.finishSend(send, routing.Refused)
		return send, false
	}
	send.server = server
	a.log(events.AttemptSent, slog.String("server", id), slog.String("route", a.route.Name), slog.Int("try", len(excluded)+1),
		slog.Int64("left_ms", a.remaining().Milliseconds()), slog.Int64("view", a.viewVersion()))
	return send, true
}

// finishSend ends the count of a call.
func (a *clientRequest) finishSend(send plainSend, outcome routing.Outcome) {
	now := time.Now()
	a.fleet.WithPool(a.service.Name, func(pool *routing.Pool, _ *rand.Rand) {
		pool.Finished(send.index, pipeline.ClassInteractive, routing.Result{Outcome: outcome, Latency: now.Sub(send.started)}, now)
	})
}

func (a *clientRequest) logSendFailed(server upstream.Server, status int, err error) {
	attrs := []slog.Attr{slog.String("server", server.ID), slog.Int("status", status)}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	a.log(events.AttemptFailed, attrs...)
}

// handlePlainSendError handles a send without a whole answer. It returns true when the
// request is answered.
func (a *clientRequest) handlePlainSendError(send plainSend, err error) bool {
	if a.clientGone() || a.expired() {
		a.finishSend(send, routing.Abandoned)
		a.endUnanswered()
		return true
	}
	a.mayHaveRun = true
	a.finishSend(send, routing.Failed)
	a.logSendFailed(send.server, 0, err)
	if a.route.Repeatable() && a.mayRetry() {
		return false
	}
	a.fail(http.StatusBadGateway, "no answer from the backend server", err)
	return true
}

// handlePlainAnswer handles an answer. It returns true when the request is answered.
func (a *clientRequest) handlePlainAnswer(send plainSend, answer *upstream.Answer) bool {
	defer answer.Close()
	info := a.protocol.ReadAnswer(answer.Status, answer.Header)
	if info.Load != nil {
		a.fleet.WithPool(a.service.Name, func(pool *routing.Pool, _ *rand.Rand) { pool.Report(send.index, *info.Load, time.Now()) })
	}
	if info.NotRun {
		a.finishSend(send, routing.Refused)
		a.logSendFailed(send.server, answer.Status, nil)
		if a.mayRetry() {
			return false
		}
		a.refuse("servers are full", longRetryAfter)
		return true
	}
	a.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError {
		a.finishSend(send, routing.Failed)
		a.logSendFailed(send.server, answer.Status, nil)
		if a.route.Repeatable() && a.mayRetry() {
			return false
		}
	} else {
		a.finishSend(send, routing.Answered)
	}
	if impliesNotRun(answer.Status) {
		a.fail(http.StatusBadGateway, "backend server refused without saying that it did not run", nil)
		return true
	}
	err := a.forwardAnswer(answer, send.server.ID)
	if err == nil {
		return true
	}
	if a.clientGone() || a.expired() {
		a.endUnanswered()
		return true
	}
	a.logSendFailed(send.server, answer.Status, err)
	if a.route.Repeatable() && a.mayRetry() {
		return false
	}
	a.fail(http.StatusBadGateway, "answer of the backend server broke off", err)
	return true
}

// impliesNotRun reports whether a status tells clients that a request has not run. A
// server that does not promise it itself may have run the request.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
