package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

const (
	// answerStartPeriod is how long after its first event an answer counts as begun. A
	// server that crashes under a request does so before or at the start of the answer.
	answerStartPeriod = 500 * time.Millisecond
	// maxCrashesPerRequest is the number of servers that may end under one request.
	maxCrashesPerRequest = 2
	// removalWait is how long a server that does not answer is observed: one that has ended
	// loses its entry in the store in that time.
	removalWait     = quarantine.HoldTime
	removalInterval = 250 * time.Millisecond
)

// answerBegan has the request's answer counted as begun after answerStartPeriod.
func (g *generateRequest) answerBegan(placed placement) {
	g.answerStart = time.AfterFunc(answerStartPeriod, func() { g.recordAnswerBegan(placed) })
}

// recordAnswerBegan clears the parts of the prompt.
func (g *generateRequest) recordAnswerBegan(placed placement) {
	parts := sharedPartIDs(g.requestInfo.Prompt)
	if placed.onTrial {
		parts = partIDs(g.requestInfo.Prompt)
	}
	if len(parts) > 0 && placed.owner != "" {
		g.placer.answeredAt(placed.owner, g.service.Name, parts)
		return
	}
	if len(parts) > 0 {
		g.placer.recordAnswered(g.service.Name, parts, placed.onTrial)
	}
}

// stopAnswerStart reports whether the answer of the last send had not begun.
func (g *generateRequest) stopAnswerStart() bool {
	return g.answerStart == nil || g.answerStart.Stop()
}

// handleCutShort handles a send that broke off before the answer had begun. When the server
// has ended, the request may have caused it. It is reported before the request is sent again
// or answered, so that the next placement takes it into account, also that of a client's
// retry.
func (g *generateRequest) handleCutShort(placed placement, sent time.Time) {
	current := g.views.Current()
	listed, ok := current.ByID(placed.Server)
	if !ok || listed.Draining || current.IsEvacuated(listed.FailureDomain) || len(g.requestInfo.Prompt) == 0 {
		return
	}
	if g.reportCrash(listed, sent) {
		g.crashes++
	}
}

// reportCrash reports a request that was cut short if its server has ended. It returns
// whether the server may have.
func (g *generateRequest) reportCrash(server view.Server, sent time.Time) (mayHaveEnded bool) {
	ctx := context.WithoutCancel(g.ctx)
	crash := quarantine.Crash{
		Server:  quarantine.ServerStart{ID: server.ID, Incarnation: server.Incarnation},
		Request: g.requestInfo.ID, Parts: partIDs(g.requestInfo.Prompt), SentAt: sent, CutAt: time.Now(),
	}
	alive := g.client.Probe(ctx, upstream.Server{ID: server.ID, Incarnation: server.Incarnation, Address: server.Address})
	g.log(events.AttemptCutShort, slog.String("server", server.ID), slog.String("server_process", alive.String()),
		slog.Int64("sent_ms", time.Since(sent).Milliseconds()), slog.Any("prompt", sharedPartIDs(g.requestInfo.Prompt)))
	switch alive {
	case livenessEnded:
		g.placer.ownCrash(ctx, g.service.Name, crash)
	case livenessUnknown:
		g.placer.holdSuspects(ctx, g.service.Name, g.requestInfo.ID, crash.Parts)
		go g.reportWhenRemoved(ctx, server, crash)
	}
	return alive != livenessRunning
}

// reportWhenRemoved reports a crash of a server that does not answer once the server's entry
// is removed. A server that only this instance does not reach keeps it.
func (g *generateRequest) reportWhenRemoved(ctx context.Context, server view.Server, crash quarantine.Crash) {
	for deadline := time.Now().Add(removalWait); time.Now().Before(deadline); {
		listed, ok := g.views.Current().ByID(server.ID)
		if ok && (listed.Draining || g.views.Current().IsEvacuated(listed.FailureDomain)) {
			return
		}
		if !ok || listed.Incarnation != server.Incarnation {
			g.placer.ownCrash(ctx, g.service.Name, crash)
			return
		}
		clock.Sleep(ctx, removalInterval)
	}
}
