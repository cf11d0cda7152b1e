package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

// answerStartPeriod is how long after its first event an answer counts as begun. A server
// that crashes under a request does so before or at the start of the answer.
const answerStartPeriod = 500 * time.Millisecond

// answerSurvived reports whether the answer of the last send went on beyond its start.
func (g *generateRequest) answerSurvived() bool {
	return !g.firstEventAt.IsZero() && time.Since(g.firstEventAt) >= answerStartPeriod
}

// recordCutShort logs a send that broke off before or at the start of its answer, and
// whether the server has ended.
func (g *generateRequest) recordCutShort(placed engine.Placement, sent time.Time) {
	server, known := g.servers.Server(placed.Server)
	if !known {
		return
	}
	listening := g.client.Listening(context.WithoutCancel(g.ctx), server)
	g.log(events.AttemptCutShort, slog.String("server", placed.Server), slog.String("listening", listening.String()),
		slog.Int64("sent_ms", time.Since(sent).Milliseconds()), slog.Any("prompt", engine.SharedParts(g.requestInfo.Prompt)))
}
