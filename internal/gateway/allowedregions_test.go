package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// answerWith answers every request with a text and records it.
func answerWith(seen *recorder, text string) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		seen.add(text)
		_, _ = io.WriteString(rw, text)
	}
}

// bindOrganisation makes the fixture's route need a key "k", whose organisation may be served
// in some regions only.
func (f *fixture) bindOrganisation(allowed ...string) {
	f.config.Routes[0].Public = false
	f.config.Organisations = []route.Organisation{{Name: "o", Keys: []string{"k"}, AllowedRegions: allowed}}
}

// Guards against plain requests that reach a server in a region which their route or their
// organisation does not allow, because it is the nearest one.
func TestPlainRequestsStayInAllowedRegions(t *testing.T) {
	for name, test := range map[string]struct {
		route, organisation []string
		want                string
	}{
		"unbound":      {nil, nil, "near"},
		"route":        {[]string{"q"}, nil, "far"},
		"organisation": {nil, []string{"q"}, "far"},
		"both":         {[]string{"r", "q"}, []string{"q", "z"}, "far"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newPlainFixture(c, route.Idempotent)
			f.bindOrganisation(test.organisation...)
			f.config.Routes[0].AllowedRegions = test.route
			var seen recorder
			f.addServer("x", answerWith(&seen, "near"))
			f.addServerIn("e", "x", answerWith(&seen, "far"))
			f.start()
			_, body, err := f.do("GET", "/p/", "", "Key", "k")
			c.Assert(err, qt.IsNil)
			c.Assert(body, qt.Equals, test.want)
			c.Assert(seen.all(), qt.HasLen, 1)
		})
	}
}

// Guards against a retry in a region that is not allowed, after the only allowed server
// failed.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Routes[0].AllowedRegions = []string{"q"}
	var seen recorder
	f.addServer("x", answerWith(&seen, "near"))
	f.addServerIn("e", "x", func(rw http.ResponseWriter, r *http.Request) { seen.add("far"); abortConnection(rw, r) })
	f.start()
	response, _, err := f.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(seen.all(), qt.DeepEquals, []string{"far"})
}

// Guards against requests that are served elsewhere, or wait, when no allowed region has a
// server or the two lists have no region in common.
func TestRequestsWithoutAllowedServerAreRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct{ route, organisation []string }{
		"no server":         {[]string{"q"}, nil},
		"nothing in common": {[]string{"r"}, []string{"q"}},
		"invalid list":      {[]string{regions.InvalidList}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newPlainFixture(c, route.Idempotent)
			f.bindOrganisation(test.organisation...)
			f.config.Routes[0].AllowedRegions = test.route
			var seen recorder
			f.addServer("x", answerWith(&seen, "near"))
			f.start()
			response, body, err := f.do("GET", "/p/", "", "Key", "k")
			c.Assert(err, qt.IsNil)
			c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			c.Assert(response.Header.Get("Retry-After"), qt.Equals, "1")
			c.Assert(body, qt.Equals, reasonNoAllowedServer+"\n")
			c.Assert(seen.all(), qt.HasLen, 0)
		})
	}
}

// Guards against each request waiting for the connection attempts to a region that cannot
// be reached, and against a region that is not tried again.
func TestUnreachedRegionIsSkippedForAWhile(t *testing.T) {
	c := qt.New(t)
	u := newUnreachedRegions()
	now := time.Unix(1000, 0)
	set := regions.Only([]string{"a", "b"})
	u.add(now, "a")
	c.Assert(u.remove(now, set).String(), qt.Equals, "b")
	c.Assert(u.remove(now.Add(unreachedRegionPause), set).String(), qt.Equals, "a,b")
}

// Guards against a retry by the configuration with which a request began after a newer one
// has taken the server's region from the list.
func TestRetriesFollowTheNewestRegions(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Routes[0].AllowedRegions = []string{"q"}
	f.config.Routes[0].MaxAttempts = 3
	var seen recorder
	for range 2 {
		f.addServerIn("e", "x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add("far") == 1 {
				f.config.Routes[0].AllowedRegions = []string{"r"}
				f.reconfigure()
			}
			abortConnection(rw, r)
		})
	}
	f.addServer("x", answerWith(&seen, "near"))
	f.start()
	response, _, err := f.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("the first send may have run"))
	c.Assert(seen.all(), qt.DeepEquals, []string{"far"})
	_, body, err := f.do("GET", "/p/", "", "Id", "a2")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "near")
}

// Guards against a refusal that asks a client to come back while all servers that it may be sent to
// are in a pause, because servers of another region take requests.
func TestRetryAfterIsThatOfAllowedServers(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Routes[0].AllowedRegions = []string{"q"}
	var seen recorder
	f.addServer("x", answerWith(&seen, "near"))
	f.addServerIn("e", "x", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Not-Run", "full")
		rw.Header().Set("Pause", "2s")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	f.start()
	for range 2 {
		response, _, err := f.do("GET", "/p/", "")
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Assert(seconds > 1.9 && seconds <= maxRetryAfter.Seconds(), qt.IsTrue, qt.Commentf("%v s", seconds))
	}
	c.Assert(seen.all(), qt.HasLen, 0)
}
