package experiment

import (
	"bytes"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

var (
	virtualName  = flag.String("virtual", "head-of-line", "experiment that TestInVirtualTime runs")
	virtualSeeds = flag.Uint64("virtual-seeds", 1, "number of seeds of TestInVirtualTime")
)

// inProcessNetwork replaces connections by function calls, so that time can be virtual.
type inProcessNetwork struct {
	mu       sync.Mutex
	handlers []http.Handler
}

func (n *inProcessNetwork) serve(handler http.Handler) (address string, stop func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers = append(n.handlers, handler)
	return strconv.Itoa(len(n.handlers) - 1), func() {}
}

func (n *inProcessNetwork) transport() http.RoundTripper { return n }

// RoundTrip calls the handler of the address and returns its whole response.
func (n *inProcessNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	number, err := strconv.Atoi(r.URL.Host)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	handler := n.handlers[number]
	n.mu.Unlock()
	recorder := httptest.NewRecorder()
	request := r.Clone(r.Context())
	request.RequestURI = r.URL.RequestURI()
	if request.Body == nil {
		request.Body = http.NoBody
	}
	handler.ServeHTTP(recorder, request)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	response := recorder.Result()
	response.ContentLength = int64(recorder.Body.Len())
	response.Body = io.NopCloser(bytes.NewReader(recorder.Body.Bytes()))
	return response, nil
}

// Guards against decisions under which requests miss their deadlines although the load
// is within the capacity. Virtual time excludes the noise of the machine. The figures
// are logged, so that a changed decision can be compared.
func TestInVirtualTime(t *testing.T) {
	original := fleetNetwork
	defer func() { fleetNetwork = original }()
	for _, policy := range []string{PolicyColtsfootdrift, PolicyLeastRequests} {
		for seed := range *virtualSeeds {
			synctest.Test(t, func(t *testing.T) {
				fleetNetwork = &inProcessNetwork{}
				figures, err := scenarios[*virtualName].trial(policy, seed+1)
				qt.Assert(t, err, qt.IsNil)
				t.Log(policy, seed+1, figures)
				if *virtualName == "head-of-line" {
					qt.Check(t, figures["in time"], qt.Equals, 1.0)
				}
			})
		}
	}
}
