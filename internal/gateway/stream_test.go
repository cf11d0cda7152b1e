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
	w := generating(c, false)
	goOn := make(chan struct{})
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) {
		sendEvents(rw, 1, 1)
		<-goOn
		sendEvents(rw, 2, 2)
	})
	w.start()
	request, err := http.NewRequest("POST", w.url+"/p/", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Equals, "id: 1\n")
	close(goOn)
	rest, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(line+string(rest), qt.Equals, eventText(1, 2))
}

// Guards against a stream that broke off but looks complete, and against one that
// is joined from two runs although its kind forbids it.
func TestBrokenStreamsStayBroken(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false)
	var seen recorder
	for range 2 {
		w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
			seen.add("")
			sendEvents(rw, 1, 2)
			cut(rw, r)
		})
	}
	w.start()
	_, body, err := w.do("POST", "/p/", "")
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(body, qt.Equals, eventText(1, 2))
	c.Assert(seen.all(), qt.HasLen, 1)
}

// failingWriter accepts a head and then fails each write, as the connection of a
// client does that was reset.
type failingWriter struct {
	*httptest.ResponseRecorder
	heads int
}

func (f *failingWriter) WriteHeader(int)           { f.heads++ }
func (f *failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a second answer on a connection whose client is lost after the head
// of a stream was written.
func TestFailedWritesBreakStreams(t *testing.T) {
	c := qt.New(t)
	w := generating(c, true)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 2) })
	w.start()
	request := httptest.NewRequest("POST", "/p/", nil)
	request.Host = "h"
	request.Header.Set("Id", "a1")
	writer := &failingWriter{ResponseRecorder: httptest.NewRecorder()}
	c.Assert(func() { w.gateway.ServeHTTP(writer, request) }, qt.PanicMatches, http.ErrAbortHandler.Error())
	c.Assert(writer.heads, qt.Equals, 1)
}

// Guards against a resumed stream with an event that is missing or comes twice, and
// against half an event of the first run.
func TestResumableStreamsGoOnAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := generating(c, true)
	var seen recorder
	for range 2 {
		w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Last")) == 1 {
				sendEvents(rw, 1, 2)
				_, _ = io.WriteString(rw, "id: 3\nda")
				_ = http.NewResponseController(rw).Flush()
				cut(rw, r)
			}
			sendEvents(rw, 3, 4)
		})
	}
	w.start()
	_, body, err := w.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 4))
	c.Assert(seen.all(), qt.DeepEquals, []string{"", "2"})
}

// stageServer produces results and records calls and what is freed.
func (w *world) stageServer(calls, freed *recorder) {
	var address string
	made := 0
	address = w.backend("stage", func(rw http.ResponseWriter, r *http.Request) {
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
			made++
			calls.add(fmt.Sprintf("%s %d.%d %s%d", p.RequestID, p.Stage, p.Number, p.Key, len(p.Inputs)))
			outcomes[i].Result = fmt.Sprintf("%s/%d", address, made)
		}
		_ = json.NewEncoder(rw).Encode(outcomes)
	})
}

// eventually waits for a condition that other goroutines bring about.
func eventually(c *qt.C, condition func() bool) {
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("condition is not met")
}

// Guards against a model server that gets the results of another stage or only
// some, and against results that are never freed.
func TestStagesRunInOrderAndTheirResultsAreFreed(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage", ResultBytes: 1}, route.Stage{Service: "stage", After: []int{0}}, route.Stage{Service: "stage"})
	var calls, freed, inputs recorder
	w.stageServer(&calls, &freed)
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
		inputs.add(r.Header.Get("Inputs"))
		sendEvents(rw, 1, 1)
	})
	w.start()
	_, _, err := w.do("POST", "/p/", "", "Counts", "2 1 1")
	c.Assert(err, qt.IsNil)
	seen := calls.all()
	slices.Sort(seen)
	c.Assert(seen, qt.DeepEquals, []string{"a1 0.0 pk0", "a1 0.1 pk0", "a1 1.0 pk2", "a1 2.0 pk0"})
	c.Assert(strings.Fields(inputs.all()[0]), qt.HasLen, 2)
	eventually(c, func() bool { return len(freed.all()) == 4 })
}

