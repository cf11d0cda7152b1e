package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/internal/leases"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/job"
)

const (
	// jobStages is the number of stages of a job in sweeps over other sizes.
	jobStages = 4
	// jobCount is the number of jobs in sweeps over other sizes.
	jobCount = 40
	// leaseTimeout is how long an instance may take to acquire its lease.
	leaseTimeout = 5 * time.Second
)

func jobsSweeps() []sweep {
	return []sweep{
		{
			role: RoleJobs, per: "job of 4 stages", sizes: []int{10, 40, 160}, target: 1,
			setUp: withoutState(func(n int) ([]figure, error) { return measureJobs(n, jobStages) }),
		},
		{
			role: RoleJobs, per: "stage of 40 jobs", sizes: []int{1, 3, 6}, target: 6,
			setUp: withoutState(func(n int) ([]figure, error) { return measureJobs(jobCount, n) }),
		},
		{
			role: RoleJobs, per: "unfinished job of a failure domain's scan", sizes: []int{0, 16, 64, 256, 1024}, target: 1024,
			setUp: withoutState(measureScanOfRunning),
		},
		{
			role: RoleJobs, per: "finished job of a failure domain's scan", sizes: []int{0, 16, 64, 256}, target: 256,
			setUp: withoutState(measureScanOfFinished),
		},
		{
			role: RoleJobs, per: "instance with a lease", sizes: []int{9, 130, targetInstances}, target: targetInstances,
			singleRun: true, setUp: withoutState(measureLeases),
		},
	}
}

// jobInstance is one instance that runs jobs.
type jobInstance struct {
	*jobs.Jobs
	store *storetest.Fake
	// unblock keeps jobs running until it is closed. Jobs are not delayed when it is nil.
	unblock     chan struct{}
	startedJobs atomic.Int64
	stages      int
	stop        func()
}

// FailureDomainInstances implements jobs.Members: the failure domain has one instance.
func (j *jobInstance) FailureDomainInstances() []string { return []string{"entry-instance-001"} }

// OfferJobs implements jobs.Members.
func (j *jobInstance) OfferJobs(context.Context, []string) {}

// Run implements jobs.Runner.
func (j *jobInstance) Run(ctx context.Context, _ jobs.Job, progress jobs.Progress) jobs.Result {
	j.startedJobs.Add(1)
	if j.unblock != nil {
		<-j.unblock
	}
	result := json.RawMessage(`"` + strings.Repeat("x", answerBytes) + `"`)
	for i := range j.stages {
		if err := progress.StageDone(ctx, fmt.Sprintf("stage-%d", i), result); err != nil {
			return jobs.Result{Outcome: job.OutcomeFailed, Detail: err.Error()}
		}
	}
	return jobs.Result{Outcome: "completed", Answer: result}
}

