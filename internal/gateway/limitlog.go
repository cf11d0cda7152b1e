package gateway

import (
	"context"
	"log/slog"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/ratelimit"
)

// limitLog logs the limits that servers name in their answers when they change, and counts
// the requests that are sent to servers with one.
type limitLog struct {
	logger          *slog.Logger
	sent, malformed tally.Counter

	mu sync.Mutex
	// named holds the last limit by the ID of the server.
	named map[string]ratelimit.Rate
}

func newLimitLog(logger *slog.Logger, scope tally.Scope) *limitLog {
	return &limitLog{
		logger: logger, named: map[string]ratelimit.Rate{},
		sent: scope.Counter("requests_to_limited_servers"), malformed: scope.Counter("server_limits_malformed"),
	}
}

// countSent counts a request to a server if it has named a limit.
func (l *limitLog) countSent(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.named[server]; limited {
		l.sent.Inc(1)
	}
}

// observe records what an answer of a server says of its limit.
func (l *limitLog) observe(ctx context.Context, server string, s ratelimit.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, limited := l.named[server]
	switch {
	case s.Kind == ratelimit.Malformed:
		l.malformed.Inc(1)
		return
	case s.Kind == ratelimit.Named && (!limited || rate != s.Rate):
		l.named[server] = s.Rate
	case s.Kind == ratelimit.Absent && limited:
		delete(l.named, server)
	default:
		return
	}
	events.LimitNamed.Log(ctx, l.logger, slog.String("server", server), slog.Float64("per_second", float64(s.Rate)))
}
