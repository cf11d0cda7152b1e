package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Guards against a method, path, query, body or header that is changed by the gateway,
// and against hop-by-hop headers that are forwarded.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	var seen recorder
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.add(strings.Join([]string{r.Method, r.RequestURI, r.Host, string(body), r.Header.Get("Other"), r.Header.Get("Drop"), r.Header.Get("Key"), r.Header.Get("Server")}, "|"))
		rw.Header().Set("Signature", "sig")
		rw.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(rw, "answer")
	})
	f.start()
	response, body, err := f.do("POST", "/p/%2F..//x?q=%20&q=+", "body", "Other", "o", "Connection", "Drop", "Drop", "d", "Key", "secret")
	c.Assert(err, qt.IsNil)
	c.Assert(seen.all(), qt.DeepEquals, []string{"POST|/p/%2F..//x?q=%20&q=+|h|body|o|||s0"})
	c.Assert(response.StatusCode, qt.Equals, http.StatusTeapot)
	c.Assert(response.Header.Get("Signature"), qt.Equals, "sig")
	c.Assert(body, qt.Equals, "answer")
}

// Guards against a non-idempotent request that is sent again when its first send had no
// answer, and so may run twice.
func TestNonIdempotentRequestsAreSentOnce(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) { seen.add(""); abortConnection(rw, r) })
	}
	f.start()
	response, _, err := f.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(seen.all(), qt.HasLen, 1)
}

// Guards against an idempotent request that fails because its first server fails.
func TestIdempotentRequestsAreRetriedOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Server")) == 1 {
				abortConnection(rw, r)
			}
			_, _ = io.WriteString(rw, "second")
		})
	}
	f.start()
	_, body, err := f.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "second")
	c.Assert(seen.all(), qt.HasLen, 2)
	c.Assert(seen.all()[0], qt.Not(qt.Equals), seen.all()[1])
}

// Guards against more sends than the route allows, and against a refusal without
// Retry-After.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	var seen recorder
	for range 4 {
		f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
			seen.add("")
			rw.Header().Set("Not-Run", "full")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	f.start()
	response, _, err := f.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.3")
	c.Assert(seen.all(), qt.HasLen, 2)
}

// Guards against a status that means to clients that the request has not run, when the
// server that sent it may have run it and does not state otherwise.
func TestRefusalsThatMayHaveRunBecomeBadGateway(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
	f.start()
	response, _, err := f.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against an answer which states that a request has not run, when the first send
// may have run it and the second server refuses or is not reached.
func TestRequestsThatMayHaveRunAreNotRefused(t *testing.T) {
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Not-Run", "full")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	failing := func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) }
	short := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(rw, "half")
	}
	for _, test := range []struct {
		name       string
		newFixture func(*qt.C) *fixture
		first      http.HandlerFunc
	}{
		{"plain, cut off", func(c *qt.C) *fixture { return newPlainFixture(c, route.Idempotent) }, abortConnection},
		{"plain, failed", func(c *qt.C) *fixture { return newPlainFixture(c, route.Idempotent) }, failing},
		{"plain, short answer", func(c *qt.C) *fixture { return newPlainFixture(c, route.Idempotent) }, short},
		{"stream, cut off", func(c *qt.C) *fixture { return newEngineFixture(c, true) }, abortConnection},
		{"stream, failed", func(c *qt.C) *fixture { return newEngineFixture(c, true) }, failing},
	} {
		for _, second := range []struct {
			name   string
			handle http.HandlerFunc
			sends  int
		}{{"refuses", refuse, 2}, {"is not there", nil, 1}} {
			t.Run(test.name+", "+second.name, func(t *testing.T) {
				c := qt.New(t)
				f := test.newFixture(c)
				var seen recorder
				handle := func(rw http.ResponseWriter, r *http.Request) {
					if seen.add("") == 1 {
						test.first(rw, r)
						return
					}
					second.handle(rw, r)
				}
				f.addServer("x", handle)
				if second.handle != nil {
					f.addServer("x", handle)
				}
				f.start()
				response, _, err := f.do("GET", "/p/", "")
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
				c.Assert(response.Header.Get("Retry-After"), qt.Equals, "")
				c.Assert(seen.all(), qt.HasLen, second.sends)
			})
		}
	}
}

