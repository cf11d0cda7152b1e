package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/route"
)

func sendEvents(rw http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: x\n\n", i)
	}
	_ = http.NewResponseController(rw).Flush()
}

func eventText(from, to int) string {
	var text strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", i)
	}
	return text.String()
}

// Guards against events that are held back until the stream ends.
func TestEventsArePassedOnAsTheyArrive(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	release := make(chan struct{})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		sendEvents(rw, 1, 1)
		<-release
		sendEvents(rw, 2, 2)
	})
	f.start()
	request, err := http.NewRequest("POST", f.url+"/p/", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "h"
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	c.Assert(err, qt.IsNil)
	c.Assert(line, qt.Equals, "id: 1\n")
	close(release)
	rest, err := io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
	c.Assert(line+string(rest), qt.Equals, eventText(1, 2))
}

// endless yields the same byte without end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against a stream with a line that never ends, which fills the memory.
func TestEndlessLinesOfStreamsAreCutOff(t *testing.T) {
	c := qt.New(t)
	source := &endless{}
	_, err := newEventReader(io.LimitReader(source, 64*maxEventBytes), nil).next()
	c.Assert(err, qt.ErrorIs, errEventTooLarge)
	c.Assert(source.read <= 2*maxEventBytes, qt.IsTrue, qt.Commentf("%d bytes were read", source.read))
}

// Guards against a stream that broke off but looks complete to the client, and against
// a stream that is resumed on another server although its route does not allow that.
func TestNonResumableStreamsAreNotResumed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			seen.add("")
			sendEvents(rw, 1, 2)
			abortConnection(rw, r)
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(body, qt.Equals, eventText(1, 2))
	c.Assert(seen.all(), qt.HasLen, 1)
}

// abortInThirdEvent sends two events and closes the connection inside the next one.
func abortInThirdEvent(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(rw, eventText(1, 2)+"id: 3")
	_ = http.NewResponseController(rw).Flush()
	abortConnection(rw, r)
}

// Guards against whole events that are lost because the next one breaks off before they
// are sent on.
func TestEventsBeforeABreakReachTheClient(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", abortInThirdEvent)
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(body, qt.Equals, eventText(1, 2))
}

// Guards against a stream that breaks off and looks complete to an HTTP/1.0 client, whose
// answer ends with its connection.
func TestBrokenStreamsResetHTTP10Clients(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		sendEvents(rw, 1, 2)
		if r.Header.Get("Prompt") == "broken" {
			abortConnection(rw, r)
		}
	})
	f.start()
	get := func(prompt string) (string, error) {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		fmt.Fprintf(conn, "POST /p/ HTTP/1.0\r\nHost: h\r\nId: a1\r\nPrompt: %s\r\n\r\n", prompt)
		answer, err := io.ReadAll(conn)
		return string(answer), err
	}
	whole, err := get("whole")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasSuffix(whole, "\r\n\r\n"+eventText(1, 2)), qt.IsTrue)
	_, err = get("broken")
	c.Assert(err, qt.ErrorIs, syscall.ECONNRESET)
}

// assertAborts serves a request with a writer and asserts that its answer is aborted.
func (f *fixture) assertAborts(writer http.ResponseWriter) {
	request := httptest.NewRequest("POST", "/p/", nil)
	request.Host = "h"
	request.Header.Set("Id", "a1")
	f.c.Assert(func() { f.gateway.ServeHTTP(writer, request) }, qt.PanicMatches, http.ErrAbortHandler.Error())
}

// stalledWriter blocks each flush until its write deadline, like a connection whose client
// does not read.
type stalledWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (s *stalledWriter) SetWriteDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *stalledWriter) FlushError() error {
	if s.deadline.IsZero() {
		select {}
	}
	time.Sleep(time.Until(s.deadline))
	return os.ErrDeadlineExceeded
}

// Guards against a broken stream that is held open by a client that does not read.
func TestAbortsDoNotWaitForClientsThatDoNotRead(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", abortInThirdEvent)
	f.start()
	f.assertAborts(&stalledWriter{ResponseRecorder: httptest.NewRecorder()})
}

// failingWriter accepts the head of an answer and then fails each write, like a
// connection that the client has reset.
type failingWriter struct {
	*httptest.ResponseRecorder
	headsWritten int
}

func (f *failingWriter) WriteHeader(int)           { f.headsWritten++ }
func (f *failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a second answer on a connection whose client disconnects after the
// head of a stream was written.
func TestFailedWritesAbortStreams(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 2) })
	f.start()
	writer := &failingWriter{ResponseRecorder: httptest.NewRecorder()}
	f.assertAborts(writer)
	c.Assert(writer.headsWritten, qt.Equals, 1)
}

