package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// addStageServer adds a stage server that produces results, and records the pieces of
// its calls and the results that are freed.
func (f *fixture) addStageServer(calls, freed *recorder) {
	var address string
	produced := 0
	address = f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/free" {
			var results []string
			_ = json.NewDecoder(r.Body).Decode(&results)
			for _, result := range results {
				freed.add(result)
			}
			return
		}
		var pieces []Piece
		_ = json.NewDecoder(r.Body).Decode(&pieces)
		outcomes := make([]stagework.Outcome, len(pieces))
		for i, p := range pieces {
			produced++
			calls.add(fmt.Sprintf("%s %d.%d %s%d", p.RequestID, p.Stage, p.Number, p.Key, len(p.Inputs)))
			outcomes[i].Handle = fmt.Sprintf("%s/%d", address, produced)
		}
		_ = json.NewEncoder(rw).Encode(outcomes)
	})
}

// eventually waits up to 5 s until a condition is met.
func eventually(c *qt.C, condition func() bool) {
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("condition is not met")
}

// Guards against a model server that gets the results of another stage or only some of
// the results, and against results that are never freed.
func TestStagesRunInOrderAndTheirResultsAreFreed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1}, route.Stage{Service: "stage", After: []int{0}}, route.Stage{Service: "stage"})
	var calls, freed, inputs recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		inputs.add(r.Header.Get("Inputs"))
		sendEvents(rw, 1, 1)
	})
	f.start()
	_, _, err := f.do("POST", "/p/", "", "Counts", "2 1 1")
	c.Assert(err, qt.IsNil)
	seen := calls.all()
	slices.Sort(seen)
	c.Assert(seen, qt.DeepEquals, []string{"a1 0.0 pk0", "a1 0.1 pk0", "a1 1.0 pk2", "a1 2.0 pk0"})
	c.Assert(strings.Fields(inputs.all()[0]), qt.HasLen, 2)
	eventually(c, func() bool { return len(freed.all()) == 4 })
}

// Guards against results that take memory at their server while the model server runs
// the request, although it fetched them at its start. Also guards against a request that
// fails because the results were freed before the model server fetched them.
func TestResultsAreFreedWhenFetched(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1})
	var calls, freed, inputs recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		first := inputs.add(r.Header.Get("Inputs")) == 1
		eventually(c, func() bool { return slices.Contains(freed.all(), r.Header.Get("Inputs")) })
		if first {
			rw.Header().Set("Not-Run", "inputs")
			rw.WriteHeader(http.StatusConflict)
			return
		}
		sendEvents(rw, 1, 1)
	})
	f.start()
	_, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
	c.Assert(inputs.all()[0], qt.Not(qt.Equals), inputs.all()[1])
	c.Assert(freed.all(), qt.DeepEquals, inputs.all())
}

// Guards against results that take memory until the stage that fetched them ends, while
// calls for other requests wait for that memory.
func TestInputsOfStagesAreFreedWhenFetched(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1}, route.Stage{Service: "next", After: []int{0}})
	f.config.Services[1].StageProfile.RoomBytes = 3
	f.config.Services[1].StageProfile.CallTime = 200 * time.Millisecond
	f.config.Routes[0].Target, f.config.Routes[0].Timeout = 5*time.Second, 10*time.Second
	f.config.Services = append(f.config.Services, route.Service{Name: "next", StageProfile: f.config.Services[1].StageProfile})
	var calls, freed recorder
	f.addStageServer(&calls, &freed)
	f.addServer("next", func(rw http.ResponseWriter, r *http.Request) {
		var pieces []Piece
		_ = json.NewDecoder(r.Body).Decode(&pieces)
		if r.URL.Path == "/run" {
			eventually(c, func() bool { return len(freed.all()) == 4 })
		}
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Handle: r.Host + "/1"}})
	})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	// The result of another request leaves memory for two results, so that the scheduler
	// reports a shortage.
	results, err := f.scheduler.RunStage(c.Context(), &peerpb.RunStageRequest{Service: "stage", RequestId: "b", Pieces: []int32{0}, ResultBytes: 1, DueMs: 5000, DeadlineMs: 5000})
	c.Assert(err, qt.IsNil)
	go func() {
		eventually(c, func() bool { return len(calls.all()) >= 3 })
		f.scheduler.FreeResults(&peerpb.FreeResultsRequest{Service: "stage", Results: results.Results})
	}()
	_, body, err := f.do("POST", "/p/", "", "Counts", "3 1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
}