// Guards against requests that are refused although the configuration allows them, and
// against requests that are served without a valid key.
func TestLocalAnswers(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Routes[0].Public = false
	f.config.Organisations = []route.Organisation{{Name: "o", Keys: []string{"k"}}}
	f.config.Limits = route.Limits{BodyBytes: 4, HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, r.Header.Get("Organisation")) })
	f.start()
	for _, test := range []struct {
		target, key, body string
		status            int
	}{
		{"/p/", "k", "1234", 200}, {"/p/", "k", "12345", 413}, {"/p/", "other", "", 401}, {"/p/", "", "", 401}, {"/none/", "k", "", 404},
	} {
		response, body, err := f.do("POST", test.target, test.body, "Key", test.key)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%v", test))
		if test.status == 200 {
			c.Check(body, qt.Equals, "o")
		}
	}
	response, _, err := f.do("GET", "/p/", "", "Long", strings.Repeat("x", 16<<10))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	empty := &fixture{c: c}
	empty.start()
	response, _, err = empty.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against a client that waits beyond its deadline or the route's timeout.
func TestDeadlinesEndRequests(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.addServer("x", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f.start()
	started := time.Now()
	response, _, err := f.do("GET", "/p/", "", "Wait", "100")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(started) >= 100*time.Millisecond, qt.IsTrue)
}

// Guards against a truncated answer that looks complete to the client.
func TestTruncatedAnswersAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.NonIdempotent)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(rw, "half")
	})
	f.start()
	response, _, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against a success that is not the server's own answer and reaches the client.
func TestUnverifiedSuccessesAreNotPassedOn(t *testing.T) {
	for name, kind := range map[string]route.Kind{"retried": route.Idempotent, "not retried": route.NonIdempotent} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newPlainFixture(c, kind)
			var runs recorder
			for range 2 {
				f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
					if runs.add("") == 1 {
						rw.Header().Set("Unsigned", "1")
					}
					_, _ = io.WriteString(rw, "answer")
				})
			}
			f.start()
			response, body, err := f.do("POST", "/p/", "")
			c.Assert(err, qt.IsNil)
			if kind == route.Idempotent {
				c.Assert(body, qt.Equals, "answer")
				c.Assert(runs.all(), qt.HasLen, 2)
				return
			}
			c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
			c.Assert(runs.all(), qt.HasLen, 1)
		})
	}
}

// Guards against a server that continues to work on a request whose client has
// disconnected.
func TestDisconnectedClientsCancelTheirRequests(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	started, ended := make(chan struct{}), make(chan struct{})
	f.addServer("x", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	f.start()
	ctx, leave := context.WithCancel(c.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", f.url+"/p/", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "h"
	go func() {
		if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
			response.Body.Close()
		}
	}()
	<-started
	leave()
	<-ended
}

// Guards against keep-alive connections that a shutdown closes before an answer with
// "Connection: close" was sent on them.
func TestDrainingInstancesServeAndCloseTheirConnections(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "served") })
	f.start()
	f.drain.Begin(time.Now())
	response, body, err := f.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "served")
	c.Assert(response.Close, qt.IsTrue)
}

// Guards against a shutdown that ends too early or too late, or that admits requests
// which it would then cut off.
func TestDrainTimes(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := NewDrain(8 * time.Second)
	c.Assert(d.Admits(true, time.Minute, 0), qt.IsTrue)
	d.Begin(now.Add(-streamAdmitTime))
	c.Assert(d.Admits(true, time.Second, 0), qt.IsFalse)
	left := 8*time.Second - answerMargin - streamAdmitTime
	c.Assert(d.Admits(false, time.Second, 0), qt.IsTrue)
	c.Assert(d.Admits(false, left, 0), qt.IsFalse)
	c.Assert(d.Admits(false, left, time.Second), qt.IsTrue)
	c.Assert(d.Admits(false, left, left), qt.IsFalse)
	began := now.Add(-streamAdmitTime)
	c.Assert(d.done(began.Add(balancerDetectionTime-1), 0), qt.IsFalse)
	c.Assert(d.done(began.Add(balancerDetectionTime), 0), qt.IsTrue)
	c.Assert(d.done(began.Add(balancerDetectionTime), 1), qt.IsFalse)
	d.openConnections.Add(1)
	c.Assert(d.done(began.Add(balancerDetectionTime), 0), qt.IsFalse)
	c.Assert(d.done(began.Add(idleConnectionGrace), 0), qt.IsTrue)
	c.Assert(d.done(began.Add(8*time.Second-exitMargin), 1), qt.IsTrue)
}

