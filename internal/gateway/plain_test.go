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

	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Guards against a method, path, query, body or header that changes on the way, and
// against headers that concern one connection only.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.NonIdempotent)
	var seen recorder
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.add(strings.Join([]string{r.Method, r.RequestURI, r.Host, string(body), r.Header.Get("Other"), r.Header.Get("Drop"), r.Header.Get("Key"), r.Header.Get("Server")}, "|"))
		rw.Header().Set("Signature", "sig")
		rw.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(rw, "answer")
	})
	w.start()
	response, body, err := w.do("POST", "/p/%2F..//x?q=%20&q=+", "body", "Other", "o", "Connection", "Drop", "Drop", "d", "Key", "secret")
	c.Assert(err, qt.IsNil)
	c.Assert(seen.all(), qt.DeepEquals, []string{"POST|/p/%2F..//x?q=%20&q=+|h|body|o|||s0"})
	c.Assert(response.StatusCode, qt.Equals, http.StatusTeapot)
	c.Assert(response.Header.Get("Signature"), qt.Equals, "sig")
	c.Assert(body, qt.Equals, "answer")
}

// Guards against a request that runs twice although it may not, when its first send
// had no answer.
func TestNonIdempotentRequestsAreSentOnce(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.NonIdempotent)
	var seen recorder
	for range 2 {
		w.backend("x", func(rw http.ResponseWriter, r *http.Request) { seen.add(""); cut(rw, r) })
	}
	w.start()
	response, _, err := w.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
	c.Assert(seen.all(), qt.HasLen, 1)
}

// Guards against an idempotent request that fails with its first server.
func TestIdempotentRequestsAreRepeatedAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	var seen recorder
	for range 2 {
		w.backend("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Server")) == 1 {
				cut(rw, r)
			}
			_, _ = io.WriteString(rw, "second")
		})
	}
	w.start()
	_, body, err := w.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "second")
	c.Assert(seen.all(), qt.HasLen, 2)
	c.Assert(seen.all()[0], qt.Not(qt.Equals), seen.all()[1])
}

// Guards against more sends than the route allows, and against a refusal without a
// time to come back.
func TestRefusedRequestsAreToldWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.NonIdempotent)
	var seen recorder
	for range 4 {
		w.backend("x", func(rw http.ResponseWriter, _ *http.Request) {
			seen.add("")
			rw.Header().Set("Not-Run", "full")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
	}
	w.start()
	response, _, err := w.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "0.3")
	c.Assert(seen.all(), qt.HasLen, 2)
}

// Guards against a promise that a request has not run when a server that may have
// run it gives none.
func TestUnpromisedRefusalsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.NonIdempotent)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
	w.start()
	response, _, err := w.do("POST", "/p/", "b")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against a promise that a request has not run after a first send that may
// have run it, when the second server refuses or is not reached.
func TestRefusalsAfterASendThatMayHaveRunPromiseNothing(t *testing.T) {
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
		name  string
		world func(*qt.C) *world
		first http.HandlerFunc
	}{
		{"plain, cut off", func(c *qt.C) *world { return plain(c, route.Idempotent) }, cut},
		{"plain, failed", func(c *qt.C) *world { return plain(c, route.Idempotent) }, failing},
		{"plain, short answer", func(c *qt.C) *world { return plain(c, route.Idempotent) }, short},
		{"stream, cut off", func(c *qt.C) *world { return generating(c, true) }, cut},
		{"stream, failed", func(c *qt.C) *world { return generating(c, true) }, failing},
	} {
		for _, second := range []struct {
			name   string
			handle http.HandlerFunc
			sends  int
		}{{"refuses", refuse, 2}, {"is not there", nil, 1}} {
			t.Run(test.name+", "+second.name, func(t *testing.T) {
				c := qt.New(t)
				w := test.world(c)
				var seen recorder
				handle := func(rw http.ResponseWriter, r *http.Request) {
					if seen.add("") == 1 {
						test.first(rw, r)
						return
					}
					second.handle(rw, r)
				}
				w.backend("x", handle)
				if second.handle != nil {
					w.backend("x", handle)
				}
				w.start()
				response, _, err := w.do("GET", "/p/", "")
				c.Assert(err, qt.IsNil)
				c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
				c.Assert(response.Header.Get("Retry-After"), qt.Equals, "")
				c.Assert(seen.all(), qt.HasLen, second.sends)
			})
		}
	}
}