// Guards against calls that find no memory at their server because the results that were
// counted as freed still take it.
func TestMemoryIsCountedUntilResultsAreFreed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1})
	f.config.Services[1].StageProfile.RoomBytes = 1
	release := make(chan struct{})
	var runs recorder
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/free" {
			<-release
			return
		}
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Handle: fmt.Sprintf("%s/%d", r.Host, runs.add(""))}})
	})
	f.start()
	run := &peerpb.RunStageRequest{Service: "stage", RequestId: "a", Pieces: []int32{0}, ResultBytes: 1, DueMs: 5000, DeadlineMs: 5000}
	first, err := f.scheduler.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	f.scheduler.FreeResults(&peerpb.FreeResultsRequest{Service: "stage", Results: first.Results})
	second, err := f.scheduler.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Pending, qt.Not(qt.Equals), uint64(0))
	c.Assert(runs.all(), qt.HasLen, 1)
	close(release)
	eventually(c, func() bool { return len(runs.all()) == 2 })
}

// Guards against results that count as freed although their server refused to free them.
func TestRefusedFreesKeepTheirMemory(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var frees recorder
	f.addServer("stage", func(rw http.ResponseWriter, _ *http.Request) {
		if frees.add("") == 1 {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	f.start()
	var freed recorder
	record := func(results []stagework.Result) { freed.add(results[0].Handle) }
	producer := stagework.Producer{Server: "s0"}
	f.scheduler.freer.Free([]stagework.Result{{Handle: "refused", Producer: producer}}, record)
	eventually(c, func() bool { return len(frees.all()) == 1 })
	f.scheduler.freer.Free([]stagework.Result{{Handle: "freed", Producer: producer}}, record)
	eventually(c, func() bool { return slices.Contains(freed.all(), "freed") })
	c.Assert(freed.all(), qt.HasLen, 1)
}

// Guards against a stage with large results that runs long before a parallel sequence of
// stages ends, so that its results take memory meanwhile.
func TestStagesBesideALongerChainStartLate(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1},
		route.Stage{Service: "stage"}, route.Stage{Service: "stage", After: []int{1}}, route.Stage{Service: "stage", After: []int{2}})
	f.config.Services[1].StageProfile.CallTime = 300 * time.Millisecond
	f.config.Routes[0].Target, f.config.Routes[0].Timeout = 5*time.Second, 10*time.Second
	var calls, freed recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	_, _, err := f.do("POST", "/p/", "", "Counts", "1 1 1 1")
	c.Assert(err, qt.IsNil)
	c.Assert(calls.all(), qt.HasLen, 4)
	c.Assert(calls.all()[0], qt.Equals, "a1 1.0 pk0")
}

// Guards against a request that fails because its inputs were lost before the model
// server fetched them.
func TestLostInputsAreProducedAgain(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	var calls, freed, inputs recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		if inputs.add(r.Header.Get("Inputs")) == 1 {
			rw.Header().Set("Not-Run", "inputs")
			rw.WriteHeader(http.StatusConflict)
			return
		}
		sendEvents(rw, 1, 1)
	})
	f.start()
	_, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
	c.Assert(inputs.all()[0], qt.Not(qt.Equals), inputs.all()[1])
}

