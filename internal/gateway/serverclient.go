package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
	"github.com/coltsfootdrift/coltsfootdrift/internal/tcpprobe"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

// errServerHeld reports a request that was not sent because the server asked for a pause.
var errServerHeld = errors.New("server asked for a pause")

// holdJitter is the largest share by which a requested pause is extended, so that the
// instances do not all return to a server at the same time.
const holdJitter = 0.1

// ServerClient sends all requests of this instance to backend servers. It observes in
// their answers whether a server is leaving or asks for a pause, and sends nothing to a
// server during its pause.
type ServerClient struct {
	upstream *upstream.Client
	protocol Protocol
	logger   *slog.Logger
	holds    *serverHolds
	limits   *limitLog
	// onLeaving is called with the ID of a server whose answer says that it leaves.
	onLeaving func(server string)

	leaving, held tally.Counter
}

// NewServerClient returns a client that passes the IDs of leaving servers to onLeaving,
// which may be called several times for one server.
func NewServerClient(upstreamClient *upstream.Client, protocol Protocol, onLeaving func(server string), logger *slog.Logger, scope tally.Scope) *ServerClient {
	return &ServerClient{
		upstream: upstreamClient, protocol: protocol, logger: logger, holds: newServerHolds(), limits: newLimitLog(logger, scope), onLeaving: onLeaving,
		leaving: scope.Counter("leaving_answers"), held: scope.Counter("server_pauses"),
	}
}

// Send sends a request like upstream.Client.Send. During a pause of the server its error
// wraps upstream.ErrNotSent.
func (c *ServerClient) Send(ctx context.Context, server upstream.Server, request *upstream.Request) (*upstream.Answer, error) {
	if c.holds.remaining(server.ID, time.Now()) > 0 {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errServerHeld)
	}
	c.limits.countSent(server.ID)
	answer, err := c.upstream.Send(ctx, server, request)
	if err != nil {
		return nil, err
	}
	info := c.protocol.ReadAnswer(answer.Status, answer.Header)
	c.limits.observe(ctx, server.ID, info.Limit)
	if info.Leaving {
		c.leaving.Inc(1)
		c.onLeaving(server.ID)
	}
	if answer.Status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		c.hold(ctx, server.ID, info.RetryAfter)
	}
	return answer, nil
}

func (c *ServerClient) hold(ctx context.Context, server string, pause time.Duration) {
	c.held.Inc(1)
	events.ServerPaused.Log(ctx, c.logger, slog.String("server", server), slog.Int64("pause_ms", pause.Milliseconds()))
	c.holds.add(server, time.Now(), pause+time.Duration(holdJitter*rand.Float64()*float64(pause)))
}

// retryAfter returns when to retry a request for which no server of its service was left:
// when the first pause ends if all of them are in one, otherwise after the usual time.
func (c *clientRequest) retryAfter() time.Duration {
	now, shortest := time.Now(), time.Duration(0)
	for _, server := range c.view.Servers[c.service.Name] {
		pause := c.client.holds.remaining(server.ID, now)
		if pause == 0 {
			return longRetryAfter
		}
		if shortest == 0 || pause < shortest {
			shortest = pause
		}
	}
	return max(longRetryAfter, shortest)
}

// probeTimeout bounds the call of Probe.
const probeTimeout = 250 * time.Millisecond

// liveness is what is known of the process of a server.
type liveness int

const (
	// livenessUnknown means that nothing answers at the server's address. The server may
	// have ended, or only the path to it.
	livenessUnknown liveness = iota
	livenessRunning
	livenessEnded
)

func (l liveness) String() string { return [...]string{"unknown", "running", "ended"}[l] }

// maxStateBytes bounds the answer to the call of Probe.
const maxStateBytes = 1 << 20

// Probe asks a server for its state to learn whether the process with an incarnation still
// runs, 0 for one that is not known. A host that refuses connections, and a process with another ID or incarnation, show
// that it has ended.
func (c *ServerClient) Probe(ctx context.Context, server upstream.Server, incarnation int64) liveness {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := c.Send(ctx, server, c.protocol.StateCall(server))
	if err == nil {
		defer answer.Close()
		body, _ := httpbody.Read(answer.Body, maxStateBytes) // without a body, the ID counts alone
		current := c.protocol.StateIncarnation(body)
		if answer.Status == http.StatusMisdirectedRequest || current != 0 && incarnation != 0 && current != incarnation {
			return livenessEnded
		}
		return livenessRunning
	}
	if errors.Is(err, errServerHeld) {
		return livenessRunning
	}
	if errors.Is(err, syscall.ECONNREFUSED) || tcpprobe.Refused(ctx, server.Address) {
		return livenessEnded
	}
	return livenessUnknown
}
