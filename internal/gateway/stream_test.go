package gateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

func sendEvents(rw http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: x\n\n", i)
	}
	_ = http.NewResponseController(rw).Flush()
}

func eventText(from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
	}
	return text.String()
}

// Guards against events that are held back until the stream ends.
func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	release := make(chan struct{})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		sendEvents(rw, 1, 1)
		<-release
		sendEvents(rw, 2, 2)
	})
	f.start()
	request, err := http.NewRequest("POST", f.url+"/p/", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Equals, "id: 1\n")
	close(release)
	rest, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(line+string(rest), qt.Equals, eventText(1, 2))
}

// Guards against a stream that broke off but looks complete to the client, and against
// a stream that is resumed on another server although its route does not allow that.
func TestNonResumableStreamsAreNotResumed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			seen.add("")
			sendEvents(rw, 1, 2)
			abortConnection(rw, r)
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(body, qt.Equals, eventText(1, 2))
	c.Assert(seen.all(), qt.HasLen, 1)
}

// failingWriter accepts the head of an answer and then fails each write, like a
// connection that the client has reset.
type failingWriter struct {
	*httptest.ResponseRecorder
	headsWritten int
}

func (f *failingWriter) WriteHeader(int)           { f.headsWritten++ }
func (f *failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a second answer on a connection whose client disconnects after the
// head of a stream was written.
func TestFailedWritesAbortStreams(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 2) })
	f.start()
	request := httptest.NewRequest("POST", "/p/", nil)
	request.Host = "h"
	request.Header.Set("Id", "a1")
	writer := &failingWriter{ResponseRecorder: httptest.NewRecorder()}
	c.Assert(func() { f.gateway.ServeHTTP(writer, request) }, qt.PanicMatches, http.ErrAbortHandler.Error())
	c.Assert(writer.headsWritten, qt.Equals, 1)
}

// Guards against a resumed stream in which an event is missing, duplicated or, from the
// first server, incomplete.
func TestResumableStreamsResumeOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Last")) == 1 {
				sendEvents(rw, 1, 2)
				_, _ = io.WriteString(rw, "id: 3\nda")
				_ = http.NewResponseController(rw).Flush()
				abortConnection(rw, r)
			}
			sendEvents(rw, 3, 4)
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 4))
	c.Assert(seen.all(), qt.DeepEquals, []string{"", "2"})
}

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
			outcomes[i].Result = fmt.Sprintf("%s/%d", address, produced)
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
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: r.Host + "/1"}})
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
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: fmt.Sprintf("%s/%d", r.Host, runs.add(""))}})
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
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: "m/1"}})
	})
	f.start()
	run := &peerpb.RunStageRequest{Service: "stage", RequestId: "a", Pieces: []int32{0}, DueMs: 5000, DeadlineMs: 5000}
	response, err := f.scheduler.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Pending, qt.Not(qt.Equals), uint64(0))
	close(release)
	await := &peerpb.AwaitStageRequest{Service: "stage", Job: response.Pending}
	response, err = f.scheduler.AwaitStage(c.Context(), await)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Results, qt.DeepEquals, []string{"m/1"})
	_, err = f.scheduler.AwaitStage(c.Context(), await)
	c.Assert(errors.Is(err, errUnknownJob), qt.IsTrue)
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
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: "m/1"}})
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
	eventually(c, func() bool {
		queue := f.scheduler.queueOf("stage", false)
		queue.mu.Lock()
		defer queue.mu.Unlock()
		return len(queue.jobs) == 2
	})
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

