package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	jsonType  = "application/json"
	eventType = "text/event-stream"
)

// exchange calls a server that answers with a status, a content type and a body,
// and returns the answer and the error of the whole exchange.
func exchange(c *qt.C, status int, contentType, body string) (string, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		w.Header().Set("Location", "/elsewhere")
		if strings.HasSuffix(body, "<cut>") {
			w.Header().Set("Content-Length", "100000")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.TrimSuffix(body, "<cut>"))
	}))
	defer server.Close()
	caller := NewHTTPCaller(NewTransport(), nil)
	request := StageRequest{Attempt: "a1", Type: "service", Input: []byte(`{}`), MaxAnswerBytes: 20, Timeout: time.Minute}
	stream, err := caller.Call(c.Context(), Server{Address: server.Listener.Addr().String()}, request)
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var answer strings.Builder
	for {
		chunk, err := stream.Next()
		if err != nil {
			return answer.String(), err
		}
		answer.Write(chunk)
	}
}

func event(name, data string) string { return fmt.Sprintf("event: %s\ndata: %s\n\n", name, data) }

// Guards against an answer that is malformed, truncated, too large or of another
// attempt and is accepted as complete, and against an error that states wrongly
// whether the stage may have run.
func TestAnswers(t *testing.T) {
	c := qt.New(t)
	first := event(EventChunk, `{"attempt":"a1","offset":0,"data":"abc"}`)
	for _, test := range []struct {
		status            int
		contentType, body string
		answer            string
		err               error
		definitelyNotRun  bool
	}{
		{200, jsonType, `{"attempt":"a1","output":{"x":1}}`, `{"x":1}`, io.EOF, false},
		{200, jsonType, `{"attempt":"a1"}`, "", ErrBadAnswer, false},
		{200, jsonType, `{"attempt":"a1","output":`, "", ErrBadAnswer, false},
		{200, jsonType, `{"attempt":"a1","output":1}<cut>`, "", ErrBadAnswer, false},
		{200, jsonType, `{"attempt":"a1","output":1}{}`, "", ErrBadAnswer, false},
		{200, jsonType, `{"attempt":"a2","output":1}`, "", ErrWrongAttempt, false},
		{200, jsonType, `{"attempt":"a1","output":"` + strings.Repeat("x", 20) + `"}`, "", ErrBadAnswer, false},
		{200, jsonType, strings.Repeat("x", 10000), "", ErrBadAnswer, false},
		{200, "text/html", "<html>", "", ErrBadAnswer, false},
		{200, "", "", "", ErrBadAnswer, false},
		{200, eventType, first + event(EventEnd, `{"attempt":"a1","bytes":3}`), "abc", io.EOF, false},
		{200, eventType, first, "abc", ErrBrokenStream, false},
		{200, eventType, first + "<cut>", "abc", ErrBrokenStream, false},
		{200, eventType, first + "event: " + EventEnd + "\ndata: " + `{"attempt":"a1","bytes":3}` + "\n", "abc", ErrBrokenStream, false},
		{200, eventType, strings.TrimSuffix(first, "\n"), "", ErrBrokenStream, false},
		{200, eventType, first + event(EventEnd, `{"attempt":"a1","bytes":4}`), "abc", ErrBadAnswer, false},
		{200, eventType, first + event(EventEnd, `{"attempt":"a2","bytes":3}`), "abc", ErrWrongAttempt, false},
		{200, eventType, first + event(EventChunk, `{"attempt":"a2","offset":3,"data":"d"}`), "abc", ErrWrongAttempt, false},
		{200, eventType, first + first, "abc", ErrBadAnswer, false},
		{200, eventType, event(EventChunk, `{"attempt":"a1","data":"`+strings.Repeat("x", 21)+`"}`), "", ErrBadAnswer, false},
		{200, eventType, event(EventChunk, `{`), "", ErrBadAnswer, false},
		{200, eventType, event("other", `{}`), "", ErrBadAnswer, false},
		{307, jsonType, "", "", ErrMayHaveRun, false},
		{500, jsonType, "oops", "", ErrMayHaveRun, false},
		{503, jsonType, "", "", ErrMayHaveRun, false},
		{503, jsonType, `{"refused":false}`, "", ErrMayHaveRun, false},
		{503, jsonType, `{"refused":true}`, "", ErrRefused, true},
		{503, jsonType, `{"refused":true,"attempt":"a1"}`, "", ErrRefused, true},
		{503, jsonType, `{"refused":true,"attempt":"a2"}`, "", ErrWrongAttempt, false},
		{503, jsonType, `{"refused":true,"draining":true}`, "", ErrDraining, true},
		{429, jsonType, `{"refused":true}`, "", ErrRefused, true},
		{400, jsonType, `{"refused":true}`, "", ErrInvalid, true},
	} {
		answer, err := exchange(c, test.status, test.contentType, test.body)
		note := qt.Commentf("%d %s %.40q", test.status, test.contentType, test.body)
		c.Check(err, qt.ErrorIs, test.err, note)
		c.Check(DefinitelyNotRun(err), qt.Equals, test.definitelyNotRun, note)
		c.Check(answer, qt.Equals, test.answer, note)
		c.Check(errors.Is(err, ErrBadAnswer) && errors.Is(err, ErrBrokenStream), qt.Equals, errors.Is(test.err, ErrBrokenStream), note)
	}
}