// Guards against request bodies that together take more memory than the instance has,
// and against reserved memory that is not released.
func TestBodyMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "served") })
	f.start()
	// A body takes its length and a byte to find its end.
	c.Assert(f.gateway.door.Bodies().TryAcquire(testBodyBytes-4), qt.IsTrue)
	response, _, err := f.do("POST", "/p/", "1234")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	for range 3 {
		_, body, err := f.do("POST", "/p/", "123")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "served")
	}
	eventually(c, func() bool { return f.gateway.door.Bodies().TryAcquire(4) })
}

// Guards against request smuggling, where a second request is hidden in the body of the
// first one because its Content-Length and Transfer-Encoding disagree, and against
// headers that never end.
func TestSmuggledRequestsAreNotRun(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.config.Limits = route.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, HeaderBytes: 16 << 10, BodyBytes: 1 << 20}
	var seen recorder
	f.addServer("x", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.add(r.RequestURI + " " + string(body))
	})
	f.start()
	send := func(text string) string {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = io.WriteString(conn, text)
		c.Assert(err, qt.IsNil)
		answer, _ := io.ReadAll(conn)
		return string(answer)
	}
	hidden := "GET /p/hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	send(fmt.Sprintf("POST /p/first HTTP/1.1\r\nHost: h\r\nId: a\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden))
	c.Assert(seen.all(), qt.DeepEquals, []string{"/p/first " + hidden})
	c.Assert(send("POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n12345"), qt.Contains, "400 Bad Request")
	c.Assert(send("POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"), qt.Contains, "501")
	send("GET /p/ HTTP/1.1\r\nHost: h\r\nSlow: ")
	c.Assert(seen.all(), qt.HasLen, 1)
}

// Guards against a route priority that outweighs the priority of an organisation.
func TestOrganisationPriorityPrecedesRoutePriority(t *testing.T) {
	c := qt.New(t)
	first, second := &route.Organisation{Priority: 0, HasPriority: true}, &route.Organisation{Priority: 1, HasPriority: true}
	c.Assert(combinedPriority(first, &route.Route{Priority: 7}) < combinedPriority(second, &route.Route{Priority: 0}), qt.IsTrue)
	c.Assert(combinedPriority(second, &route.Route{Priority: 0}) < combinedPriority(second, &route.Route{Priority: 1}), qt.IsTrue)
	c.Assert(combinedPriority(&route.Organisation{}, &route.Route{Priority: 2}), qt.Equals, 2)
}

// Guards against a common retry budget that each instance divides by the number of instances
// that it knew first: after a start that is one.
func TestRetryBudgetsAreSharedAmongTheInstancesThatLive(t *testing.T) {
	c := qt.New(t)
	instances := 1
	s := &Servers{settings: settings.Gateway{RetrySlack: 100, RetryWindowSeconds: 10}, instanceCount: func() int { return instances }, budgets: map[string]*routing.RetryBudget{}}
	now := time.Now()
	budget := s.budget("x")
	instances = 8
	s.ShareBudgets()
	retries := 0
	for budget.Allow(now.Add(time.Hour)) {
		retries++
	}
	c.Assert(retries, qt.Equals, 5)
}

// Guards against a success that no backend server has answered: by default net/http answers
// "OPTIONS *" itself.
func TestRequestsForNoPathAreNotAnsweredWithSuccess(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Idempotent)
	f.addServer("x", func(http.ResponseWriter, *http.Request) {})
	f.start()
	request, err := http.NewRequest(http.MethodOptions, f.url, nil)
	c.Assert(err, qt.IsNil)
	request.Host, request.URL.Opaque = "h", "*"
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusNotFound)
}
