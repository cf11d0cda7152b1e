package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
)

// maxCrashes is the number of servers that may end under one part of a prompt.
const maxCrashes = 3

// crashingFleet is a fixture whose model servers end when they begin to answer a prompt with
// one of the bad parts. An ended server accepts no connections.
type crashingFleet struct {
	*fixture
	bad []string
	// crash sends what a server sends of its last answer.
	crash   func(rw http.ResponseWriter)
	crashes atomic.Int64
}

func (f *crashingFleet) addServers(n int) {
	for range n {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Id", r.Header.Get("Id"))
			parts := strings.Fields(r.Header.Get("Prompt"))
			if !slices.ContainsFunc(parts, func(part string) bool { return slices.Contains(f.bad, part) }) {
				sendEvents(rw, 1, 2)
				return
			}
			f.crashes.Add(1)
			server.Listener.Close()
			f.crash(rw)
			panic(http.ErrAbortHandler)
		}))
		f.c.Cleanup(server.CloseClientConnections)
		address := strings.TrimPrefix(server.URL, "http://")
		f.servers = append(f.servers, view.Server{ID: fmt.Sprint("s", len(f.servers)), Service: "x", Address: address, FailureDomain: "d", Slots: 4})
	}
}

func flush(rw http.ResponseWriter) { _ = http.NewResponseController(rw).Flush() }

// serve sends a request and returns its status, 0 for an answer that broke off.
func (f *crashingFleet) serve(prompt string) (status int, header http.Header) {
	response, _, err := f.do("POST", "/p/", "", "Prompt", prompt)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, response.Header
}

// Guards against requests with a part under which servers ended that go on to end others,
// and against sound requests that are refused because they share other parts with them.
func TestPartsThatCrashServersAreQuarantined(t *testing.T) {
	head := func(rw http.ResponseWriter) { flush(rw) }
	tests := map[string]struct {
		crash     func(http.ResponseWriter)
		bad       []string
		prompt    string
		resumable bool
	}{
		"after the head":         {crash: head, prompt: "route caller bad %d"},
		"before the head":        {crash: func(http.ResponseWriter) {}, prompt: "route caller bad %d"},
		"within the first event": {crash: func(rw http.ResponseWriter) { _, _ = io.WriteString(rw, "id: 1\nda"); flush(rw) }, prompt: "route caller bad %d"},
		"after the first event":  {crash: func(rw http.ResponseWriter) { sendEvents(rw, 1, 1) }, prompt: "route caller bad %d"},
		"part comes first":       {crash: head, prompt: "bad route caller %d"},
		"only shared part":       {crash: head, prompt: "bad %d"},
		"route may be resumed":   {crash: head, prompt: "route caller bad %d", resumable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := &crashingFleet{fixture: newEngineFixture(c, test.resumable), bad: []string{"bad"}, crash: test.crash}
			f.addServers(8)
			f.start()
			for i := range 12 {
				status, _ := f.serve(fmt.Sprintf("route caller topic sound-%d", i))
				c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("sound request %d", i))
				f.serve(fmt.Sprintf(test.prompt, i))
			}
			c.Assert(f.crashes.Load() <= maxCrashes, qt.IsTrue, qt.Commentf("%d servers ended", f.crashes.Load()))
			status, header := f.serve(fmt.Sprintf(test.prompt, 99))
			c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(header.Get("Retry-After"), qt.Not(qt.Equals), "")
		})
	}
}
