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
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// maxUnsentTries bounds the tries of one request that fail before a byte is sent.
const maxUnsentTries = 3

// plainSend is one send of a plain request to a server.
type plainSend struct {
	server  upstream.Server
	index   routing.ServerIndex
	region  string
	started time.Time
}

// servePlain sends the request to a server of a plain service, and retries it on others
// as far as the route allows.
func (c *clientRequest) servePlain() {
	excluded := c.withheldIndexes()
	for unsentTries := 0; ; {
		send, ok := c.pickServer(excluded)
		if !ok {
			c.refuseNoServer()
			return
		}
		excluded = append(excluded, send.index)
		answer, err := c.client.Send(c.ctx, send.server, c.outgoingRequest(send.server, SendInfo{}))
		switch {
		case withheld(err):
			c.finishSend(send, routing.Abandoned)
			c.logSendFailed(send.server.ID, err)
			continue
		case errors.Is(err, upstream.ErrNotSent) && !c.clientGone() && !c.expired():
			c.finishSend(send, routing.Unreachable)
			c.logSendFailed(send.server.ID, err)
			if unsentTries++; unsentTries >= maxUnsentTries {
				c.refuseNotReached(send.region)
				return
			}
			continue
		case err != nil:
			c.sends++
			if c.handlePlainSendError(send, err) {
				return
			}
			continue
		}
		c.sends++
		if c.handlePlainAnswer(send, answer) {
			return
		}
	}
}

// withheldIndexes returns the servers of the request's service that get no requests now.
func (c *clientRequest) withheldIndexes() (indexes []routing.ServerIndex) {
	ids := c.client.withheldServers(c.service.Name)
	if len(ids) == 0 {
		return nil
	}
	c.servers.WithPool(c.service.Name, func(pool *routing.Pool, _ *rand.Rand) {
		for _, id := range ids {
			if index, known := pool.Index(id); known {
				indexes = append(indexes, index)
			}
		}
	})
	return indexes
}

// pickServer chooses a server outside excluded and starts counting the call in its load.
func (c *clientRequest) pickServer(excluded []routing.ServerIndex) (send plainSend, ok bool) {
	now := time.Now()
	var id string
	query := newPlainQuery(c.remaining(), excluded)
	query.Regions = c.reachableRegions()
	c.servers.WithPool(c.service.Name, func(pool *routing.Pool, random *rand.Rand) {
		if send.index, ok = pool.Pick(now, random, query); ok {
			id, send.region = pool.ID(send.index), pool.Region(send.index)
			pool.Started(send.index, pipeline.ClassInteractive, now)
		}
	})
	if !ok {
		return send, false
	}
	send.started = now
	server, known := c.servers.Server(id)
	if !known {
		c.finishSend(send, routing.Refused)
		return send, false
	}
	send.server = server
	c.log(events.AttemptSent, slog.String("server", id), slog.String("route", c.route.Name), slog.Int("try", c.sends+1),
		slog.Int64("left_ms", c.remaining().Milliseconds()), slog.Int64("view", c.viewVersion()))
	return send, true
}

// finishSend records the outcome of a call and stops counting it in the server's load.
func (c *clientRequest) finishSend(send plainSend, outcome routing.Outcome) {
	now := time.Now()
	c.servers.WithPool(c.service.Name, func(pool *routing.Pool, _ *rand.Rand) {
		pool.Finished(send.index, pipeline.ClassInteractive, routing.Result{Outcome: outcome, Latency: now.Sub(send.started)}, now)
	})
}

// logSendFailed logs a send without an answer.
func (c *clientRequest) logSendFailed(serverID string, err error) {
	c.log(events.AttemptFailed, slog.String("server", serverID), slog.Any("error", err))
}

// logAnswerFailed logs an answer that does not serve the request; err may be nil.
func (c *clientRequest) logAnswerFailed(serverID string, answer *upstream.Answer, err error, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("server", serverID), slog.Int("status", answer.Status), slog.Uint64("connection", answer.Connection))
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	c.log(events.AttemptFailed, attrs...)
}

// handlePlainSendError handles a send without an answer. It returns true when the request
// is answered, and false when it is to be retried.
func (c *clientRequest) handlePlainSendError(send plainSend, err error) bool {
	if c.clientGone() || c.expired() {
		c.finishSend(send, routing.Abandoned)
		c.endUnanswered()
		return true
	}
	c.mayHaveRun = true
	c.finishSend(send, routing.Failed)
	c.logSendFailed(send.server.ID, err)
	if c.route.Repeatable() && c.mayRetry() {
		return false
	}
	c.fail(http.StatusBadGateway, "no answer from the backend server", err)
	return true
}

// handlePlainAnswer handles the answer of a server. It returns true when the request is
// answered, and false when it is to be retried.
func (c *clientRequest) handlePlainAnswer(send plainSend, answer *upstream.Answer) bool {
	defer answer.Close()
	info := c.protocol.ReadAnswer(answer.Status, answer.Header)
	if info.Load != nil {
		c.servers.WithPool(c.service.Name, func(pool *routing.Pool, _ *rand.Rand) { pool.RecordLoad(send.index, *info.Load, time.Now()) })
	}
	if info.NotRun {
		c.finishSend(send, routing.Refused)
		c.logAnswerFailed(send.server.ID, answer, nil)
		if c.mayRetry() {
			return false
		}
		c.refuse("servers are full", c.retryAfter())
		return true
	}
	if info.Unverified {
		return c.handlePlainSendError(send, errUnverifiedAnswer)
	}
	c.mayHaveRun = true
	if answer.Status >= http.StatusInternalServerError {
		c.finishSend(send, routing.Failed)
		c.logAnswerFailed(send.server.ID, answer, nil)
		if c.route.Repeatable() && c.mayRetry() {
			return false
		}
	} else {
		c.finishSend(send, routing.Answered)
	}
	if impliesNotRun(answer.Status) {
		c.fail(http.StatusBadGateway, "backend server refused without saying that it did not run", nil)
		return true
	}
	if c.route.Kind == route.Stream && answer.Status == http.StatusOK {
		return c.relayPlainStream(send, answer)
	}
	err := c.forwardAnswer(answer, send.server.ID)
	if err == nil {
		return true
	}
	if c.clientGone() || c.expired() {
		c.endUnanswered()
		return true
	}
	c.logAnswerFailed(send.server.ID, answer, err)
	if c.route.Repeatable() && c.mayRetry() {
		return false
	}
	c.fail(http.StatusBadGateway, "answer of the backend server broke off", err)
	return true
}

// relayPlainStream passes on a stream of events of a plain service. It returns true when the
// request has ended, and false when it is to be retried, which is possible until the
// client has received an event.
func (c *clientRequest) relayPlainStream(send plainSend, answer *upstream.Answer) bool {
	var stream clientStream
	unfinished, err := c.relayEvents(&stream, answer, func() { c.firstEventDelay = time.Since(send.started) })
	if err == nil {
		c.recordAnswered(answer, send.server.ID, slog.Int("events", stream.events))
		return true
	}
	if !stream.started && (c.clientGone() || c.expired()) {
		c.endUnanswered()
		return true
	}
	c.logStreamBroken(send.server.ID, answer, stream, unfinished, err)
	if stream.started {
		c.abort(err)
	}
	if c.route.Repeatable() && c.mayRetry() {
		return false
	}
	c.fail(http.StatusBadGateway, "stream of the backend server broke off", err)
	return true
}

// impliesNotRun reports whether clients take a status to mean that the request has not
// run. A server that answers with it may have run the request nevertheless, unless the
// answer's headers state that it did not.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