// Guards against a resumed stream in which an event is missing, duplicated or, from the
// first server, incomplete.
func TestResumableStreamsResumeOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Last")) == 1 {
				sendEvents(rw, 1, 2)
				_, _ = io.WriteString(rw, "id: 3\nda")
				_ = http.NewResponseController(rw).Flush()
				abortConnection(rw, r)
			}
			sendEvents(rw, 3, 4)
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 4))
	c.Assert(seen.all(), qt.DeepEquals, []string{"", "2"})
}

// closeDelimitedAnswer answers with neither a length nor chunks, so that the end of the
// connection is the end of the answer.
func closeDelimitedAnswer(rw http.ResponseWriter, r *http.Request, body string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), body)
}

// chunkedAnswer answers in chunks, with the last chunk that marks a complete body.
func chunkedAnswer(rw http.ResponseWriter, _ *http.Request, body string) {
	_, _ = io.WriteString(rw, body)
	_ = http.NewResponseController(rw).Flush()
}

// Guards against a stream that its server broke off inside an event and that reaches the
// client as a complete answer, however the end of the server's answer is marked.
func TestStreamsThatEndInsideAnEventAreNotComplete(t *testing.T) {
	for framing, answer := range map[string]func(http.ResponseWriter, *http.Request, string){"close-delimited": closeDelimitedAnswer, "chunked": chunkedAnswer} {
		for _, unfinished := range []string{"id: 3", "id: 3\ndata: x\n", "id: 3\ndata: x"} {
			t.Run(fmt.Sprintf("%s/%q", framing, unfinished), func(t *testing.T) {
				c := qt.New(t)
				f := newEngineFixture(c, false)
				f.addServer("x", func(rw http.ResponseWriter, r *http.Request) { answer(rw, r, eventText(1, 2)+unfinished) })
				f.start()
				_, body, err := f.do("POST", "/p/", "")
				c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
				c.Assert(body, qt.Equals, eventText(1, 2))
			})
		}
	}
}

// Guards against a stream that is not the server's own answer and reaches the client.
func TestUnverifiedStreamsAreNotPassedOn(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Unsigned", "1")
		sendEvents(rw, 1, 2)
	})
	f.start()
	response, _, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against an answer to a resumed stream that is not the rest of it, and whose text
// reaches the client in the middle of its stream, or ends the stream as if it were complete.
func TestOnlyTheRestOfAStreamContinuesIt(t *testing.T) {
	for name, answer := range map[string]func(rw http.ResponseWriter){
		"text": func(rw http.ResponseWriter) {
			rw.Header().Set("Content-Type", "text/plain")
			_, _ = io.WriteString(rw, "the server is overloaded\n\n")
		},
		"no event":           func(http.ResponseWriter) {},
		"only a comment":     func(rw http.ResponseWriter) { _, _ = io.WriteString(rw, ": ping\n\n") },
		"starts again":       func(rw http.ResponseWriter) { sendEvents(rw, 1, 4) },
		"repeats the last":   func(rw http.ResponseWriter) { sendEvents(rw, 2, 4) },
		"events without IDs": func(rw http.ResponseWriter) { _, _ = io.WriteString(rw, "data: x\n\ndata: x\n\n") },
		"head in the body": func(rw http.ResponseWriter) {
			_, _ = io.WriteString(rw, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\nbusy\n\n")
		},
		"error after an event": func(rw http.ResponseWriter) {
			_, _ = io.WriteString(rw, eventText(3, 3)+"HTTP/1.1 500 Internal Server Error\r\n\r\n")
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newEngineFixture(c, true)
			var seen recorder
			for range 3 {
				f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
					rw.Header().Set("Content-Type", "text/event-stream")
					if seen.add("") == 1 {
						sendEvents(rw, 1, 2)
						abortConnection(rw, r)
					}
					answer(rw)
				})
			}
			f.start()
			_, body, err := f.do("POST", "/p/", "")
			c.Assert(err, qt.IsNotNil, qt.Commentf("%q looks complete", body))
			c.Assert(strings.HasPrefix(eventText(1, 3), body), qt.IsTrue, qt.Commentf("%q", body))
		})
	}
}

// Guards against an answer whose connection ends after its head, and that reaches the
// client as a complete stream without events.
func TestCloseDelimitedStreamWithoutEventsIsNotComplete(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) { closeDelimitedAnswer(rw, r, "") })
	f.start()
	response, _, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusBadGateway)
}

// Guards against a resumable stream that is not resumed after it ended inside an event,
// and against a close-delimited stream with whole events that is taken for a broken one.
func TestCloseDelimitedStreamsAreResumed(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, true)
	var seen recorder
	for range 2 {
		f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
			if seen.add(r.Header.Get("Last")) == 1 {
				closeDelimitedAnswer(rw, r, eventText(1, 2)+"id: 3\nda")
				return
			}
			closeDelimitedAnswer(rw, r, eventText(3, 4))
		})
	}
	f.start()
	_, body, err := f.do("POST", "/p/", "")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 4))
	c.Assert(seen.all(), qt.DeepEquals, []string{"", "2"})
}

