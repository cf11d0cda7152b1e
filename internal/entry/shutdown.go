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

// StopPhase is the phase of a shutdown in which a step runs.
type StopPhase int

// Phases in the order in which they run.
const (
	// StopReadiness withdraws readiness and gives the load balancer time to notice.
	StopReadiness StopPhase = iota
	// StopCallers closes the listener and waits for running requests.
	StopCallers
	// StopJobs hands jobs over to other instances.
	StopJobs
	// StopClaims records the outcomes of claims.
	StopClaims
	// StopMembership announces to the peers that the instance leaves.
	StopMembership
	// StopLeases revokes the leases of the instance.
	StopLeases
)

// StopStep is one step of a shutdown.
type StopStep struct {
	Phase StopPhase
	Name  string
	Stop  func(ctx context.Context) error
}

// StopSteps is the registry of shutdown steps.
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

// run runs all steps in the order of their phases. A step that fails does not keep
// later ones from running.
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

// shutdownMargin is added to the longest wait of a request. It covers the drain
// grace period and the steps after the last request.
const shutdownMargin = 5 * time.Second

// shutdownDeadline returns the time limit of a shutdown: that of the settings, or
// one that lets the longest request that may be running finish.
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
