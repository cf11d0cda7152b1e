package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

// addStages adds a stage server in a failure domain that records its calls and the results
// that it frees by the name of the domain.
func (f *fixture) addStages(domain string, seen *recorder) {
	f.addServerIn(domain, "stage", func(rw http.ResponseWriter, r *http.Request) {
		seen.add("stage" + r.URL.Path + " " + domain)
		var pieces []Piece
		if r.URL.Path != "/run" || json.NewDecoder(r.Body).Decode(&pieces) != nil {
			return
		}
		outcomes := make([]stagework.Outcome, len(pieces))
		for i := range outcomes {
			outcomes[i].Handle = fmt.Sprint(domain, "/", time.Now().UnixNano(), i)
		}
		_ = json.NewEncoder(rw).Encode(outcomes)
	})
}

// addModel adds a model server in a failure domain that records its requests by the name of
// the domain.
func (f *fixture) addModel(domain string, seen *recorder, handle func(rw http.ResponseWriter, nth int)) {
	f.addServerIn(domain, "x", func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/cache" && r.URL.Path != "/state" {
			handle(rw, seen.add("model "+domain))
		}
	})
}

func oneEvent(rw http.ResponseWriter, _ int) { sendEvents(rw, 1, 1) }

// newBoundFixture returns a fixture whose route has a stage and may be served in region "q"
// only, with servers of both services in both regions.
func newBoundFixture(c *qt.C, seen *recorder) *fixture {
	f := newEngineFixture(c, false, route.Stage{Service: "stage", ResultBytes: 1})
	f.config.Routes[0].AllowedRegions = []string{"q"}
	profile := f.config.Services[1].StageProfile
	profile.RoomBytes, profile.ResultLife = 1, time.Minute
	for _, domain := range []string{"d", "e"} {
		f.addStages(domain, seen)
		f.addModel(domain, seen, oneEvent)
	}
	return f
}

// Guards against stages, inputs, model servers and frees in a region that is not allowed,
// and against an instance there that does not hand the work to the owners of the allowed
// one, whose queue and placements count it.
func TestStagesAndPromptsRunInTheAllowedRegion(t *testing.T) {
	c := qt.New(t)
	var seen recorder
	f := newBoundFixture(c, &seen)
	f.start()
	far, _ := f.startFar()
	want := []string{"stage/run e", "model e", "stage/free e"}
	for i := range 2 { // the second one needs the memory that the first one freed at the far owner
		_, body, err := f.do("POST", "/p/", "", "Counts", "1", "Prompt", "system own", "Id", fmt.Sprint("a", i))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, eventText(1, 1))
		eventually(c, func() bool { return len(seen.all()) == 3*(i+1) })
		c.Assert(seen.all()[3*i:], qt.DeepEquals, want)
	}
	c.Assert(cachedAt(far, "s3"), qt.IsTrue, qt.Commentf("the far owner placed the prompt"))
	c.Assert(cachedAt(f, "s3"), qt.IsFalse)
}

// cachedAt reports whether an instance takes a model server to have cached the part "system".
func cachedAt(f *fixture, server string) (cached bool) {
	f.gateway.servers.WithEngineScheduler("x", func(s *engine.Scheduler) {
		placed, _ := s.Place(time.Now(), engine.Query{Prompt: []engine.Part{{ID: "system", Tokens: 1000}, {ID: "other", Tokens: 1}}, Regions: regions.Only([]string{"q"})})
		cached = placed.Server == server && len(placed.NewParts) == 0
	})
	return cached
}

// Guards against requests that run in a region which is not allowed, or wait until their
// deadline, when no instance of the allowed region answers, and against ones that are still
// refused when it does again.
func TestUnreachedRegionsRefuseStages(t *testing.T) {
	c := qt.New(t)
	var seen recorder
	f := newBoundFixture(c, &seen)
	f.start()
	response, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(body, qt.Equals, reasonAllowedUnreachable+"\n")
	c.Assert(seen.all(), qt.HasLen, 0)
	_, stop := f.startFar()
	eventually(c, func() bool {
		response, _, err = f.do("POST", "/p/", "", "Counts", "1")
		return err == nil && response.StatusCode == http.StatusOK
	})
	stop()
	response, body, err = f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, reasonAllowedUnreachable+"\n", qt.Commentf("the known owner is lost"))
	c.Assert(seen.all(), qt.Not(qt.Contains), "model d")
	c.Assert(seen.all(), qt.Not(qt.Contains), "stage/run d")
}

// silentOwner is the owner handler of a region whose owner does not answer.
type silentOwner struct{ region, address string }

func (o silentOwner) FindOwners(string) *peerpb.FindOwnersResponse {
	return &peerpb.FindOwnersResponse{Region: o.region, Addresses: []string{o.address}}
}

