package proof

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

// leaseTTL is the duration of a job holder's lease.
const leaseTTL = 10 * time.Second

// Guards against jobs that are lost or start again from the first stage when their
// holder is killed. The jobs are dossiers, the durable kind of the example.
func TestJobHolderKilled(t *testing.T) {
	f := startScenario(t, "job-holder-killed")
	f.testJobHolderFault("SIGKILL of the holder of 15 dossiers", func(victim *instance) { victim.kill() })
}

// Guards against a holder that continues with jobs that were taken over while it was
// paused.
func TestJobHolderPaused(t *testing.T) {
	f := startLongScenario(t, "job-holder-paused")
	f.testJobHolderFault("SIGSTOP of the holder of 15 dossiers for 13 s", func(victim *instance) {
		victim.signal(syscall.SIGSTOP)
		pausedAt := time.Now()
		time.AfterFunc(leaseTTL+3*time.Second, func() { victim.signal(syscall.SIGCONT) })
		f.Cleanup(func() {
			f.waitUntil("end of the pause", func() bool { return time.Since(pausedAt) > leaseTTL+3*time.Second })
		})
	})
}

// Guards against jobs that are lost or aborted by a graceful stop of their holder.
func TestJobHolderStopped(t *testing.T) {
	f := startLongScenario(t, "job-holder-stopped")
	f.testJobHolderFault("SIGTERM of the holder of 15 dossiers", func(victim *instance) {
		f.Check(victim.stop(), qt.IsNil)
	})
}

// testJobHolderFault sends dossiers to one instance, injects a fault into it while they
// run, and checks that all are completed and that no recorded stage runs again.
func (f *fleet) testJobHolderFault(fault string, injectFault func(victim *instance)) {
	f.Helper()
	for _, engine := range f.cluster.Pool("assistant") {
		engine.Backend().SetSlowdown(10)
	}
	l := f.startLoadOf(func(r traffic.Request) bool { return !r.Kind.Durable })
	victim := f.randomInstance()
	dossiers := l.newBurst(15, "job-", durable)
	running := l.sendTo(victim, dossiers)
	f.waitUntil("recorded stages", func() bool { return len(f.recordedStages()) >= 10 })
	recorded, before := f.recordedStages(), f.stageRuns()
	injectFault(victim)
	f.Check(len(recorded) >= 10, qt.IsTrue, qt.Commentf("%d recorded stages", len(recorded)))
	running.Wait()
	l.addBurst(dossiers)
	l.verify(fault)
	f.checkRunOnce(dossiers, recorded, before)
}

// jobStage identifies a stage of a job.
type jobStage struct{ job, stage string }

// recordedStages returns the stages in the records of unfinished jobs in the store.
func (f *fleet) recordedStages() map[jobStage]bool {
	stages := map[jobStage]bool{}
	records, err := store.NewHTTP(f.cluster.StoreAddress).List(f.Context(), "job/", "", 1000)
	f.Assert(err, qt.IsNil)
	for _, stored := range records {
		var record struct {
			ID     string `json:"id"`
			Stages []struct {
				Name string `json:"name"`
			} `json:"stages"`
		}
		f.Assert(json.Unmarshal(stored.Value, &record), qt.IsNil)
		for _, stage := range record.Stages {
			stages[jobStage{record.ID, stage.Name}] = true
		}
	}
	return stages
}

// stageRun identifies the stage and the request of a run. The pool is enough for the
// stage, because no two stages of a dossier share a pool.
type stageRun struct{ request, pool string }

func (f *fleet) stageRuns() map[stageRun]int {
	counts := map[stageRun]int{}
	for _, run := range f.cluster.Runs() {
		counts[stageRun{run.RequestID, run.Pool}]++
	}
	return counts
}

// checkRunOnce checks that all dossiers were completed and that no stage that was
// recorded before the fault ran again.
func (f *fleet) checkRunOnce(dossiers *burst, recorded map[jobStage]bool, before map[stageRun]int) {
	f.Helper()
	after := f.stageRuns()
	checked := 0
	for _, e := range dossiers.exchanges {
		answer := e.Answers[0]
		f.Check(answer.Outcome, qt.Equals, entry.OutcomeCompleted, qt.Commentf("%s: %s", e.ID, answer.Detail))
		p, _ := f.cluster.Set.Pipeline(e.Pipeline)
		id := answer.Location[strings.LastIndex(answer.Location, "/")+1:]
		for _, stage := range p.Stages {
			if !recorded[jobStage{id, stage.Name}] {
				continue
			}
			key := stageRun{e.ID, stage.Pool}
			f.Check(after[key], qt.Equals, before[key], qt.Commentf("runs of stage %s of %s", stage.Name, e.ID))
			checked++
		}
	}
	f.Check(checked > 0, qt.IsTrue, qt.Commentf("no recorded stage belongs to a dossier"))
	f.Logf("%d recorded stages did not run again", checked)
}
