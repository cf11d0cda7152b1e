package view

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
)

const (
	// maxPulls is the number of pulls at the same time, of which the second one goes to another
	// instance than the first.
	maxPulls = 2
	// pullHedgeDelay is how long the first one may go without a part of its answer before the
	// second one starts.
	pullHedgeDelay = 300 * time.Millisecond
)

// pullCall is one pull.
type pullCall struct {
	request PullRequest
	ctx     context.Context
	cancel  context.CancelFunc
	// receiving is true once a part of the answer has arrived. It is guarded by the lock of the
	// Sync.
	receiving bool
}

// beginPull returns the pull that is to start now, nil if none is due.
func (s *Sync) beginPull(ctx context.Context, now time.Time) *pullCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	nextDue := s.pullDue
	if len(s.pulls) > 0 {
		nextDue = s.hedgeDue
	}
	request, due := nextDue(now)
	if !due {
		return nil
	}
	call := &pullCall{request: request}
	call.ctx, call.cancel = context.WithCancel(ctx)
	call.request.Have, call.request.Start = s.state.Position(), s.pullStart
	call.request.OnData = func() { s.recordPullData(call) }
	s.pulls = append(s.pulls, call)
	s.lastPull = now
	return call
}

// recordPullData records that a part of the answer to a pull has arrived. Another pull without
// an answer ends, as it would only take bandwidth.
func (s *Sync) recordPullData(call *pullCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.receiving {
		return
	}
	call.receiving = true
	for _, other := range s.pulls {
		if !other.receiving {
			other.cancel()
		}
	}
}

// receivesPull reports whether the answer to a pull arrives. It is called with the lock held.
func (s *Sync) receivesPull() bool {
	return slices.ContainsFunc(s.pulls, func(call *pullCall) bool { return call.receiving })
}

// pullDue reports whether a pull is due while none is under way, and from which address. It is
// called with the lock held.
func (s *Sync) pullDue(now time.Time) (request PullRequest, due bool) {
	announcer := PullRequest{Address: s.announcedBy}
	if s.state.Position() == 0 {
		return announcer, now.Sub(s.lastPull) >= firstPullInterval
	}
	// An instance that relies on another one makes no call that could return the version.
	atOnce := now.Before(s.relyUntil) || s.state.AwaitsServers()
	if s.isBehind() && (atOnce || now.Sub(s.announcedAt) >= announcementPullDelay) {
		if now.Sub(s.lastPull) < s.pullPause {
			return announcer, s.lastPull.Before(s.announcedAt)
		}
		return announcer, true
	}
	unreachable := !s.reachable && now.Sub(s.lastReached) >= outagePullDelay && !now.Before(s.relyUntil)
	return PullRequest{}, unreachable && now.Sub(s.lastPull) >= pullInterval
}

// hedgeDue reports whether a second pull is due, because no part of the answer to the first
// one arrives. It goes to the instance that announced the version since, or to another one that has
// it. After a failure there is none, as the link of this instance may be what is slow. It is
// called with the lock held.
func (s *Sync) hedgeDue(now time.Time) (request PullRequest, due bool) {
	if len(s.pulls) >= maxPulls || !s.isBehind() || s.state.Position() == 0 || s.pullStart > minPullStart {
		return request, false
	}
	first := s.pulls[0]
	if first.receiving || now.Sub(s.lastPull) < pullHedgeDelay {
		return request, false
	}
	if s.announcedBy != first.request.Address {
		request.Address = s.announcedBy
	}
	request.Except = first.request.Address
	return request, true
}

// recordAlternative records that the instance at an address has the announced version, too. It
// is asked next if the answer of the one that announced it does not arrive. It is called with
// the lock held.
func (s *Sync) recordAlternative(address string) {
	if !s.receivesPull() {
		s.announcedBy = address
	}
}

// pull pulls the changes after this instance's version from a peer. After a failure, the
// next pull may go to any instance.
func (s *Sync) pull(call *pullCall) {
	defer call.cancel()
	s.metrics.pulls.Inc(1)
	t := s.beginTransfer("pull", call.request.Address)
	changes, err := s.peers.Pull(call.ctx, call.request)
	t.end(call.ctx, changes.Changed, err)
	superseded := call.ctx.Err() != nil
	if err != nil && !superseded && !errors.Is(err, ErrPeerBusy) {
		events.ViewPullFailed.Log(call.ctx, s.logger, slog.String("address", call.request.Address), slog.Any("error", err))
	}
	if err == nil && changes.Version > call.request.Have {
		s.update(func(state *State, now time.Time) Change { return state.Merge(now, changes) }, false)
	}
	s.endPull(call, err, superseded)
}

// endPull records the end of a pull, and ends the other one if the view is no longer behind.
func (s *Sync) endPull(call *pullCall, err error, superseded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls = slices.DeleteFunc(s.pulls, func(other *pullCall) bool { return other == call })
	caughtUp := err == nil && !s.isBehind()
	if caughtUp {
		for _, other := range s.pulls {
			other.cancel()
		}
	}
	if superseded {
		return
	}
	s.pullPause = pullInterval
	switch {
	case err == nil:
		s.pullStart = minPullStart
		if !caughtUp {
			s.pullPause = nextPeerInterval
		}
	case errors.Is(err, ErrPeerBusy):
		s.pullPause, s.behindSince = nextPeerInterval, time.Now()
	default:
		s.pullStart = min(2*s.pullStart, maxPullStart)
	}
	// The address may be that of an instance which only knows of one that has the version.
	if !caughtUp && s.announcedBy == call.request.Address {
		s.announcedBy = ""
	}
}