// Guards against refusals that no configuration calls for, and against requests
// that are let through without a key.
func TestAnswersOfTheGateway(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	w.config.Routes[0].Public = false
	w.config.Organisations = []route.Organisation{{Name: "o", Keys: []string{"k"}}}
	w.config.Limits = route.Limits{BodyBytes: 4, HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	w.backend("x", func(rw http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(rw, r.Header.Get("Organisation")) })
	w.start()
	for _, test := range []struct {
		target, key, body string
		status            int
	}{
		{"/p/", "k", "1234", 200}, {"/p/", "k", "12345", 413}, {"/p/", "other", "", 401}, {"/p/", "", "", 401}, {"/none/", "k", "", 404},
	} {
		response, body, err := w.do("POST", test.target, test.body, "Key", test.key)
		c.Assert(err, qt.IsNil)
		c.Check(response.StatusCode, qt.Equals, test.status, qt.Commentf("%v", test))
		if test.status == 200 {
			c.Check(body, qt.Equals, "o")
		}
	}
	response, _, err := w.do("GET", "/p/", "", "Long", strings.Repeat("x", 16<<10))
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	empty := &world{c: c}
	empty.start()
	response, _, err = empty.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(response.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
}

// Guards against a client that waits beyond its deadline or the route's timeout.
func TestDeadlinesEndRequests(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	w.backend("x", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	w.start()
	started := time.Now()
	response, _, err := w.do("GET", "/p/", "", "Wait", "100")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(time.Since(started) >= 100*time.Millisecond, qt.IsTrue)
}

// Guards against an answer that was cut short but looks whole to the client.
func TestShortAnswersAreNotPassedOnAsWhole(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.NonIdempotent)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(rw, "half")
	})
	w.start()
	response, _, err := w.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against work that goes on at a server after its client has left.
func TestLeavingClientsCancelTheirRequests(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	started, ended := make(chan struct{}), make(chan struct{})
	w.backend("x", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	w.start()
	ctx, leave := context.WithCancel(c.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", w.url+"/p/", nil)
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

// Guards against kept connections that are cut by a shutdown without an answer that
// says so.
func TestDrainingInstancesServeAndCloseTheirConnections(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "served") })
	w.start()
	w.drain.Begin(time.Now())
	response, body, err := w.do("GET", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "served")
	c.Assert(response.Close, qt.IsTrue)
}

// Guards against a shutdown that ends too early, too late, or takes requests that
// it would cut off.
func TestDrainTimes(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	d := NewDrain(8 * time.Second)
	c.Assert(d.Admits(true), qt.IsTrue)
	d.Begin(now.Add(-streamNotice))
	c.Assert(d.Admits(true), qt.IsFalse)
	c.Assert(d.Admits(false), qt.IsTrue)
	began := now.Add(-streamNotice)
	c.Assert(d.done(began.Add(balancerNotice-1), 0), qt.IsFalse)
	c.Assert(d.done(began.Add(balancerNotice), 0), qt.IsTrue)
	c.Assert(d.done(began.Add(balancerNotice), 1), qt.IsFalse)
	d.open.Add(1)
	c.Assert(d.done(began.Add(balancerNotice), 0), qt.IsFalse)
	c.Assert(d.done(began.Add(keptConnections), 0), qt.IsTrue)
	c.Assert(d.done(began.Add(8*time.Second-exitMargin), 1), qt.IsTrue)
}

// Guards against bodies that together take more memory than the instance has, and
// against memory that is not given back.
func TestBodiesAreBounded(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	w.backend("x", func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "served") })
	w.start()
	c.Assert(w.gateway.bodies.room.TryAcquire(maxBodies-3), qt.IsTrue)
	response, _, err := w.do("POST", "/p/", "1234")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	for range 3 {
		_, body, err := w.do("POST", "/p/", "123")
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "served")
	}
	eventually(c, func() bool { return w.gateway.bodies.room.TryAcquire(3) })
}

// Guards against a second request that is hidden in the body of the first one, where
// the length and the transfer encoding disagree, and against headers that never end.
func TestHiddenRequestsAreNotRun(t *testing.T) {
	c := qt.New(t)
	w := plain(c, route.Idempotent)
	w.config.Limits = route.Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second, HeaderBytes: 16 << 10, BodyBytes: 1 << 20}
	var seen recorder
	w.backend("x", func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen.add(r.RequestURI + " " + string(body))
	})
	w.start()
	send := func(text string) string {
		conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
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

// Guards against an organisation whose priority yields to that of a route.
func TestOrganisationsRankBeforeRoutes(t *testing.T) {
	c := qt.New(t)
	first, second := &route.Organisation{Priority: 0, HasPriority: true}, &route.Organisation{Priority: 1, HasPriority: true}
	c.Assert(rank(first, &route.Route{Priority: 7}) < rank(second, &route.Route{Priority: 0}), qt.IsTrue)
	c.Assert(rank(second, &route.Route{Priority: 0}) < rank(second, &route.Route{Priority: 1}), qt.IsTrue)
	c.Assert(rank(&route.Organisation{}, &route.Route{Priority: 2}), qt.Equals, 2)
}
