package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

const (
	requestOrganisation = "organisation-00000"
	// requestsPerRun is the number of requests that are measured together.
	requestsPerRun = 200
	streamsPerRun  = 20
	// chunkBytes is the length of a streamed chunk, about one token.
	chunkBytes = 4
	// inFlightServiceTime is how long the stand-in works on each request while the
	// memory of requests in flight is measured.
	inFlightServiceTime = 700 * time.Millisecond
)

func requestSweeps() []sweep {
	return []sweep{
		{role: RoleRequest, per: "stage of a request", sizes: []int{1, 2, 3, 4, 6}, target: 6, setUp: setUpStages},
		{role: RoleRequest, per: "chunk of a stream", sizes: []int{16, 64, 256, 1024}, target: 440, setUp: setUpStreams},
		{role: RoleRequest, per: "request in flight", sizes: []int{16, 64, 256}, target: 64, setUp: setUpInFlight},
	}
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ set *pipeline.Set }

// Current returns the configuration.
func (f fixedConfiguration) Current() *pipeline.Set { return f.set }

// entryHop is an entry instance in front of the stand-in of a backend server, both on
// loopback.
type entryHop struct {
	backendServer, entryInstance *httptest.Server
	client                       *http.Client
}

func startEntryHop(set *pipeline.Set, config standin.BackendConfig) *entryHop {
	h := &entryHop{backendServer: httptest.NewServer(standin.NewBackend(config).Handler())}
	servers := entry.NewServers("i", routing.Location{}, 1, slog.New(slog.DiscardHandler), time.Now)
	servers.Update([]platform.Member{{
		ID: config.ID, Role: platform.RoleBackend, Address: h.backendServer.Listener.Addr().String(),
		Pool: set.Deployment.Pools[0].Name, State: platform.StateLive,
	}}, set)
	executor := entry.NewExecutor(backend.NewHTTPCaller(backend.NewTransport(), nil), servers, time.Now)
	executor.Hedges, executor.Budgets = servers, servers
	control := entry.NewAdmissionControl(servers, entry.NewAdmissionMetrics(tally.NoopScope), slog.New(slog.DiscardHandler), time.Now)
	handler := &entry.Handler{Configuration: fixedConfiguration{set}, Executor: executor, Admission: control, Now: time.Now}
	h.entryInstance = httptest.NewServer(handler.Router())
	h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	return h
}

func (h *entryHop) close() {
	h.client.CloseIdleConnections()
	h.entryInstance.CloseClientConnections()
	h.entryInstance.Close()
	h.backendServer.CloseClientConnections()
	h.backendServer.Close()
}

// postToEntry posts a request to the entry instance. postToBackend posts a stage
// directly to the stand-in.
func (h *entryHop) postToEntry(p, accept, input string) error {
	return h.post(h.entryInstance.URL+"/v1/organisations/"+requestOrganisation+"/pipelines/"+p+"/kinds/kind-0", accept, input)
}

func (h *entryHop) postToBackend(stage pipeline.StageType, input string) error {
	body := `{"organisation":"` + requestOrganisation + `","pipeline":"p","kind":"kind-0","class":"normal","input":` + input + `}`
	return h.post(h.backendServer.URL+backend.PathStage+string(stage), "", body)
}

func (h *entryHop) post(url, accept, body string) error {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if accept != "" {
		request.Header.Set("Accept", accept)
	}
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode, text)
	}
	return nil
}

// costPerRequest returns the processor time of this process and the bytes that it
// allocated, as means over all requests.
func costPerRequest(requests int, send func() error) (microseconds, bytes float64, err error) {
	var took time.Duration
	bytes, _, err = allocated(func() (err error) {
		took, err = processorTime(func() error {
			for range requests {
				if err := send(); err != nil {
					return err
				}
			}
			return nil
		})
		return err
	})
	return float64(took.Microseconds()) / float64(requests), bytes / float64(requests), err
}

// addedCost returns the whole processor time of a request through the instance, and
// the processor time and bytes that it costs more than a direct one.
func addedCost(requests int, direct, through func() error) (all, microseconds, bytes float64, err error) {
	base, baseBytes, err := costPerRequest(requests, direct)
	if err != nil {
		return 0, 0, 0, err
	}
	all, allBytes, err := costPerRequest(requests, through)
	return all, all - base, allBytes - baseBytes, err
}