// Guards against results that take memory at their server for as long as the model
// server is busy, although it fetched them at once, and against a request that fails
// when it did not.
func TestResultsAreFreedWhenFetched(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage", ResultBytes: 1})
	var calls, freed, inputs recorder
	w.stageServer(&calls, &freed)
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
		first := inputs.add(r.Header.Get("Inputs")) == 1
		eventually(c, func() bool { return slices.Contains(freed.all(), r.Header.Get("Inputs")) })
		if first {
			rw.Header().Set("Not-Run", "inputs")
			rw.WriteHeader(http.StatusConflict)
			return
		}
		sendEvents(rw, 1, 1)
	})
	w.start()
	_, body, err := w.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
	c.Assert(inputs.all()[0], qt.Not(qt.Equals), inputs.all()[1])
	c.Assert(freed.all(), qt.DeepEquals, inputs.all())
}

// Guards against results that take memory until the stage that fetched them ends,
// while calls of other requests wait for that memory.
func TestInputsOfStagesAreFreedWhenFetched(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage", ResultBytes: 1}, route.Stage{Service: "next", After: []int{0}})
	w.config.Services[1].StageProfile.RoomBytes = 3
	w.config.Services[1].StageProfile.CallTime = 200 * time.Millisecond
	w.config.Routes[0].Target, w.config.Routes[0].Timeout = 5*time.Second, 10*time.Second
	w.config.Services = append(w.config.Services, route.Service{Name: "next", StageProfile: w.config.Services[1].StageProfile})
	var calls, freed recorder
	w.stageServer(&calls, &freed)
	w.backend("next", func(rw http.ResponseWriter, r *http.Request) {
		var pieces []Piece
		_ = json.NewDecoder(r.Body).Decode(&pieces)
		if r.URL.Path == "/run" {
			eventually(c, func() bool { return len(freed.all()) == 4 })
		}
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: r.Host + "/1"}})
	})
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	w.start()
	// The result of another request leaves room for two, so that the stage tells of the
	// lack.
	results, err := w.caller.RunStage(c.Context(), &peerpb.RunStageRequest{Service: "stage", RequestId: "b", Pieces: []int32{0}, ResultBytes: 1, DueMs: 5000, DeadlineMs: 5000})
	c.Assert(err, qt.IsNil)
	go func() {
		eventually(c, func() bool { return len(calls.all()) >= 3 })
		w.caller.FreeResults(&peerpb.FreeResultsRequest{Service: "stage", Results: results.Results})
	}()
	_, body, err := w.do("POST", "/p/", "", "Counts", "3 1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
}

// Guards against calls that find no room because the results that should make it were
// not given up yet.
func TestMemoryIsCountedUntilResultsAreGivenUp(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage", ResultBytes: 1})
	w.config.Services[1].StageProfile.RoomBytes = 1
	release := make(chan struct{})
	var runs recorder
	w.backend("stage", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/free" {
			<-release
			return
		}
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: fmt.Sprintf("%s/%d", r.Host, runs.add(""))}})
	})
	w.start()
	run := &peerpb.RunStageRequest{Service: "stage", RequestId: "a", Pieces: []int32{0}, ResultBytes: 1, DueMs: 5000, DeadlineMs: 5000}
	first, err := w.caller.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	w.caller.FreeResults(&peerpb.FreeResultsRequest{Service: "stage", Results: first.Results})
	second, err := w.caller.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Pending, qt.Not(qt.Equals), uint64(0))
	c.Assert(runs.all(), qt.HasLen, 1)
	close(release)
	eventually(c, func() bool { return len(runs.all()) == 2 })
}

// Guards against large results that are made long before the end of the chain beside
// them.
func TestStagesBesideAChainAreAskedLate(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage", ResultBytes: 1},
		route.Stage{Service: "stage"}, route.Stage{Service: "stage", After: []int{1}}, route.Stage{Service: "stage", After: []int{2}})
	w.config.Services[1].StageProfile.CallTime = 300 * time.Millisecond
	w.config.Routes[0].Target, w.config.Routes[0].Timeout = 5*time.Second, 10*time.Second
	var calls, freed recorder
	w.stageServer(&calls, &freed)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	w.start()
	_, _, err := w.do("POST", "/p/", "", "Counts", "1 1 1 1")
	c.Assert(err, qt.IsNil)
	c.Assert(calls.all(), qt.HasLen, 4)
	c.Assert(calls.all()[0], qt.Equals, "a1 1.0 pk0")
}