// Guards against a process that runs out of memory because a client names a very large number
// of pieces, each of which takes memory before anything is decided about the request.
func TestRequestsWithTooManyPiecesAreRejected(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	var calls, freed recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	answer, body, err := f.do("POST", "/p/", "", "Counts", fmt.Sprint(route.MaxPieces+1))
	c.Assert(err, qt.IsNil)
	c.Check(answer.StatusCode, qt.Equals, http.StatusBadRequest)
	c.Check(body, qt.Equals, fmt.Sprintf("%d pieces of stage 0, at most %d are allowed\n", route.MaxPieces+1, route.MaxPieces))
	c.Check(calls.all(), qt.HasLen, 0)
}

// Guards against stage calls for a request that can't be answered in time, and against a
// refusal that is sent late.
func TestRequestsThatCannotEndInTimeAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	f.config.Services[1].StageProfile.CallTime = time.Minute
	var calls, freed recorder
	f.addStageServer(&calls, &freed)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	response, _, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(calls.all(), qt.HasLen, 0)
}

// Guards against an owner that is treated as failed because a stage takes long, and
// against jobs that are kept although their requester no longer polls them.
func TestPendingStagesAreAwaitedAgainOrAbandoned(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	release := make(chan struct{})
	f.addServer("stage", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Handle: "m/1"}})
	})
	f.start()
	run := &peerpb.RunStageRequest{Service: "stage", RequestId: "a", Pieces: []int32{0}, DueMs: 5000, DeadlineMs: 5000}
	response, err := f.scheduler.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Pending, qt.Not(qt.Equals), uint64(0))
	close(release)
	await := newAwaitStageRequest("stage", response)
	response, err = f.scheduler.AwaitStage(c.Context(), await)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Results, qt.HasLen, 1)
	c.Assert(response.Results[0].Handle, qt.Equals, "m/1")
	_, err = f.scheduler.AwaitStage(c.Context(), await)
	c.Assert(errors.Is(err, errUnknownJob), qt.IsTrue)
}

// Guards against the results of another request, which a requester gets that stood still while
// the instance which schedules its stage restarted and numbered its jobs from 1 again (MIXED).
func TestRequestersGetNoJobsOfALaterProcess(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	runPending := func(request string) (*fixture, *peerpb.AwaitStageRequest) {
		f := newEngineFixture(c, false, route.Stage{Service: "stage"})
		f.addServer("stage", func(rw http.ResponseWriter, _ *http.Request) {
			<-release
			_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Handle: "m/" + request}})
		})
		f.start()
		response, err := f.scheduler.RunStage(c.Context(), &peerpb.RunStageRequest{Service: "stage", RequestId: request, Pieces: []int32{0}, DueMs: 5000, DeadlineMs: 5000})
		c.Assert(err, qt.IsNil)
		return f, newAwaitStageRequest("stage", response)
	}
	_, awaitFirst := runPending("first")
	restarted, awaitSecond := runPending("second")
	c.Assert(awaitFirst.Job, qt.Equals, awaitSecond.Job)
	close(release)
	_, err := restarted.scheduler.AwaitStage(c.Context(), awaitFirst)
	c.Assert(errors.Is(err, errForeignJob), qt.IsTrue, qt.Commentf("%v", err))
	response, err := restarted.scheduler.AwaitStage(c.Context(), awaitSecond)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Results, qt.HasLen, 1)
	c.Assert(response.Results[0].Handle, qt.Equals, "m/second")
}

// awaitJobs waits until the queue of a service has a number of jobs.
func (f *fixture) awaitJobs(service string, jobs int) {
	eventually(f.c, func() bool {
		queue := f.scheduler.queueOf(service, false)
		queue.mu.Lock()
		defer queue.mu.Unlock()
		return len(queue.jobs) == jobs
	})
}

