// Package jobs runs durable work: it records jobs in the store, runs those that
// this instance holds, takes over those of instances without a lease and hands
// its own over on shutdown.
package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/job"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

// Errors of the package.
var (
	// ErrNotAccepted reports a job that is not recorded and will not run.
	ErrNotAccepted = errors.New("job was not accepted")
	// ErrUnresolved reports a job whose record may have been written.
	ErrUnresolved = errors.New("it is unknown whether the job was accepted")
	// ErrNotFound reports an unknown ID, or a job whose retention has passed.
	ErrNotFound = errors.New("job does not exist")
	// ErrUnavailable reports a status that can't be read now.
	ErrUnavailable = errors.New("job store is unavailable")

	errStopped = errors.New("job is not held any more")
)

// ScanInterval is how often an instance looks for jobs to take over.
const ScanInterval = 2 * time.Second

// pollInterval is how often the status of a job elsewhere is read by a caller
// that waits for it.
const pollInterval = 500 * time.Millisecond

// maxRunning bounds the jobs that an instance takes over.
const maxRunning = 64

// Members knows the other instances.
type Members interface {
	// Domain returns the live instances of the own failure domain with this one.
	Domain() []string
	// JobsReleased tells the peers that jobs wait for a holder.
	JobsReleased(ctx context.Context)
}

// Job is a durable request.
type Job struct {
	Organisation string
	Pipeline     string
	Kind         string
	Body         json.RawMessage
	Retention    time.Duration
}

// Result is the end of a run.
type Result struct {
	Outcome string
	Detail  string
	Answer  []byte
}

// Progress is what a run reads and records.
type Progress struct {
	// Results are the stage results of earlier runs.
	Results map[string]json.RawMessage
	// StageDone records a stage result. After an error the run ends.
	StageDone func(ctx context.Context, stage string, result json.RawMessage) error
	// OnceAllowed records that a non-idempotent call is about to be sent. It must
	// not be sent when the result is false.
	OnceAllowed func() bool
}

// Runner runs the stages of a job. It ends when ctx does.
type Runner interface {
	Run(ctx context.Context, job Job, progress Progress) Result
}

// Config is what Jobs needs.
type Config struct {
	Instance string
	Store    store.Store
	Members  Members
	Runner   Runner
	// Boot gives the boot-time clock, Wall the time that records carry.
	Boot  func() time.Time
	Wall  func() time.Time
	Scope tally.Scope
	Log   *slog.Logger
}

// Jobs runs the durable work of one instance.
type Jobs struct {
	Config
	keeper    *keeper
	values    values
	takeovers tally.Counter
	lost      tally.Counter

	mu      sync.Mutex
	running map[string]*run
	closing bool

	// scanning guards cursors: where the deletion of expired results goes on, by
	// shard.
	scanning sync.Mutex
	cursors  [job.Shards]string
}

// New returns Jobs without a lease.
func New(config Config) *Jobs {
	j := &Jobs{
		Config:    config,
		values:    values{store: config.Store},
		takeovers: config.Scope.Counter("job_takeovers"),
		lost:      config.Scope.Counter("jobs_lost"),
		running:   map[string]*run{},
	}
	j.keeper = newKeeper(config, j.stopAll)
	return j
}

// Work keeps the lease and scans for jobs until ctx ends.
func (j *Jobs) Work(ctx context.Context) {
	go j.keeper.work(ctx)
	ticker := time.NewTicker(ScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			j.Scan(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Close hands the running jobs over and gives up the lease. Jobs that have sent
// a non-idempotent call are finished first, until ctx ends.
func (j *Jobs) Close(ctx context.Context) {
	j.mu.Lock()
	j.closing = true
	runs := make([]*run, 0, len(j.running))
	for _, r := range j.running {
		runs = append(runs, r)
	}
	j.mu.Unlock()
	for _, r := range runs {
		j.handOver(ctx, r)
	}
	j.keeper.revoke(leaseContext(ctx))
	if len(runs) > 0 {
		j.Members.JobsReleased(ctx)
	}
}

func (j *Jobs) handOver(ctx context.Context, r *run) {
	if r.onceSent() {
		select {
		case <-r.done:
			return
		case <-ctx.Done():
		}
	}
	_ = j.step(ctx, r, job.HandOver{})
}

// stopAll ends every run when the lease is lost.
func (j *Jobs) stopAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.running {
		r.cancel()
	}
}

func jobContext(ctx context.Context) context.Context {
	return store.WithClass(ctx, quota.StoreJobs)
}

func leaseContext(ctx context.Context) context.Context {
	return store.WithClass(ctx, quota.StoreLeases)
}