// Guards against a refused connection that is reported as a call that may have run.
func TestConnectionRefusedIsNotSent(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(nil)
	address := server.Listener.Addr().String()
	server.Close()
	_, err := NewHTTPCaller(NewTransport(), nil).Call(c.Context(), Server{Address: address}, StageRequest{Timeout: time.Minute, Input: []byte("1")})
	c.Assert(err, qt.ErrorIs, ErrNotSent)
}

// serveRepeatedRefusals refuses the first call on each connection. It answers the next ones,
// and writes the refusal once more before each answer.
func serveRepeatedRefusals(listener net.Listener, refusal string) {
	refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", jsonType, len(refusal), refusal)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader, answer := bufio.NewReader(conn), ""
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, refusal+answer)
				body := `{"attempt":"a2","output":1}`
				answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", jsonType, len(body), body)
			}
		}()
	}
}

// Guards against a late second copy of a refusal that is taken for the refusal of the next
// attempt on the connection: it has run, and is run again elsewhere.
func TestRepeatedRefusalsRefuseNoOtherAttempt(t *testing.T) {
	for _, refusal := range []string{`{"refused":true}`, `{"refused":true,"attempt":"a1"}`} {
		t.Run(refusal, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer listener.Close()
			go serveRepeatedRefusals(listener, refusal)
			caller, server := NewHTTPCaller(NewTransport(), nil), Server{ID: "s", Address: listener.Addr().String()}
			request := StageRequest{Attempt: "a1", Type: "service", Input: []byte(`{}`), MaxAnswerBytes: 20, Timeout: time.Minute}
			_, err = caller.Call(c.Context(), server, request)
			c.Assert(err, qt.ErrorIs, ErrRefused)
			request.Attempt = "a2"
			_, err = caller.Call(c.Context(), server, request)
			c.Assert(err, qt.IsNotNil)
			c.Assert(DefinitelyNotRun(err), qt.IsFalse)
		})
	}
}

// Guards against refusals on a connection in use again that count as possibly run, although
// they name their attempt.
func TestRefusalsThatNameTheirAttemptCountOnKeptConnections(t *testing.T) {
	c := qt.New(t)
	addresses := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addresses[r.RemoteAddr] = true
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"refused":true,"attempt":%q}`, r.Header.Get(HeaderAttempt))
	}))
	defer server.Close()
	caller := NewHTTPCaller(NewTransport(), nil)
	for _, attempt := range []string{"a1", "a2"} {
		request := StageRequest{Attempt: attempt, Type: "service", Input: []byte(`{}`), Timeout: time.Minute}
		_, err := caller.Call(c.Context(), Server{Address: server.Listener.Addr().String()}, request)
		c.Assert(err, qt.ErrorIs, ErrRefused)
	}
	c.Assert(addresses, qt.HasLen, 1)
}
