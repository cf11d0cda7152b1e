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
	// jobStages is the number of stages of a job when it is not the size.
	jobStages = 4
	// jobBatch is the number of jobs when it is not the size.
	jobBatch = 40
	// leaseWait bounds the wait for the lease.
	leaseWait = 5 * time.Second
)

func jobsSweeps() []sweep {
	return []sweep{
		{
			role: RoleJobs, per: "job of 4 stages", sizes: []int{10, 40, 160}, target: 1,
			prepare: fixed(func(n int) ([]figure, error) { return measureJobs(n, jobStages) }),
		},
		{
			role: RoleJobs, per: "stage of 40 jobs", sizes: []int{1, 3, 6}, target: 6,
			prepare: fixed(func(n int) ([]figure, error) { return measureJobs(jobBatch, n) }),
		},
		{
			role: RoleJobs, per: "unfinished job of a failure domain's scan", sizes: []int{0, 16, 64, 256, 1024}, target: 1024,
			prepare: fixed(measureScan),
		},
		{
			role: RoleJobs, per: "finished job of a failure domain's scan", sizes: []int{0, 16, 64, 256}, target: 256,
			prepare: fixed(measureSweep),
		},
		{
			role: RoleJobs, per: "instance with a lease", sizes: []int{9, 130, targetInstances}, target: targetInstances,
			once: true, prepare: fixed(measureLeases),
		},
	}
}

// worker is one instance that runs jobs.
type worker struct {
	*jobs.Jobs
	store *storetest.Fake
	// held delays the end of jobs; nil for none.
	held   chan struct{}
	begun  atomic.Int64
	stages int
	stop   func()
}

// FailureDomainInstances implements jobs.Members: the failure domain has one instance.
func (w *worker) FailureDomainInstances() []string { return []string{"entry-instance-001"} }

// OfferJobs implements jobs.Members.
func (w *worker) OfferJobs(context.Context, []string) {}

// Run implements jobs.Runner.
func (w *worker) Run(ctx context.Context, _ jobs.Job, progress jobs.Progress) jobs.Result {
	w.begun.Add(1)
	if w.held != nil {
		<-w.held
	}
	result := json.RawMessage(`"` + strings.Repeat("x", answerBytes) + `"`)
	for i := range w.stages {
		if err := progress.StageDone(ctx, fmt.Sprintf("stage-%d", i), result); err != nil {
			return jobs.Result{Outcome: job.OutcomeFailed, Detail: err.Error()}
		}
	}
	return jobs.Result{Outcome: "completed", Answer: result}
}

// newWorker returns an instance that holds its lease.
func newWorker(stages int, held chan struct{}) (*worker, error) {
	w := &worker{store: storetest.New(), held: held, stages: stages}
	w.Jobs = jobs.New(jobs.Config{
		Instance: "entry-instance-001", Store: w.store, Members: w, Runner: w, BootTime: time.Now, WallTime: time.Now,
		Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	w.stop = cancel
	go w.Serve(ctx)
	for waited := stopwatch(); ; time.Sleep(time.Millisecond) {
		_, err := w.submit()
		if err == nil || waited() > leaseWait {
			return w, err
		}
		if !errors.Is(err, jobs.ErrNotAccepted) {
			return w, err
		}
	}
}

func (w *worker) submit() (string, error) {
	return w.Submit(context.Background(), jobs.Job{
		Organisation: "organisation-00001", Pipeline: "pipeline-01", Kind: "dossier",
		Body: json.RawMessage(`{"text":"lot 4711"}`), Retention: time.Hour,
	})
}

func (w *worker) submitAll(n int) (ids []string, err error) {
	for range n {
		id, err := w.submit()
		if err != nil {
			return ids, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// reads and writes count calls as the store's limits do.
func (w *worker) reads() float64 {
	return float64(w.store.Count(storetest.Get) + w.store.Count(storetest.List))
}

func (w *worker) writes() float64 { return storeCalls(w.store) - w.reads() }

// measureJobs runs jobs to their end.
func measureJobs(n, stages int) ([]figure, error) {
	w, err := newWorker(stages, nil)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	reads, writes, stored := w.reads(), w.writes(), w.store.Bytes("job")
	took, err := processorTime(func() error { return w.finish(n) })
	jobCount := float64(n)
	return []figure{
		{"store reads per job", "calls", (w.reads() - reads) / jobCount},
		{"store writes per job", "calls", (w.writes() - writes) / jobCount},
		{"bytes stored per finished job", "B", float64(w.store.Bytes("job")-stored) / jobCount},
		{"processor time per job", "us", float64(took.Microseconds()) / jobCount},
	}, err
}

func (w *worker) finish(n int) error {
	ids, err := w.submitAll(n)
	if err != nil {
		return err
	}
	for _, id := range ids {
		if _, err := w.Wait(context.Background(), id); err != nil {
			return err
		}
	}
	return nil
}

// measureScan looks once at all shards while jobs of this instance run.
func measureScan(running int) ([]figure, error) {
	held := make(chan struct{})
	w, err := newWorker(1, held)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	ids, err := w.submitAll(running)
	if err != nil {
		return nil, err
	}
	// The job that waited for the lease runs too.
	for w.begun.Load() < int64(running)+1 {
		time.Sleep(time.Millisecond)
	}
	reads, writes := w.reads(), w.writes()
	took, err := processorTime(func() error {
		w.Scan(context.Background())
		return nil
	})
	figures := []figure{
		{"store reads of a scan", "calls", w.reads() - reads},
		{"store writes of a scan", "calls", w.writes() - writes},
		{"bytes read by a scan", "B", float64(w.store.Bytes(job.RecordPrefix))},
		{"processor time of a scan", "us", float64(took.Microseconds())},
	}
	close(held)
	for _, id := range ids {
		if _, err := w.Wait(context.Background(), id); err != nil {
			return figures, err
		}
	}
	return figures, err
}

// measureSweep looks once at all shards that hold the records of finished jobs.
func measureSweep(finished int) ([]figure, error) {
	w, err := newWorker(1, nil)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if err := w.finish(finished); err != nil {
		return nil, err
	}
	reads := w.reads()
	w.Scan(context.Background())
	return []figure{{"store reads of a scan", "calls", w.reads() - reads}}, nil
}

// leaseSeconds is how long the leases are kept on a simulated clock.
const leaseSeconds = 600

// measureLeases keeps the lease of each instance for its jobs.
func measureLeases(instances int) ([]figure, error) {
	now, fake := simulatedStart, storetest.New()
	keepers := make([]*leases.Manager, instances)
	for i := range keepers {
		name := fmt.Sprint("entry-instance-", i)
		keepers[i] = leases.New(leases.Config{
			Store: fake, Key: job.HolderKey(name), Instance: name, BootTime: func() time.Time { return now },
			HeldEvent: events.JobLeaseAcquired, LostEvent: events.JobLeaseLost, Log: slog.New(slog.DiscardHandler),
		})
	}
	for range leaseSeconds {
		now = now.Add(time.Second)
		fake.Advance(time.Second)
		for _, keeper := range keepers {
			keeper.Tick(context.Background())
		}
	}
	writes := storeCalls(fake) - float64(fake.Count(storetest.Get))
	return []figure{{"store writes", "1/s", writes / leaseSeconds}}, nil
}
