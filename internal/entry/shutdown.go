package entry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// StopPhase orders the steps of a shutdown.
type StopPhase int

// Phases in the order in which they run.
const (
	// StopReadiness withdraws readiness and waits for the load balancer.
	StopReadiness StopPhase = iota
	// StopCallers closes the listener and finishes running requests.
	StopCallers
	// StopJobs hands over durable jobs.
	StopJobs
	// StopClaims settles claims.
	StopClaims
	// StopMembership notifies the peers.
	StopMembership
	// StopLeases revokes leases.
	StopLeases
)

// StopStep is one part of a shutdown.
type StopStep struct {
	Phase StopPhase
	Name  string
	Stop  func(ctx context.Context) error
}

// StopSteps is the registry of the parts that a shutdown ends.
type StopSteps struct {
	mu    sync.Mutex
	steps []StopStep
}

// Add registers a step. Steps of one phase run in the order of registration.
func (s *StopSteps) Add(step StopStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps = append(s.steps, step)
}

// run runs all steps by phase. A step that fails doesn't keep later ones from
// running.
func (s *StopSteps) run(ctx context.Context, logger *slog.Logger) {
	s.mu.Lock()
	steps := slices.Clone(s.steps)
	s.mu.Unlock()
	slices.SortStableFunc(steps, func(a, b StopStep) int { return int(a.Phase - b.Phase) })
	for _, step := range steps {
		if err := step.Stop(ctx); err != nil {
			events.StopStepFailed.Log(ctx, logger, slog.String("step", step.Name), slog.Any("error", err))
		}
	}
}

// shutdownMargin is added to the longest deadline in force. It covers the drain
// grace and the steps after the last request.
const shutdownMargin = 5 * time.Second

// shutdownDeadline bounds a shutdown so that the longest request that may be
// running can finish.
func shutdownDeadline(entry settings.Entry, set *pipeline.Set) time.Duration {
	if bound, ok := entry.ShutdownDeadline(); ok {
		return bound
	}
	var longest time.Duration
	if set != nil {
		longest = longestWait(set)
	}
	return longest + shutdownMargin
}

func longestWait(set *pipeline.Set) time.Duration {
	var longest time.Duration
	for _, p := range set.Pipelines {
		for _, kind := range p.Kinds {
			longest = max(longest, kind.MaxWait())
		}
	}
	return longest
}