// Guards against bytes of an event that are changed or lost, against events that are
// joined, and against an end inside an event that looks like the end of the stream.
func TestEventReader(t *testing.T) {
	c := qt.New(t)
	reader := newEventReader(strings.NewReader("id:1\r\ndata: a\r\n\r\n: comment\n\nid: 2\ndata: b"), nil)
	first, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(string(first.data), qt.Equals, "id:1\r\ndata: a\r\n\r\n")
	c.Assert(first.id, qt.Equals, "1")
	second, err := reader.next()
	c.Assert(err, qt.IsNil)
	c.Assert(second.id, qt.Equals, "")
	third, err := reader.next()
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	c.Assert(string(third.data), qt.Equals, "id: 2\ndata: b")
	for rest, want := range map[string]error{"": io.EOF, ": comment\n": io.EOF, ": comm": io.ErrUnexpectedEOF, "data: b\n": io.ErrUnexpectedEOF} {
		last, err := newEventReader(strings.NewReader(rest), nil).next()
		c.Assert(err, qt.Equals, want)
		c.Assert(string(last.data), qt.Equals, rest)
	}
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a request that blocks because the reader of the log is slow.
func TestLogLinesNeverBlock(t *testing.T) {
	c := qt.New(t)
	blocked := blockedWriter{make(chan struct{})}
	logWriter := NewLogWriter(blocked)
	for range 3 * maxQueuedLines {
		_, err := logWriter.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(logWriter.dropped.Load() > 0, qt.IsTrue)
	close(blocked.release)
	logWriter.Close()
}

// Guards against a shutdown that cuts off requests which wait for their stages, instead
// of refusing them so that their clients can retry.
func TestWaitingRequestsAreRefusedBeforeTheProcessEnds(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false, route.Stage{Service: "stage"})
	called := make(chan struct{}, 4)
	f.addServer("stage", func(_ http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		<-r.Context().Done()
	})
	f.addServer("x", func(rw http.ResponseWriter, _ *http.Request) { sendEvents(rw, 1, 1) })
	f.config.Services[1].StageProfile.CallTime = time.Second
	f.start()
	go func() {
		<-called
		f.drain.Begin(time.Now().Add(waitingMargin - 8*time.Second))
	}()
	response, body, err := f.do("POST", "/p/", "", "Counts", "1")
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(body, qt.Equals, "draining\n")
}

// Guards against a stream that is cut although its server is only slow, and against one
// that stays open beyond its deadline because its server sends a byte now and then.
func TestSlowAndStalledStreams(t *testing.T) {
	c := qt.New(t)
	f := newEngineFixture(c, false)
	f.config.Routes[0].Timeout = 1500 * time.Millisecond
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Prompt") == "slow" {
			for event := 1; event <= 4; event++ {
				time.Sleep(300 * time.Millisecond)
				sendEvents(rw, event, event)
			}
			return
		}
		for r.Context().Err() == nil {
			_, _ = io.WriteString(rw, ":")
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	f.start()
	_, body, err := f.do("POST", "/p/", "", "Prompt", "slow")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, eventText(1, 4))

	started := time.Now()
	response, _, err := f.do("POST", "/p/", "", "Prompt", "stalled")
	c.Assert(err != nil || response.StatusCode != http.StatusOK, qt.IsTrue)
	c.Assert(time.Since(started) < 2*f.config.Routes[0].Timeout, qt.IsTrue)
}

// Guards against a stream of a service without model servers that is held back until it
// ends, or that looks complete although it broke off inside an event.
func TestStreamsOfPlainServices(t *testing.T) {
	c := qt.New(t)
	f := newPlainFixture(c, route.Stream)
	received := make(chan struct{})
	f.addServer("x", func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Prompt") == "broken" {
			closeDelimitedAnswer(rw, r, eventText(1, 2)+"id: 3")
			return
		}
		sendEvents(rw, 1, 1)
		select {
		case <-received:
		case <-r.Context().Done():
		}
		sendEvents(rw, 2, 2)
	})
	f.start()
	request, err := http.NewRequest("POST", f.url+"/p/", nil)
	c.Assert(err, qt.IsNil)
	request.Host = "h"
	request.Header.Set("Wait", "1000")
	response, err := http.DefaultTransport.RoundTrip(request)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
	first := make([]byte, len(eventText(1, 1)))
	_, err = io.ReadFull(response.Body, first)
	c.Assert(err, qt.IsNil)
	close(received)
	rest, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first)+string(rest), qt.Equals, eventText(1, 2))

	_, body, err := f.do("POST", "/p/", "", "Prompt", "broken")
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Assert(body, qt.Equals, eventText(1, 2))
}