// Guards against a request that fails because its inputs were lost before the
// model server had them.
func TestLostInputsAreMadeAgain(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"})
	var calls, freed, inputs recorder
	w.stageServer(&calls, &freed)
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
		if inputs.add(r.Header.Get("Inputs")) == 1 {
			rw.Header().Set("Not-Run", "inputs")
			rw.WriteHeader(http.StatusConflict)
			return
		}
		sendEvents(rw, 1, 1)
	})
	w.start()
	_, body, err := w.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 1))
	c.Assert(inputs.all()[0], qt.Not(qt.Equals), inputs.all()[1])
}

// Guards against stage work for a request that can't be answered in time, and
// against a client that waits for the refusal.
func TestRequestsThatCannotEndInTimeAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"})
	w.config.Services[1].StageProfile.CallTime = time.Minute
	var calls, freed recorder
	w.stageServer(&calls, &freed)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	w.start()
	response, _, err := w.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(calls.all(), qt.HasLen, 0)
}

// Guards against an instance that forms calls being taken for dead while a stage
// takes long, and against jobs of requesters that have gone.
func TestPendingStagesAreAwaitedAgainOrAbandoned(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"})
	release := make(chan struct{})
	w.backend("stage", func(rw http.ResponseWriter, _ *http.Request) {
		<-release
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: "m/1"}})
	})
	w.start()
	run := &peerpb.RunStageRequest{Service: "stage", RequestId: "a", Pieces: []int32{0}, DueMs: 5000, DeadlineMs: 5000}
	response, err := w.caller.RunStage(c.Context(), run)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Pending, qt.Not(qt.Equals), uint64(0))
	close(release)
	await := &peerpb.AwaitStageRequest{Service: "stage", Job: response.Pending}
	response, err = w.caller.AwaitStage(c.Context(), await)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Results, qt.DeepEquals, []string{"m/1"})
	_, err = w.caller.AwaitStage(c.Context(), await)
	c.Assert(errors.Is(err, errUnknownJob), qt.IsTrue)
}

// Guards against a stopping instance that goes on forming calls beside the one that
// takes its place, and against a stage that no instance takes because all stop.
func TestStoppingInstancesHandStagesOver(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"})
	w.config.Services[1].StageProfile.Batch = 1
	begun, release := make(chan struct{}, 4), make(chan struct{})
	w.backend("stage", func(rw http.ResponseWriter, _ *http.Request) {
		begun <- struct{}{}
		<-release
		_ = json.NewEncoder(rw).Encode([]stagework.Outcome{{Result: "m/1"}})
	})
	w.start()
	run := func(id string, forced bool) (*peerpb.RunStageResponse, error) {
		return w.caller.RunStage(c.Context(), &peerpb.RunStageRequest{Service: "stage", RequestId: id, Pieces: []int32{0}, DueMs: 9000, DeadlineMs: 9000, Forced: forced})
	}
	answers := make(chan *peerpb.RunStageResponse, 2)
	ask := func(id string) {
		response, err := run(id, false)
		c.Check(err, qt.IsNil)
		answers <- response
	}
	go ask("first")
	<-begun
	go ask("second")
	eventually(c, func() bool {
		w := w.caller.queueOf("stage", false)
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.jobs) == 2
	})
	w.caller.HandOver()
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

// Guards against bytes of an event that are changed, joined or lost.
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

// blockedWriter never finishes a write.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that waits for the log to be read.
func TestLogLinesNeverBlock(t *testing.T) {
	c := qt.New(t)
	blocked := blockedWriter{make(chan struct{})}
	w := NewLogWriter(blocked)
	for range 3 * queuedLines {
		_, err := w.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.dropped.Load() > 0, qt.IsTrue)
	close(blocked.release)
	w.Close()
}

// Guards against a shutdown that cuts off requests which wait for their stages
// instead of telling their clients that they have not run.
func TestWaitingRequestsAreRefusedBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"})
	asked := make(chan struct{}, 4)
	w.backend("stage", func(_ http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	})
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	w.config.Services[1].StageProfile.CallTime = time.Second
	w.start()
	go func() {
		<-asked
		w.drain.Begin(time.Now().Add(unsentMargin - 8*time.Second))
	}()
	response, body, err := w.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "draining\n")
}