// serveOwner serves the calls of other instances with an owner handler, and returns the
// address.
func serveOwner(c *qt.C, owner silentOwner) string {
	handlers := peer.NewServer(nil)
	handlers.HandleOwners(owner)
	contact := httptest.NewServer(handlers.Handler())
	c.Cleanup(contact.Close)
	return contact.Listener.Addr().String()
}

// Guards against work that is sent to a region which is not allowed, because the address of
// an instance of the allowed one was taken over by an instance elsewhere.
func TestOwnersAreTakenFromTheirOwnRegionOnly(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.start()
	cluster := f.gateway.stages.cluster
	f.meet("q", serveOwner(c, silentOwner{"elsewhere", "127.0.0.1:1"}))
	c.Assert(cluster.OwnersIn(c.Context(), "q", "stage"), qt.HasLen, 0)
	f.meet("s", serveOwner(c, silentOwner{"s", "127.0.0.1:1"}))
	c.Assert(cluster.OwnersIn(c.Context(), "s", "stage"), qt.DeepEquals, []string{"127.0.0.1:1"})
}

// Guards against a request that goes from one allowed region without an answer to the next
// and back until its deadline.
func TestRequestsAreRefusedWhenNoAllowedRegionAnswers(t *testing.T) {
	c := qt.New(t)
	var seen recorder
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	f.config.Routes[0].AllowedRegions = []string{"q", "s"}
	f.config.Routes[0].Target, f.config.Routes[0].Timeout = 5*time.Second, 10*time.Second
	for _, domain := range []string{"e", "f"} {
		f.addStages(domain, &seen)
		f.addModel(domain, &seen, oneEvent)
	}
	f.start()
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	c.Cleanup(silent.Close)
	for _, region := range []string{"q", "s"} {
		f.meet(region, serveOwner(c, silentOwner{region, silent.Listener.Addr().String()}))
	}
	started := time.Now()
	response, _, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(started) < 5*time.Second, qt.IsTrue)
	c.Assert(seen.all(), qt.HasLen, 0)
}

// Guards against streams that fall back to the servers of a region that is not allowed when
// they are sent first, when no instance places prompts there, and when they are resumed.
func TestStreamsResumeInAllowedRegionsOnly(t *testing.T) {
	for servers, want := range map[int]string{1: eventText(1, 1), 2: eventText(1, 2)} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			c := qt.New(t)
			f := newEngineFixture(c, true)
			f.config.Routes[0].AllowedRegions = []string{"q"}
			var seen recorder
			f.addModel("d", &seen, oneEvent)
			for range servers {
				f.addModel("e", &seen, func(rw http.ResponseWriter, nth int) {
					sendEvents(rw, nth, nth)
					if nth == 1 {
						panic(http.ErrAbortHandler)
					}
				})
			}
			f.start()
			_, body, _ := f.do("POST", "/p/", "")
			c.Assert(body, qt.Equals, want)
			c.Assert(seen.all(), qt.Not(qt.Contains), "model d")
			c.Assert(seen.all(), qt.HasLen, servers)
		})
	}
}

