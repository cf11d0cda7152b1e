package store

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a write that net/http sends again on its own: after the server
// closed a reused connection without an answer, and after a redirect.
func TestWriteIsNeverSentTwice(t *testing.T) {
	for _, mode := range []string{"close", "redirect"} {
		t.Run(mode, func(t *testing.T) {
			c := qt.New(t)
			var writes atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					_, _ = io.WriteString(w, `{"key":"a/b","value":"eA==","version":7}`)
					return
				}
				writes.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				if mode == "redirect" {
					http.Redirect(w, r, "/v1/kv/other", http.StatusTemporaryRedirect)
					return
				}
				panic(http.ErrAbortHandler)
			}))
			c.Cleanup(server.Close)
			s := NewHTTP(server.Listener.Addr().String())
			calls := []func() error{
				func() error { _, err := s.CompareAndSwap(c.Context(), "a/b", 7, []byte("x"), 0); return err },
				func() error { return s.Delete(c.Context(), "a/b", 7) },
				func() error { _, err := s.GrantLease(c.Context(), time.Second); return err },
				func() error { return s.KeepAlive(c.Context(), 3) },
			}
			for i, call := range calls {
				entry, err := s.Get(c.Context(), "a/b")
				c.Assert(err, qt.IsNil)
				c.Assert(entry, qt.DeepEquals, Entry{Key: "a/b", Value: []byte("x"), Version: 7})
				c.Assert(call(), qt.ErrorIs, ErrUnknownOutcome)
				c.Assert(writes.Load(), qt.Equals, int64(i+1))
			}
		})
	}
}

// Guards against a refusal that is reported as a write that may have taken effect, and
// the reverse.
func TestStatusMapping(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusNotFound: ErrNotFound, http.StatusRequestEntityTooLarge: ErrTooLarge,
		http.StatusTooManyRequests: ErrUnavailable, http.StatusServiceUnavailable: ErrUnavailable,
		http.StatusBadGateway: ErrUnknownOutcome, http.StatusInternalServerError: ErrUnknownOutcome,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
			c.Cleanup(server.Close)
			_, err := NewHTTP(server.Listener.Addr().String()).CompareAndSwap(c.Context(), "k", 0, nil, 0)
			c.Assert(err, qt.ErrorIs, want)
		})
	}
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.URL.Path, qt.Equals, "/v1/kv/claim/3/7")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"current":12}`)
	}))
	c.Cleanup(server.Close)
	_, err := NewHTTP(server.Listener.Addr().String()).CompareAndSwap(c.Context(), "claim/3/7", 4, nil, 0)
	c.Assert(err, qt.DeepEquals, error(&ConflictError{Key: "claim/3/7", Current: 12}))
}

// Guards against a write to an unreachable store that is reported as possibly sent.
func TestDialFailureIsUnavailable(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(listener.Close(), qt.IsNil)
	_, err = NewHTTP(listener.Addr().String()).CompareAndSwap(c.Context(), "k", 0, nil, 0)
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
}

// Guards against an answer that lacks a part, and that is taken for an absent key, for the
// version of a key that does not exist, or for a lease.
func TestIncompleteAnswersAreErrors(t *testing.T) {
	calls := map[string]func(*testing.T, *HTTP) error{
		"get":   func(t *testing.T, s *HTTP) error { _, err := s.Get(t.Context(), "a"); return err },
		"list":  func(t *testing.T, s *HTTP) error { _, err := s.List(t.Context(), "a", "", 1); return err },
		"swap":  func(t *testing.T, s *HTTP) error { _, err := s.CompareAndSwap(t.Context(), "a", 7, nil, 0); return err },
		"grant": func(t *testing.T, s *HTTP) error { _, err := s.GrantLease(t.Context(), time.Second); return err },
	}
	for _, test := range []struct {
		call, body string
		want       error
	}{
		{"get", `{}`, ErrUnavailable},
		{"get", `{"key":"b","version":7}`, ErrUnavailable},
		{"list", `{"entries":[{"version":7}]}`, ErrUnavailable},
		{"list", `{"entries":[]}{"entries":[]}`, ErrUnavailable},
		{"swap", `{}`, ErrUnknownOutcome},
		{"swap", `{"version":8}8`, ErrUnknownOutcome},
		{"grant", `{}`, ErrUnknownOutcome},
	} {
		t.Run(test.call+test.body, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, test.body) }))
			c.Cleanup(server.Close)
			c.Assert(calls[test.call](t, NewHTTP(server.Listener.Addr().String())), qt.ErrorIs, test.want)
		})
	}
}
