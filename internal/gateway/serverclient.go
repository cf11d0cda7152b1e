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
	"github.com/coltsfootdrift/coltsfootdrift/internal/tcpprobe"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
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
	upstream    *upstream.Client
	protocol    Protocol
	logger      *slog.Logger
	holds       *serverHolds
	permits     *Permits
	evacuations *Evacuations
	// onLeaving is called with a server whose answer says that it leaves.
	onLeaving func(upstream.Server)

	leaving, held tally.Counter
}

// NewServerClient returns a client that passes leaving servers to onLeaving, which may be
// called several times for one server.
func NewServerClient(upstreamClient *upstream.Client, protocol Protocol, permits *Permits, evacuations *Evacuations, onLeaving func(upstream.Server), logger *slog.Logger, scope tally.Scope) *ServerClient {
	return &ServerClient{
		upstream: upstreamClient, protocol: protocol, logger: logger, holds: newServerHolds(), permits: permits, evacuations: evacuations, onLeaving: onLeaving,
		leaving: scope.Counter("leaving_answers"), held: scope.Counter("server_pauses"),
	}
}

// Send sends a request like upstream.Client.Send. Its error wraps upstream.ErrNotSent and
// errServerHeld during a pause of the server, errServerLimited when the server's limit is
// used up, and errServerEvacuated when the server's failure domain is evacuated.
func (c *ServerClient) Send(ctx context.Context, server upstream.Server, request *upstream.Request) (*upstream.Answer, error) {
	if err := c.evacuations.Check(ctx, server.ID); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	if c.holds.remaining(server.ID, server.Incarnation, time.Now()) > 0 {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, errServerHeld)
	}
	if err := c.permits.Acquire(ctx, server.ID); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	// Waiting for a permit may have lasted until the evacuation was known.
	if err := c.evacuations.Check(ctx, server.ID); err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, err)
	}
	sentAt := time.Now()
	answer, err := c.upstream.Send(ctx, server, request)
	if err != nil {
		return nil, err
	}
	info := c.protocol.ReadAnswer(answer.Status, answer.Header)
	if answer.Status != http.StatusMisdirectedRequest {
		c.permits.Observe(ctx, server, info.Limit, sentAt)
	}
	if info.Leaving {
		c.leaving.Inc(1)
		c.onLeaving(server)
	}
	if answer.Status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		c.hold(ctx, server, info.RetryAfter)
	}
	return answer, nil
}

func (c *ServerClient) hold(ctx context.Context, server upstream.Server, pause time.Duration) {
	c.held.Inc(1)
	events.ServerPaused.Log(ctx, c.logger, slog.String("server", server.ID), slog.Int64("pause_ms", pause.Milliseconds()))
	c.holds.add(server, time.Now(), pause+time.Duration(holdJitter*rand.Float64()*float64(pause)))
}

// withheld reports whether an error of Send means that the server is paused, at its limit or in
// an evacuated failure domain.
func withheld(err error) bool {
	return errors.Is(err, errServerHeld) || errors.Is(err, errServerLimited) || errors.Is(err, errServerEvacuated)
}

// ObserveView ends the pauses of servers that have restarted.
func (c *ServerClient) ObserveView(v *view.View) {
	c.holds.dropRestarted(func(id string) (int64, bool) {
		server, listed := v.ByID(id)
		return server.Incarnation, listed
	})
}

// wait returns how long an incarnation of a server gets no requests of this instance, because
// of a pause or of its limit.
func (c *ServerClient) wait(server string, incarnation int64) time.Duration {
	return max(c.holds.remaining(server, incarnation, time.Now()), c.permits.Wait(server))
}

// withheldServers returns the IDs of the servers of a service for which wait is above 0.
func (c *ServerClient) withheldServers(service string) []string {
	return append(c.holds.held(time.Now()), c.permits.Unavailable(service)...)
}

// retryAfter returns when to retry a request for which no server of its service was left:
// when the first one takes requests again if none does now, otherwise after the usual time.
func (c *clientRequest) retryAfter() time.Duration {
	return max(longRetryAfter, c.shortestWait())
}

// shortestWait returns the time until the first server of the request's service takes
// requests, 0 when one does now or there is none.
func (c *clientRequest) shortestWait() (shortest time.Duration) {
	allowed := c.allowedRegions()
	for _, server := range c.view.Servers[c.service.Name] {
		if !allowed.Contains(c.servers.RegionOf(server.FailureDomain)) {
			continue
		}
		wait := c.client.wait(server.ID, server.Incarnation)
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
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

// Probe asks a server for its state to learn whether its process still runs. A host that
// refuses connections, and a process with another ID or incarnation, show that it has ended.
func (c *ServerClient) Probe(ctx context.Context, server upstream.Server) liveness {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := c.Send(ctx, server, c.protocol.StateCall(server))
	if err == nil {
		defer answer.Close()
		body, _ := answer.ReadBody(maxStateBytes) // without a body, the ID counts alone
		current := c.protocol.StateIncarnation(body)
		if answer.Status == http.StatusMisdirectedRequest || current != 0 && server.Incarnation != 0 && current != server.Incarnation {
			return livenessEnded
		}
		return livenessRunning
	}
	if errors.Is(err, errServerHeld) {
		return livenessRunning
	}
	if errors.Is(err, errServerEvacuated) {
		return livenessUnknown
	}
	if errors.Is(err, syscall.ECONNREFUSED) || tcpprobe.Refused(ctx, server.Address) {
		return livenessEnded
	}
	return livenessUnknown
}
