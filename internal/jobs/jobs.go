// Package jobs runs durable jobs: it records jobs in the store, runs those that this
// instance holds, takes over those of instances without a lease, and hands over its
// own on shutdown.
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
	// ErrNotAccepted reports a job that is not recorded in the store and will not run.
	ErrNotAccepted = errors.New("job was not accepted")
	// ErrUnresolved reports a job whose record may be in the store.
	ErrUnresolved = errors.New("it is unknown whether the job was accepted")
	// ErrNotFound reports an unknown ID, or a job whose retention has passed.
	ErrNotFound = errors.New("job does not exist")
	// ErrUnavailable reports a status that can't be read now.
	ErrUnavailable = errors.New("job store is unavailable")

	errStopped = errors.New("job is not held any more")
)

// ScanInterval is the time between two scans for jobs to take over.
const ScanInterval = 2 * time.Second

// statusPollInterval is the time between two reads of a job's status by a caller that
// waits for a job on another instance.
const statusPollInterval = 500 * time.Millisecond

// maxRunningJobs limits takeovers: an instance that runs this many jobs takes over no
// more.
const maxRunningJobs = 64

// Members gives access to the other instances of the failure domain.
type Members interface {
	// FailureDomainInstances returns the live instances of the failure domain of this
	// instance, including this one.
	FailureDomainInstances() []string
	// OfferJobs offers the jobs with the given IDs to peers, whose HandOverJob takes
	// them over. A later scan finds the jobs that no peer takes over.
	OfferJobs(ctx context.Context, ids []string)
}

// Job is a request that is recorded in the store before it runs.
type Job struct {
	Organisation string
	Pipeline     string
	Kind         string
	Body         json.RawMessage
	Retention    time.Duration
}

// Result is the result of a run.
type Result struct {
	Outcome string
	Detail  string
	Answer  []byte
	// Permanent is true for a failure that another run would repeat, Harmful for a run
	// during which backend servers ended.
	Permanent, Harmful bool
}

// Progress gives a run the results of earlier runs and records its progress.
type Progress struct {
	// Results are the stage results of earlier runs.
	Results map[string]json.RawMessage
	// StageDone records the result of a stage. After an error the run must end.
	StageDone func(ctx context.Context, stage string, result json.RawMessage) error
	// BeforeNonIdempotentCall records that a non-idempotent call is about to be sent.
	// The call must not be sent if the result is false.
	BeforeNonIdempotentCall func() bool
}

// Runner runs the stages of a job. Run returns when ctx ends.
type Runner interface {
	Run(ctx context.Context, job Job, progress Progress) Result
}

// Config holds the settings and dependencies of Jobs.
type Config struct {
	Instance string
	Store    store.Store
	Members  Members
	Runner   Runner
	// BootTime reads the boot-time clock, WallTime the wall clock for the times in
	// records.
	BootTime func() time.Time
	WallTime func() time.Time
	Scope    tally.Scope
	Log      *slog.Logger
}

// Jobs runs the durable jobs of one instance.
type Jobs struct {
	Config
	lease     *leases.Manager
	values    values
	takeovers tally.Counter
	lost      tally.Counter

	mu      sync.Mutex
	running map[string]*run
	closing bool
	// leaseNeededAt is when the lease was last needed, by the boot-time clock.
	leaseNeededAt time.Time

	// scanMu is held during a scan and guards expiryCursors, the store keys after which
	// the deletion of expired results continues, by shard.
	scanMu        sync.Mutex
	expiryCursors [job.Shards]string
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
	// The lease is not exclusive: it replaces the key of an earlier process of the same
	// instance, so that the jobs of that process can be taken over.
	j.lease = leases.New(leases.Config{
		Store: config.Store, Key: job.HolderKey(config.Instance), Instance: config.Instance,
		Wanted: j.leaseWanted, ReleaseUnwanted: true,
		OnLost: j.cancelAll, BootTime: config.BootTime, Log: config.Log,
		HeldEvent: events.JobLeaseAcquired, LostEvent: events.JobLeaseLost,
	})
	return j
}

// Serve runs the lease and scans for jobs to take over until ctx ends.
func (j *Jobs) Serve(ctx context.Context) {
	go j.lease.Run(ctx)
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

// Close hands over the running jobs and revokes the lease. It first waits, until ctx
// ends, for the end of jobs that have sent a non-idempotent call.
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
	j.lease.Revoke(ctx)
	if len(released) > 0 {
		j.Members.OfferJobs(ctx, released)
	}
}

// handOver releases a job so that another instance can take it over, unless the job
// ends first.
func (j *Jobs) handOver(ctx context.Context, r *run) (id string, released bool) {
	if r.nonIdempotentSent() {
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

// Counts returns the number of jobs that this instance holds, and whether it holds
// the lease for them.
func (j *Jobs) Counts() (running int, leased bool) {
	_, leased = j.currentHolder()
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.running), leased
}

// cancelAll cancels every run. It is called when the lease is lost.
func (j *Jobs) cancelAll() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.running {
		r.cancel()
	}
}

func jobContext(ctx context.Context) context.Context {
	return store.WithClass(ctx, quota.StoreJobs)
}

// leaseIdleTimeout is how long the lease is kept alive without a job. Keeping it
// alive costs one write every 4 s; revoking and acquiring it again costs three.
const leaseIdleTimeout = 12 * time.Second

// leaseWanted reports whether this instance has or recently had jobs.
func (j *Jobs) leaseWanted() bool {
	now := j.BootTime()
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.running) > 0 {
		j.leaseNeededAt = now
	}
	return !j.leaseNeededAt.IsZero() && now.Sub(j.leaseNeededAt) < leaseIdleTimeout
}

// acquireLease acquires the lease if it is not held and returns this instance with
// its fencing token.
func (j *Jobs) acquireLease(ctx context.Context) (job.Holder, bool) {
	j.mu.Lock()
	j.leaseNeededAt = j.BootTime()
	j.mu.Unlock()
	token, ok := j.lease.Acquire(ctx)
	return job.Holder{Instance: j.Instance, FencingToken: token}, ok
}

// currentHolder returns this instance with the fencing token under which it may act
// now.
func (j *Jobs) currentHolder() (job.Holder, bool) {
	token, ok := j.lease.FencingToken()
	return job.Holder{Instance: j.Instance, FencingToken: token}, ok
}
