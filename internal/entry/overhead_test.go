package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// relayRounds is the number of interleaved batches, so that noise of a shared
// machine falls on all paths alike.
const relayRounds = 20

// BenchmarkOverhead measures the processor time that an entry instance adds to a
// request of one stage, and that a bare relay hop adds, over the same stand-in.
// The metric added_ratio is the quotient of both; the goal is at most 1.5.
func BenchmarkOverhead(b *testing.B) {
	c := qt.New(b)
	server := serve(c, standin.NewBackend(standin.BackendConfig{ID: "r1", Slots: 64}).Handler())
	stage := "http://" + server + backend.PathStage + string(pipeline.StageRetrieve)
	input := `{"text":"` + strings.Repeat("lot 4711 ", 60) + `"}`
	body := `{"organisation":"acme","pipeline":"notes","kind":"note","class":"normal","input":` + input + `}`
	paths := []struct{ url, body string }{
		{stage, body},
		{"http://" + serve(c, bareRelay(stage)), body},
		{"http://" + serve(c, relayHandler(server)) + "/v1/organisations/acme/pipelines/notes/kinds/note", input},
	}
	used := make([]time.Duration, len(paths))
	batch := max(1, b.N/relayRounds)
	client := &http.Client{Transport: backend.NewTransport()}
	for range relayRounds {
		for i, path := range paths {
			start := processorTime(c)
			for range batch {
				post(c, client, path.url, path.body)
			}
			used[i] += processorTime(c) - start
		}
	}
	perRequest := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(batch*relayRounds) }
	b.ReportMetric(perRequest(used[0]), "us_direct")
	b.ReportMetric(perRequest(used[1]), "us_relay")
	b.ReportMetric(perRequest(used[2]), "us_entry")
	b.ReportMetric(float64(used[2]-used[0])/float64(used[1]-used[0]), "added_ratio")
	b.ReportMetric(float64(used[2])/float64(used[1]), "total_ratio")
}

// bareRelay forwards bodies both ways and nothing else.
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

// relayHandler is the request path of an entry instance with one stage.
func relayHandler(server string) http.Handler {
	servers := &Servers{}
	servers.Update([]platform.Member{{ID: "r1", Role: platform.RoleBackend, Address: server, Pool: "shelf", State: platform.StateLive}})
	set := &pipeline.Set{
		Deployment: pipeline.Deployment{Organisations: []pipeline.Organisation{{Name: "acme"}}},
		Pipelines: []pipeline.Pipeline{{
			Name:   "notes",
			Stages: []pipeline.Stage{{Name: "fetch", Type: pipeline.StageRetrieve, Pool: "shelf"}},
			Kinds:  []pipeline.Kind{{Name: "note", Repeat: pipeline.RepeatIdempotent, Class: pipeline.ClassNormal, MaxWaitMS: 10000}},
		}},
	}
	executor := NewExecutor(newCaller(), servers, time.Now)
	return (&Handler{Configuration: fixedConfiguration{set}, Executor: executor, Now: time.Now}).Router()
}

type fixedConfiguration struct{ set *pipeline.Set }

func (f fixedConfiguration) Current() *pipeline.Set { return f.set }

func post(c *qt.C, client *http.Client, url, body string) {
	response, err := client.Post(url, "application/json", bytes.NewReader([]byte(body)))
	c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// processorTime returns the user and system time of this process.
func processorTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
