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

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/leases"
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
	FailureDomainInstances() []string
	// JobsReleased offers the jobs with the given IDs to the peers, whose HandOverJob
	// takes them over. Jobs that nobody takes are found by a scan.
	JobsReleased(ctx context.Context, ids []string)
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
	BeforeNonIdempotentCall func() bool
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
	BootTime func() time.Time
	WallTime func() time.Time
	Scope    tally.Scope
	Log      *slog.Logger
}

// Jobs runs the durable work of one instance.
type Jobs struct {
	Config
	keeper    *leases.Manager
	values    values
	takeovers tally.Counter
	lost      tally.Counter

	mu      sync.Mutex
	running map[string]*run
	closing bool
	// usedAt is when the lease was last needed, on the boot-time clock.
	usedAt time.Time

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
	// The key of an earlier process of the same instance is replaced, so that its
	// jobs can be taken over.
	j.keeper = leases.New(leases.Config{
		Store: config.Store, Key: job.HolderKey(config.Instance), Instance: config.Instance,
		Wanted: j.leaseWanted, ReleaseUnwanted: true,
		OnLost: j.stopAll, BootTime: config.BootTime, Log: config.Log,
		HeldEvent: events.JobLeaseHeld, LostEvent: events.JobLeaseLost,
	})
	return j
}

// Work keeps the lease and scans for jobs until ctx ends.
func (j *Jobs) Serve(ctx context.Context) {
	go j.keeper.Run(ctx)
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
	var released []string
	for _, r := range runs {
		if id, ok := j.handOver(ctx, r); ok {
			released = append(released, id)
		}
	}
	j.keeper.Revoke(ctx)
	if len(released) > 0 {
		j.Members.JobsReleased(ctx, released)
	}
}

// handOver frees a job for another instance unless it ends first.
func (j *Jobs) handOver(ctx context.Context, r *run) (id string, released bool) {
	if r.onceSent() {
		select {
		case <-r.done:
			return "", false
		case <-ctx.Done():
		}
	}
	_ = j.step(ctx, r, job.HandOver{})
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.machine.Record()
	return record.ID, record.Holder == ""
}

// Counts returns the jobs that run here, and whether their lease is held.
func (j *Jobs) Counts() (running int, leased bool) {
	_, leased = j.owner()
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.running), leased
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

// leaseIdle is how long the lease is kept without a job. Keeping it costs a write
// every 4 s, giving it up and asking for it again costs three.
const leaseIdle = 12 * time.Second

// leaseWanted reports whether this instance has or recently had jobs.
func (j *Jobs) leaseWanted() bool {
	now := j.BootTime()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.running) > 0 {
		j.usedAt = now
	}
	return !j.usedAt.IsZero() && now.Sub(j.usedAt) < leaseIdle
}

// acquire returns the fencing number of this instance and asks for the lease if
// it is not held.
func (j *Jobs) acquire(ctx context.Context) (job.Owner, bool) {
	j.mu.Lock()
	j.usedAt = j.BootTime()
	j.mu.Unlock()
	fence, ok := j.keeper.Acquire(ctx)
	return job.Owner{Instance: j.Instance, Fence: fence}, ok
}

// owner returns the fencing number under which this instance may act now.
func (j *Jobs) owner() (job.Owner, bool) {
	fence, ok := j.keeper.FencingToken()
	return job.Owner{Instance: j.Instance, Fence: fence}, ok
}