// Guards against a model server that reads what one of another region keeps, and
// against a message of that region which reaches an instance that places no prompts.
func TestPartsThatAnotherRegionKeepsAreCopied(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false)
	w.config.Services[0].Engine = &route.EngineProfile{TokenBytes: 1, LinkRate: 1e9}
	var seen recorder
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
		seen.add(r.Header.Get("Copy-From"))
		sendEvents(rw, 1, 1)
	})
	w.servers = append(w.servers, view.Server{ID: "far", Service: "x", Address: "192.0.2.1:80", FailureDomain: "elsewhere", Slots: 4})
	w.start()
	w.gateway.placer.SharePlacements(&peerpb.SharePlacementsRequest{Service: "x", Placements: []*peerpb.SharedPlacement{
		{Server: "far", Parts: []*peerpb.PromptPart{{Id: "system", Tokens: 1000}, {Id: "topic", Tokens: 1000}}},
	}})
	for _, own := range []string{"first", "second"} {
		_, _, err := w.do("POST", "/p/", "", "Prompt", "system topic "+own)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(seen.all(), qt.DeepEquals, []string{"192.0.2.1:80", ""})
}

// Guards against placements that the other regions are not told, or more than once.
func TestPlacementsAreSharedOnce(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	w.start()
	placer := w.gateway.placer
	prompt := []engine.Part{{ID: "system", Tokens: 1000}, {ID: "own", Tokens: 10}}
	for range 2 {
		_, ok := placer.Place(c.Context(), "a", "x", engine.Query{Prompt: prompt})
		c.Assert(ok, qt.IsTrue)
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	c.Assert(placer.shares["x"], qt.HasLen, 1)
	c.Assert(placer.shares["x"][0].Parts, qt.HasLen, 1)
	c.Assert(placer.shares["x"][0].Parts[0].Id, qt.Equals, "system")
}

// Guards against an instance that begins to place prompts without asking what the
// model servers keep, and asks again and again.
func TestPlacersAskOnceWhatServersKeep(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false)
	var asked recorder
	for range 2 {
		w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/cache" {
				asked.add("")
				_, _ = io.WriteString(rw, `[{"ID":"p","Tokens":9000}]`)
			}
		})
	}
	w.start()
	for range 3 {
		w.gateway.placer.Restore(c.Context())
	}
	c.Assert(asked.all(), qt.HasLen, 2)
}

// Guards against pieces that fetch their inputs from another failure domain although
// these are larger than their results, and the other way round.
func TestStagesRunWhereMostBytesAre(t *testing.T) {
	c := qt.New(t)
	domains := map[string]string{"1": "a", "2": "b", "3": "b", "4": ""}
	r := &run{Chain: Chain{FailureDomain: "c", DomainOf: func(result string) string { return domains[result] }}}
	request := &peerpb.RunStageRequest{Inputs: []string{"1", "2", "3"}, InputBytes: 300, ResultBytes: 100}
	c.Assert(r.domain(request), qt.Equals, "b")
	request.ResultBytes = 300
	c.Assert(r.domain(request), qt.Equals, "c")
	c.Assert(r.domain(&peerpb.RunStageRequest{ResultBytes: 1}), qt.Equals, "c")
}

// Guards against a stage that waits until its inputs are gone, which costs a call and
// the work of the stages before.
func TestStagesEndBeforeTheLifeOfTheirInputs(t *testing.T) {
	c := qt.New(t)
	w := generating(c, false, route.Stage{Service: "stage"}, route.Stage{Service: "stage", After: []int{0}})
	table := route.NewTable(w.config)
	chain := Chain{Table: table, Route: &table.Routes[0], Graph: table.Routes[0].NewGraph([]int{1, 1}), Deadline: time.Now().Add(time.Minute)}
	r := &run{Stages: NewStages(nil, nil, nil, logger()), Chain: chain, progress: stagework.NewStageSchedule(chain.Graph.After, chain.Graph.Counts)}
	r.progress.SetTypicalDurations(make([]time.Duration, 2))
	c.Assert(r.request(0, nil).DeadlineMs > 50_000, qt.IsTrue)
	c.Assert(r.request(1, nil).DeadlineMs, qt.Equals, int64(1000))
}