// Guards against bytes of an event that are changed or lost, and against events that are
// joined.
func TestEventReader(t *testing.T) {
	c := qt.New(t)
	reader := newEventReader(strings.NewReader("id:1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: b"))
	first, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(string(first.data), qt.Equals, "id:1\r\ndata: a\r\n\r\n")
	c.Assert(first.id, qt.Equals, "1")
	second, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(second.id, qt.Equals, "")
	third, err := reader.next()
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(string(third.data), qt.Equals, "id: 2\ndata: b")
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that blocks because the reader of the log is slow.
func TestLogLinesNeverBlock(t *testing.T) {
	c := qt.New(t)
	blocked := blockedWriter{make(chan struct{})}
	logWriter := NewLogWriter(blocked)
	for range 3 * maxQueuedLines {
		_, err := logWriter.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(logWriter.dropped.Load() > 0, qt.IsTrue)
	close(blocked.release)
	logWriter.Close()
}

// Guards against a shutdown that cuts off requests which wait for their stages, instead
// of refusing them so that their clients can retry.
func TestWaitingRequestsAreRefusedBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	called := make(chan struct{}, 4)
	f.addServer("stage", func(_ http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.config.Services[1].StageProfile.CallTime = time.Second
	f.start()
	go func() {
		<-called
		f.drain.Begin(time.Now().Add(waitingMargin - 8*time.Second))
	}()
	response, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "draining\n")
}

// Guards against a model server that computes prompt parts which a server of another
// region has cached, and against a message from that region that is lost because it
// reaches an instance which does not place the prompts.
func TestPartsCachedInAnotherRegionAreCopied(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.config.Services[0].Engine = &route.EngineProfile{TokenBytes: 1, LinkRate: 1e9}
	var seen recorder
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		seen.add(r.Header.Get("Copy-From"))
		sendEvents(rw, 1, 1)
	})
	f.servers = append(f.servers, view.Server{ID: "far", Service: "x", Address: "192.0.2.1:80", FailureDomain: "elsewhere", Slots: 4})
	f.start()
	f.gateway.placer.SharePlacements(&peerpb.SharePlacementsRequest{Service: "x", Placements: []*peerpb.SharedPlacement{
		{Server: "far", Parts: []*peerpb.PromptPart{{Id: "system", Tokens: 1000}, {Id: "topic", Tokens: 1000}}},
	}})
	for _, own := range []string{"first", "second"} {
		_, _, err := f.do("POST", "/p/", "", "Prompt", "system topic "+own)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(seen.all(), qt.DeepEquals, []string{"192.0.2.1:80", ""})
}

// Guards against placements that are sent to the other regions never or more than once.
func TestPlacementsAreSharedOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.start()
	placer := f.gateway.placer
	prompt := []engine.Part{{ID: "system", Tokens: 1000}, {ID: "own", Tokens: 10}}
	for range 2 {
		_, ok := placer.Place(c.Context(), "a", "x", engine.Query{Prompt: prompt})
		c.Assert(ok, qt.IsTrue)
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	c.Assert(placer.pendingShares["x"], qt.HasLen, 1)
	c.Assert(placer.pendingShares["x"][0].Parts, qt.HasLen, 1)
	c.Assert(placer.pendingShares["x"][0].Parts[0].Id, qt.Equals, "system")
}

// Guards against an instance that places prompts without reading the caches of the model
// servers, and against one that reads them again and again.
func TestPlacersReadServerCachesOnce(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var cacheReads recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/cache" {
				cacheReads.add("")
				_, _ = io.WriteString(rw, `[{"ID":"p","Tokens":9000}]`)
			}
		})
	}
	f.start()
	for range 3 {
		f.gateway.placer.Restore(c.Context())
	}
	c.Assert(cacheReads.all(), qt.HasLen, 2)
}

// Guards against pieces that fetch their inputs from another failure domain although the
// inputs are larger than the results, and against results that cross failure domains
// although they are larger.
func TestStagesRunInTheDomainWithMostBytes(t *testing.T) {
	c := qt.New(t)
	domains := map[string]string{"1": "a", "2": "b", "3": "b", "4": ""}
	r := &stageRun{StagePlan: StagePlan{FailureDomain: "c", DomainOf: func(result string) string { return domains[result] }}}
	request := &peerpb.RunStageRequest{Inputs: []string{"1", "2", "3"}, InputBytes: 300, ResultBytes: 100}
	c.Assert(r.preferredDomain(request), qt.Equals, "b")
	request.ResultBytes = 300
	c.Assert(r.preferredDomain(request), qt.Equals, "c")
	c.Assert(r.preferredDomain(&peerpb.RunStageRequest{ResultBytes: 1}), qt.Equals, "c")
}

// Guards against a stage that waits until its inputs are gone, which wastes a call and
// the work of the stages that produced them.
func TestStageDeadlinesRespectInputLifetime(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"}, route.Stage{Service: "stage", After: []int{0}})
	table := route.NewTable(f.config)
	plan := StagePlan{Table: table, Route: &table.Routes[0], Graph: table.Routes[0].NewGraph([]int{1, 1}), Deadline: time.Now().Add(time.Minute)}
	r := &stageRun{StageRunner: NewStageRunner(nil, nil, nil, discardLogger()), StagePlan: plan, schedule: stagework.NewStageSchedule(plan.Graph.After, plan.Graph.Counts)}
	r.schedule.SetTypicalDurations(make([]time.Duration, 2))
	c.Assert(r.newRunStageRequest(0, nil).DeadlineMs > 50_000, qt.IsTrue)
	c.Assert(r.newRunStageRequest(1, nil).DeadlineMs, qt.Equals, int64(1000))
}