// Guards against a stopping instance that schedules calls at the same time as its
// successor, and against a stage that no instance runs because all are stopping.
func TestStoppingInstancesHandStagesOver(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	f.config.Services[1].StageProfile.Batch = 1
	begun, release := make(chan struct{}, 4), make(chan struct{})
	f.addServer("stage", func(rw http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Handle: "m/1"}})
	})
	f.start()
	run := func(id string, forced bool) (*peerpb.RunStageResponse, error) {
		return f.scheduler.RunStage(c.Context(), &peerpb.RunStageRequest{Service: "stage", RequestId: id, Pieces: []int32{0}, DueMs: 9000, DeadlineMs: 9000, Forced: forced})
	}
	answers := make(chan *peerpb.RunStageResponse, 2)
	runAsync := func(id string) {
		response, err := run(id, false)
		c.Check(err, qt.IsNil)
		answers <- response
	}
	go runAsync("first")
	<-begun
	go runAsync("second")
	f.awaitJobs("stage", 2)
	f.scheduler.HandOver()
	c.Assert((<-answers).Refusal, qt.Equals, string(stagework.RefusedMoved))
	response, err := run("third", false)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Refusal, qt.Equals, string(stagework.RefusedMoved))
	close(release)
	c.Assert((<-answers).Refusal, qt.Equals, "")
	response, err = run("fourth", true)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Refusal, qt.Not(qt.Equals), string(stagework.RefusedMoved))
}

// Guards against requests that are refused because the only instance of the region stops
// and hands back their stages to itself.
func TestStoppingOnlyInstanceRunsItsStages(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	f.config.Services[1].StageProfile.Batch = 1
	begun, release := make(chan struct{}, 4), make(chan struct{})
	f.addServer("stage", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/run" {
			begun <- struct{}{}
			<-release
		}
		answerPieces(rw, r)
	})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	statuses := make(chan int, 2)
	send := func() {
		response, _, err := f.do("POST", "/p/", "", "Counts", "1")
		c.Check(err, qt.IsNil)
		statuses <- response.StatusCode
	}
	go send()
	<-begun
	go send()
	f.awaitJobs("stage", 2)
	f.scheduler.HandOver()
	close(release)
	c.Assert([]int{<-statuses, <-statuses}, qt.DeepEquals, []int{http.StatusOK, http.StatusOK})
}

// Guards against pieces that fetch their inputs from another failure domain although the
// inputs are larger than the results, and against results that cross failure domains
// although they are larger.
func TestStagesRunInTheDomainWithMostBytes(t *testing.T) {
	c := qt.New(t)
	domains := map[string]string{"1": "a", "2": "b", "3": "b", "4": ""}
	r := &stageRun{StagePlan: StagePlan{FailureDomain: "c", DomainOf: func(result stagework.Result) string { return domains[result.Handle] }}}
	inputs := []stagework.Result{{Handle: "1"}, {Handle: "2"}, {Handle: "3"}}
	request := &peerpb.RunStageRequest{InputBytes: 300, ResultBytes: 100}
	c.Assert(r.preferredDomain(request, inputs), qt.Equals, "b")
	request.ResultBytes = 300
	c.Assert(r.preferredDomain(request, inputs), qt.Equals, "c")
	c.Assert(r.preferredDomain(&peerpb.RunStageRequest{ResultBytes: 1}, nil), qt.Equals, "c")
}

// Guards against a stage that waits until its inputs are gone, which wastes a call and
// the work of the stages that produced them.
func TestStageDeadlinesRespectInputLifetime(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"}, route.Stage{Service: "stage", After: []int{0}})
	table := route.NewTable(f.config)
	plan := StagePlan{Table: table, Route: &table.Routes[0], Graph: table.Routes[0].NewGraph([]int{1, 1}), Deadline: time.Now().Add(time.Minute)}
	r := &stageRun{StageRunner: NewStageRunner(nil, nil, nil, discardLogger(), tally.NoopScope), StagePlan: plan, schedule: stagework.NewStageSchedule(plan.Graph.After, plan.Graph.Counts)}
	r.schedule.SetTypicalDurations(make([]time.Duration, 2))
	c.Assert(r.newRunStageRequest(0, nil).DeadlineMs > 50_000, qt.IsTrue)
	c.Assert(r.newRunStageRequest(1, nil).DeadlineMs, qt.Equals, int64(1000))
}
