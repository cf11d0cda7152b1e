package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/metrics"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

func metricsSweeps() []sweep {
	return []sweep{
		{
			role: RoleMetrics, per: "pipeline of 6 stages and 4 kinds", sizes: []int{1, 5, 10, targetPipelines}, target: targetPipelines,
			singleRun: true,
			setUp:     withoutState(func(n int) ([]figure, error) { return measureSeries(1, n, "") }),
		},
		{
			role: RoleMetrics, per: "organisation with calls to another region", sizes: []int{5, 100, 300, 3000, targetOrganisations}, target: targetOrganisations,
			singleRun: true,
			setUp:     withoutState(func(n int) ([]figure, error) { return measureSeries(n, 1, "region-far") }),
		},
	}
}

// singleServer picks the same server for every call and also serves the call in its
// place.
type singleServer struct{ server backend.Server }

// Pick implements entry.Picker.
func (s singleServer) Pick(entry.Query) (entry.PickedServer, bool) { return s, true }

// Server implements entry.PickedServer.
func (s singleServer) Server() backend.Server { return s.server }

// FirstByte implements entry.PickedServer.
func (singleServer) FirstByte() {}

// Done implements entry.PickedServer.
func (singleServer) Done(error, int64) {}

// Call implements backend.Caller.
func (singleServer) Call(context.Context, backend.Server, backend.StageRequest) (backend.StageStream, error) {
	return &singleChunkStream{}, nil
}

// singleChunkStream is a stream of one chunk.
type singleChunkStream struct{ read bool }

// Next implements backend.StageStream.
func (s *singleChunkStream) Next() ([]byte, error) {
	if s.read {
		return nil, io.EOF
	}
	s.read = true
	return []byte(`{"ok":true}`), nil
}

// Close implements backend.StageStream.
func (*singleChunkStream) Close() error { return nil }

// logCounter counts log lines and their bytes.
type logCounter struct{ bytes, lines int }

// Write implements io.Writer.
func (c *logCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	c.lines++
	return len(p), nil
}

// measureSeries sends one request of each kind and organisation to a server of the
// given region. The instance itself is in the region with the empty name, so any
// other name measures calls to another region.
func measureSeries(organisations, pipelines int, region string) ([]figure, error) {
	set := sampleSet(organisations, pipelines)
	for i := range set.Pipelines {
		for k := range set.Pipelines[i].Stages {
			set.Pipelines[i].Stages[k].Name = fmt.Sprintf("p%d-stage-%d", i, k)
			set.Pipelines[i].Stages[k].After = nil
		}
	}
	set.Index()
	m := metrics.New()
	logs := &logCounter{}
	handler := seriesHandler(set, m, region, logs)
	stateBytes, requests, err := retained(func() (int, error) { return sendAll(handler, set) })
	if err != nil {
		return nil, err
	}
	var recorder *httptest.ResponseRecorder
	if err := m.Close(); err != nil {
		return nil, err
	}
	took, err := processorTime(func() error {
		recorder = httptest.NewRecorder()
		m.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return nil
	})
	series := bytes.Count(recorder.Body.Bytes(), []byte("\ncoltsfootdrift_"))
	return []figure{
		{"series", "series", float64(series)},
		{"bytes of a scrape", "B", float64(recorder.Body.Len())},
		{"processor time of a scrape", "us", float64(took.Microseconds())},
		{"memory of metrics", "B", stateBytes},
		{"log lines per request", "lines", float64(logs.lines) / float64(requests)},
		{"log bytes per request", "B", float64(logs.bytes) / float64(requests)},
	}, err
}

func seriesHandler(set *pipeline.Set, m *metrics.Metrics, region string, logs io.Writer) http.Handler {
	server := singleServer{backend.Server{ID: "r1", Region: region}}
	executor := entry.NewExecutor(server, server, time.Now)
	executor.Metrics = entry.NewRequestMetrics(m.Scope, "")
	executor.Logger = slog.New(slog.NewJSONHandler(logs, nil))
	handler := &entry.Handler{Configuration: fixedConfiguration{set}, Executor: executor, Now: time.Now}
	return handler.Router()
}

// sendAll sends one request for each organisation, pipeline and kind, and returns the
// number of requests.
func sendAll(handler http.Handler, set *pipeline.Set) (requests int, err error) {
	for _, organisation := range set.Deployment.Organisations {
		for _, p := range set.Pipelines {
			for _, kind := range p.Kinds {
				path := "/v1/organisations/" + organisation.Name + "/pipelines/" + p.Name + "/kinds/" + kind.Name
				answer := httptest.NewRecorder()
				handler.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(`{}`)))
				if answer.Code != http.StatusOK {
					return requests, fmt.Errorf("%s: status %d: %s", path, answer.Code, answer.Body)
				}
				requests++
			}
		}
	}
	return requests, nil
}