func setUpStages() (func(int) ([]figure, error), func(), error) {
	set := sampleSet(1, 0)
	set.Deployment.Organisations[0].RequestsPerSecond = 0
	kinds := sampleSet(1, 1).Pipelines[0].Kinds
	for n := pipeline.MinStages; n <= pipeline.MaxStages; n++ {
		set.Pipelines = append(set.Pipelines, pipeline.Pipeline{Name: fmt.Sprint("p", n), Stages: sampleStages(n), Kinds: kinds})
	}
	set.Index()
	h := startEntryHop(set, standin.BackendConfig{ID: "r1", Slots: 64})
	input := `{"text":"` + strings.Repeat("lot 4711 ", 60) + `"}`
	measure := func(stages int) ([]figure, error) {
		all, more, bytes, err := addedCost(requestsPerRun,
			func() error { return h.postToBackend(pipeline.StageRetrieve, input) },
			func() error { return h.postToEntry(fmt.Sprint("p", stages), "", input) })
		return []figure{
			{"processor time with client and stand-in", "us", all},
			{"processor time less one direct call", "us", more},
			{"memory allocated less one direct call", "B", bytes},
		}, err
	}
	return measure, h.close, nil
}

// setWithGenerateStage returns a set with one pipeline, which has one generate stage.
func setWithGenerateStage() *pipeline.Set {
	set := sampleSet(1, 1)
	set.Deployment.Organisations[0].RequestsPerSecond = 0
	set.Deployment.Pools[0] = pipeline.Pool{Name: "engines", Type: pipeline.StageGenerate, Slots: 512}
	p := &set.Pipelines[0]
	p.Name, p.Stages = "p", []pipeline.Stage{{Name: "draft", Type: pipeline.StageGenerate, Pool: "engines"}}
	p.Kinds[0].MaxWaitMS = time.Minute.Milliseconds()
	set.Index()
	return set
}

func setUpStreams() (func(int) ([]figure, error), func(), error) {
	h := startEntryHop(setWithGenerateStage(), standin.BackendConfig{ID: "e1", Slots: 512, AnswerBytes: chunkBytes, ChunkBytes: chunkBytes})
	measure := func(chunks int) ([]figure, error) {
		input := fmt.Sprintf(`{"answer_bytes":%d}`, chunks*chunkBytes)
		all, more, bytes, err := addedCost(streamsPerRun,
			func() error { return h.postToBackend(pipeline.StageGenerate, input) },
			func() error { return h.postToEntry("p", "text/event-stream", input) })
		return []figure{
			{"processor time with client and stand-in", "us", all},
			{"processor time less a direct stream", "us", more},
			{"memory allocated less a direct stream", "B", bytes},
		}, err
	}
	return measure, h.close, nil
}

func setUpInFlight() (func(int) ([]figure, error), func(), error) {
	config := standin.BackendConfig{ID: "e1", Slots: 512, AnswerBytes: chunkBytes, ChunkBytes: chunkBytes, ServiceTime: inFlightServiceTime}
	h := startEntryHop(setWithGenerateStage(), config)
	measure := func(requests int) ([]figure, error) {
		direct, err := memoryInFlight(requests, func() error { return h.postToBackend(pipeline.StageGenerate, `{}`) })
		if err != nil {
			return nil, err
		}
		through, err := memoryInFlight(requests, func() error { return h.postToEntry("p", "text/event-stream", `{}`) })
		return []figure{{"memory in use less direct requests", "B", through - direct}}, err
	}
	return measure, h.close, nil
}

// memoryInFlight returns the bytes by which the memory in use grows while requests are
// in flight.
func memoryInFlight(requests int, send func() error) (float64, error) {
	before := memoryInUse()
	group, _ := errgroup.WithContext(context.Background())
	for range requests {
		group.Go(send)
	}
	time.Sleep(inFlightServiceTime / 2)
	during := memoryInUse()
	return during - before, group.Wait()
}
