// Package experiment compares design decisions with baselines under the same load, in
// one run.
package experiment

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// overheadBatches is the number of batches on each path. Batches of the paths are
// interleaved, so that noise of a shared machine affects all paths alike.
const overheadBatches = 20

// overheadInput is the input of every request.
var overheadInput = `{"text":"` + strings.Repeat("lot 4711 ", 60) + `"}`

// Overhead is the processor time per request of the whole process: client, relay or
// entry instance, and the stand-in of a backend server.
type Overhead struct {
	// Direct is for requests straight to the stand-in, Relay for requests through a relay
	// that only forwards, Entry for requests through an entry instance.
	Direct, Relay, Entry time.Duration
}

// AddedRatio returns the processor time that an entry instance adds, as a multiple of
// what the relay adds.
func (o Overhead) AddedRatio() float64 {
	return float64(o.Entry-o.Direct) / float64(o.Relay-o.Direct)
}

// MeasureOverhead sends at least the given number of requests on each path. All paths
// end at the same stand-in.
func MeasureOverhead(requests int) (Overhead, error) {
	backendServer := httptest.NewServer(standin.NewBackend(standin.BackendConfig{ID: "r1", Slots: 64}).Handler())
	defer backendServer.Close()
	address := backendServer.Listener.Addr().String()
	stage := backendServer.URL + backend.PathStage + string(pipeline.StageRetrieve)
	relay := httptest.NewServer(bareRelay(stage))
	defer relay.Close()
	instance := httptest.NewServer(entryHandler(address))
	defer instance.Close()
	body := `{"organisation":"acme","pipeline":"notes","kind":"note","class":"normal","input":` + overheadInput + `}`
	return measure((requests+overheadBatches-1)/overheadBatches, []overheadPath{
		{stage, body},
		{relay.URL, body},
		{instance.URL + "/v1/organisations/acme/pipelines/notes/kinds/note", overheadInput},
	})
}

// overheadPath is one path to the stand-in: the URL and the body to post there.
type overheadPath struct{ url, body string }

// measure sends batches on the paths in turn. The paths are direct, relay and entry, in
// this order.
func measure(batch int, paths []overheadPath) (Overhead, error) {
	client := &http.Client{Transport: backend.NewTransport()}
	defer client.CloseIdleConnections()
	used := make([]time.Duration, len(paths))
	for range overheadBatches {
		for i, path := range paths {
			took, err := sendBatch(client, path, batch)
			if err != nil {
				return Overhead{}, err
			}
			used[i] += took
		}
	}
	total := time.Duration(batch * overheadBatches)
	return Overhead{Direct: used[0] / total, Relay: used[1] / total, Entry: used[2] / total}, nil
}

// sendBatch returns the processor time of a batch.
func sendBatch(client *http.Client, path overheadPath, batch int) (time.Duration, error) {
	start, err := usedProcessorTime()
	if err != nil {
		return 0, err
	}
	for range batch {
		if err := post(client, path); err != nil {
			return 0, err
		}
	}
	end, err := usedProcessorTime()
	return end - start, err
}

func post(client *http.Client, path overheadPath) error {
	response, err := client.Post(path.url, "application/json", strings.NewReader(path.body))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with status %d", path.url, response.StatusCode)
	}
	return nil
}

// usedProcessorTime returns the user and system time of this process.
func usedProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}

// bareRelay forwards request and response bodies and does nothing else.
func bareRelay(target string) http.Handler {
	client := &http.Client{Transport: backend.NewTransport()}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, target, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		request.ContentLength = r.ContentLength
		request.Header.Set("Content-Type", r.Header.Get("Content-Type"))
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

// entryHandler returns the request handler of an entry instance with a pipeline of one
// stage.
func entryHandler(address string) http.Handler {
	set := &pipeline.Set{
		Deployment: pipeline.Deployment{
			Pools:         []pipeline.Pool{{Name: "shelf", Type: pipeline.StageRetrieve, Slots: 64}},
			Organisations: []pipeline.Organisation{{Name: "acme"}},
		},
		Pipelines: []pipeline.Pipeline{{
			Name:   "notes",
			Stages: []pipeline.Stage{{Name: "fetch", Type: pipeline.StageRetrieve, Pool: "shelf"}},
			Kinds:  []pipeline.Kind{{Name: "note", Repeat: pipeline.RepeatIdempotent, Class: pipeline.ClassNormal, MaxWaitMS: 10000}},
		}},
	}
	servers := entry.NewServers("i", routing.Location{}, 1, slog.New(slog.DiscardHandler), time.Now)
	servers.Update([]platform.Member{{ID: "r1", Role: platform.RoleBackend, Address: address, Pool: "shelf", State: platform.StateLive}}, set)
	executor := entry.NewExecutor(backend.NewHTTPCaller(backend.NewTransport(), nil), servers, time.Now)
	executor.Hedges, executor.Budgets = servers, servers
	control := entry.NewAdmissionControl(servers, entry.NewAdmissionMetrics(tally.NoopScope), slog.New(slog.DiscardHandler), time.Now)
	handler := &entry.Handler{Configuration: fixedConfiguration{set}, Executor: executor, Admission: control, Now: time.Now}
	return handler.Router()
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ set *pipeline.Set }

// Current returns the configuration.
func (f fixedConfiguration) Current() *pipeline.Set { return f.set }
