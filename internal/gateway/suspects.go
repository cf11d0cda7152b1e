package gateway

import (
	"errors"
	"log/slog"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
)

const (
	// trialPollInterval is how often a request that waits for the trial of another one asks
	// for a server again, and maxTrialWait how long it waits in all.
	trialPollInterval = 100 * time.Millisecond
	maxTrialWait      = 1500 * time.Millisecond
	// trialRetryAfter is the Retry-After for a request that has waited for maxTrialWait.
	trialRetryAfter = time.Second
)

// refuseQuarantined refuses the request when this instance knows that its prompt is
// quarantined. It returns true when the request has ended.
func (g *generateRequest) refuseQuarantined() bool {
	decision := g.placer.quarantines.Check(g.service.Name, g.requestInfo.Prompt)
	if decision.Quarantine == "" {
		return false
	}
	return g.endQuarantined(&QuarantinedError{Quarantine: decision.Quarantine, Remaining: decision.Remaining})
}

// endQuarantined refuses the request until the quarantine of its prompt ends. It returns
// true, as try does when the request has ended.
func (g *generateRequest) endQuarantined(err *QuarantinedError) bool {
	g.placer.quarantines.metrics.refused.Inc(1)
	switch {
	case g.stream.started:
		g.abort(err)
	case g.clientGone() || g.expired():
		g.endUnanswered()
	default:
		g.refuseFor("prompt has a part under which model servers ended", err.Remaining, slog.String("quarantine", err.Quarantine))
	}
	return true
}

// handleNotPlaced handles a request that got no server. It returns true when the request has
// ended.
func (g *generateRequest) handleNotPlaced(err error) bool {
	var quarantined *QuarantinedError
	var limited *LimitedError
	switch {
	case errors.As(err, &limited) && limited.NoRoom:
		return g.giveUp("model servers have no room in time", limited.Wait, err)
	case errors.As(err, &limited):
		return g.giveUp("servers take no requests now", max(limited.Wait, g.shortestWait()), err)
	case errors.As(err, &quarantined):
		return g.endQuarantined(quarantined)
	case errors.Is(err, errTrialRunning):
		return g.awaitTrial()
	}
	return g.endUnserved() || g.giveUp("no server", g.retryAfter(), nil)
}

// awaitTrial waits before the request asks for a server again, because another one with a
// suspect part is on trial. It returns true when the request has ended.
func (g *generateRequest) awaitTrial() bool {
	if g.trialWait >= maxTrialWait || g.remaining() <= trialPollInterval {
		return g.giveUp("another request with a suspect prompt part is on trial", trialRetryAfter, nil)
	}
	g.trialWait += trialPollInterval
	clock.Sleep(g.ctx, trialPollInterval)
	return false
}