// Guards against a stream that is resumed, or a request whose stages run again, in a region
// that the newest configuration no longer allows.
func TestResumedStreamsFollowTheNewestRegions(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	f.config.Routes[0].AllowedRegions = []string{"q"}
	var seen recorder
	f.addModel("d", &seen, oneEvent)
	for range 2 {
		f.addModel("e", &seen, func(rw http.ResponseWriter, _ int) {
			sendEvents(rw, 1, 1)
			f.config.Routes[0].AllowedRegions = []string{"r"}
			f.reconfigure()
			panic(http.ErrAbortHandler)
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.Not(qt.IsNil), qt.Commentf("the stream ends without its end"))
	c.Assert(body, qt.Equals, eventText(1, 1))
	c.Assert(seen.all(), qt.DeepEquals, []string{"model e"})
}

// Guards against a second stage, or a model server, that gets the results of a first stage
// after the newest configuration has taken the region that holds them from the list.
func TestStagesFollowTheNewestRegions(t *testing.T) {
	for _, stages := range []int{1, 2} {
		t.Run(fmt.Sprint(stages), func(t *testing.T) {
			c := qt.New(t)
			f := newEngineFixture(c, false, []route.Stage{{Service: "stage", ResultBytes: 1}, {Service: "stage", After: []int{0}}}[:stages]...)
			f.config.Routes[0].AllowedRegions = []string{"q", "r"}
			var seen recorder
			f.addModel("d", &seen, oneEvent)
			f.addServerIn("e", "stage", func(rw http.ResponseWriter, r *http.Request) {
				if seen.add("stage"+r.URL.Path) == 1 {
					f.config.Routes[0].AllowedRegions = []string{"r"}
					f.reconfigure()
				}
				_, _ = io.WriteString(rw, `[{"Handle": "e/1"}]`)
			})
			f.start()
			f.startFar()
			response, body, err := f.do("POST", "/p/", "", "Counts", "1 1")
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(body, qt.Equals, reasonNoAllowedServer+"\n")
			eventually(c, func() bool { return len(seen.all()) == 2 })
			c.Assert(seen.all(), qt.DeepEquals, []string{"stage/run", "stage/free"})
		})
	}
}

// Guards against an operator who does not see which routes and organisations are bound.
func TestBindingsAreListed(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.bindOrganisation("q")
	f.config.Routes = append(f.config.Routes, route.Route{Name: "other", AllowedRegions: []string{regions.InvalidList}})
	b := NewRegionBindings(discardLogger())
	b.ObserveView(&view.View{Table: route.NewTable(f.config)})
	c.Assert(b.List(), qt.DeepEquals, []RegionBinding{{"route", "other", []string{regions.InvalidList}}, {"organisation", "o", []string{"q"}}})
}

// Guards against a queue that runs a job on the servers of another region, which it uses when
// its own has none, although the job's request does not allow that region.
func TestStageQueuesRefuseJobsForRegionsThatAreNotAllowed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	var seen recorder
	f.addStages("e", &seen)
	f.start()
	request := &peerpb.RunStageRequest{Service: "stage", Pieces: []int32{0}, DueMs: 500, DeadlineMs: 1000, RegionsBound: true, Regions: []string{"r"}}
	response, err := f.scheduler.RunStage(t.Context(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Refusal, qt.Equals, string(stagework.RefusedNoServer))
	request.Regions = []string{"q"}
	response, err = f.scheduler.RunStage(t.Context(), request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Refusal, qt.Equals, "")
	c.Assert(seen.all(), qt.DeepEquals, []string{"stage/run e"})
}

// Guards against a waiting job that runs on the servers of another region after those of its
// own have left.
func TestWaitingJobsAreRefusedWhenTheirRegionHasNoServers(t *testing.T) {
	c := qt.New(t)
	q := newServiceQueue("stage")
	q.queue.SetServers([]stagework.Server{{ID: "near", Incarnation: 1}})
	q.setRegions([]string{"r"})
	job := &stageJob{request: &peerpb.RunStageRequest{Pieces: []int32{0}, DueMs: 500, DeadlineMs: 1000, RegionsBound: true, Regions: []string{"r"}}, done: make(chan stagework.EndedJob, 1)}
	id, refusal := q.enqueue(time.Now(), job)
	c.Assert(refusal, qt.Equals, stagework.Refusal(""))
	c.Assert(q.setRegions([]string{"r"}).Done, qt.HasLen, 0)
	effects := q.setRegions([]string{"q"})
	c.Assert(effects.Done, qt.DeepEquals, []stagework.EndedJob{{Job: id, Refusal: stagework.RefusedNoServer}})
	_, formed := q.queue.Next(time.Now())
	c.Assert(formed, qt.IsFalse)
}

// Guards against cached prompt parts of a bound request that are reported to other regions.
func TestPartsOfBoundRequestsAreNotShared(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var seen recorder
	f.addModel("d", &seen, oneEvent)
	f.start()
	placer := f.gateway.placer
	for _, allowed := range []regions.Set{regions.Only([]string{"r"}), {}} {
		prompt := []engine.Part{{ID: "system of " + allowed.String(), Tokens: 1000}, {ID: "own", Tokens: 10}}
		_, err := placer.Place(c.Context(), "a", "x", engine.Query{Prompt: prompt, Regions: allowed})
		c.Assert(err, qt.IsNil)
	}
	placer.mu.Lock()
	defer placer.mu.Unlock()
	c.Assert(placer.pendingShares["x"], qt.HasLen, 1)
	c.Assert(placer.pendingShares["x"][0].Parts[0].Id, qt.Equals, "system of all")
}

// Guards against owners that are asked for with each request, and against owners that are
// used long after the last answer.
func TestOwnersOfOtherRegionsAreAskedForOnceASecond(t *testing.T) {
	c := qt.New(t)
	var r regionOwners
	key, now := regionKey{"q", "stage"}, time.Unix(1000, 0)
	check := func(after time.Duration, known, ask bool) {
		addresses, asks := r.lookup(now.Add(after), key)
		c.Assert(len(addresses) > 0, qt.Equals, known)
		c.Assert(asks, qt.Equals, ask)
	}
	check(0, false, true)
	r.store(now, key, []string{"127.0.0.1:1"})
	check(0, true, false)
	check(regionOwnersFresh, true, true)
	check(regionOwnersFresh, true, false)
	r.expire(key)
	check(regionOwnersFresh, true, true)
	check(regionOwnersMaxAge+1, false, true)
}