// newJobInstance returns an instance that holds its lease. It submits jobs until one
// is accepted, which shows that the lease is held.
func newJobInstance(stages int, unblock chan struct{}) (*jobInstance, error) {
	j := &jobInstance{store: storetest.New(), unblock: unblock, stages: stages}
	j.Jobs = jobs.New(jobs.Config{
		Instance: "entry-instance-001", Store: j.store, Members: j, Runner: j, BootTime: time.Now, WallTime: time.Now,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	j.stop = cancel
	go j.Serve(ctx)
	for waited := stopwatch(); ; time.Sleep(time.Millisecond) {
		_, err := j.submit()
		if err == nil || waited() > leaseTimeout {
			return j, err
		}
		if !errors.Is(err, jobs.ErrNotAccepted) {
			return j, err
		}
	}
}

func (j *jobInstance) submit() (string, error) {
	return j.Submit(context.Background(), jobs.Job{
		Organisation: "organisation-00001", Pipeline: "pipeline-01", Kind: "dossier",
		Body: json.RawMessage(`{"text":"lot 4711"}`), Retention: time.Hour,
	})
}

func (j *jobInstance) submitAll(n int) (ids []string, err error) {
	for range n {
		id, err := j.submit()
		if err != nil {
			return ids, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// reads and writes count store calls in the same two groups as the store's limits.
func (j *jobInstance) reads() float64 {
	return float64(j.store.Count(storetest.Get) + j.store.Count(storetest.List))
}

func (j *jobInstance) writes() float64 { return storeCalls(j.store) - j.reads() }

// measureJobs runs n jobs until all of them are finished.
func measureJobs(n, stages int) ([]figure, error) {
	j, err := newJobInstance(stages, nil)
	if err != nil {
		return nil, err
	}
	defer j.stop()
	reads, writes, stored := j.reads(), j.writes(), j.store.Bytes("job")
	took, err := processorTime(func() error { return j.runToEnd(n) })
	count := float64(n)
	return []figure{
		{"store reads per job", "calls", (j.reads() - reads) / count},
		{"store writes per job", "calls", (j.writes() - writes) / count},
		{"bytes stored per finished job", "B", float64(j.store.Bytes("job")-stored) / count},
		{"processor time per job", "us", float64(took.Microseconds()) / count},
	}, err
}

func (j *jobInstance) runToEnd(n int) error {
	ids, err := j.submitAll(n)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if _, err := j.Wait(context.Background(), id); err != nil {
			return err
		}
	}
	return nil
}

// measureScanOfRunning measures one scan of all shards while jobs of this instance
// run.
func measureScanOfRunning(running int) ([]figure, error) {
	unblock := make(chan struct{})
	j, err := newJobInstance(1, unblock)
	if err != nil {
		return nil, err
	}
	defer j.stop()
	ids, err := j.submitAll(running)
	if err != nil {
		return nil, err
	}
	// newJobInstance submitted one more job, which runs too.
	for j.startedJobs.Load() < int64(running)+1 {
		time.Sleep(time.Millisecond)
	}
	reads, writes := j.reads(), j.writes()
	took, err := processorTime(func() error {
		j.Scan(context.Background())
		return nil
	})
	figures := []figure{
		{"store reads of a scan", "calls", j.reads() - reads},
		{"store writes of a scan", "calls", j.writes() - writes},
		{"bytes read by a scan", "B", float64(j.store.Bytes(job.RecordPrefix))},
		{"processor time of a scan", "us", float64(took.Microseconds())},
	}
	close(unblock)
	for _, id := range ids {
		if _, err := j.Wait(context.Background(), id); err != nil {
			return figures, err
		}
	}
	return figures, err
}

// measureScanOfFinished measures one scan of all shards when they hold the records
// of finished jobs.
func measureScanOfFinished(finished int) ([]figure, error) {
	j, err := newJobInstance(1, nil)
	if err != nil {
		return nil, err
	}
	defer j.stop()
	if err := j.runToEnd(finished); err != nil {
		return nil, err
	}
	reads := j.reads()
	j.Scan(context.Background())
	return []figure{{"store reads of a scan", "calls", j.reads() - reads}}, nil
}

// simulatedLeaseSeconds is how long the leases are renewed, on a simulated clock.
const simulatedLeaseSeconds = 600

// measureLeases measures acquiring and renewing the job lease of each instance.
func measureLeases(instances int) ([]figure, error) {
	now, fake := simulatedStart, storetest.New()
	managers := make([]*leases.Manager, instances)
	for i := range managers {
		name := fmt.Sprint("entry-instance-", i)
		managers[i] = leases.New(leases.Config{
			Store: fake, Key: job.HolderKey(name), Instance: name, BootTime: func() time.Time { return now },
			HeldEvent: events.JobLeaseAcquired, LostEvent: events.JobLeaseLost, Log: slog.New(slog.DiscardHandler),
		})
	}
	for range simulatedLeaseSeconds {
		now = now.Add(time.Second)
		fake.Advance(time.Second)
		for _, manager := range managers {
			manager.Tick(context.Background())
		}
	}
	writes := storeCalls(fake) - float64(fake.Count(storetest.Get))
	return []figure{{"store writes", "1/s", writes / simulatedLeaseSeconds}}, nil
}
