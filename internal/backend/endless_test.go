package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

const (
	endlessAccountBytes = 256 << 10
	// unboundedBytes is far more than a caller should read.
	unboundedBytes = 64 << 20
)

// serveWithoutEnd answers with a start and then repeats a text until the caller closes the
// connection. It sends the number of bytes, and returns the server.
func serveWithoutEnd(c *qt.C, start, repeated string) (Server, <-chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	sent := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		total, data := 0, start
		for total < unboundedBytes {
			n, err := io.WriteString(conn, data)
			total += n
			if err != nil {
				break
			}
			data = strings.Repeat(repeated, 1+(16<<10)/len(repeated))
		}
		sent <- total
	}()
	return Server{ID: "s", Address: listener.Addr().String()}, sent
}

// Guards against an entry instance that runs out of memory because a faulty server sends an
// answer without end.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for _, v := range []struct{ name, start, repeated string }{
		{"head", ok, "a:\r\n"},
		{"JSON", ok + "Content-Type: application/json\r\n\r\n{\"attempt\":\"a1\",\"output\":\"", "a"},
		{"announced JSON", ok + "Content-Type: application/json\r\nContent-Length: 16000000\r\n\r\n{\"attempt\":\"a1\",\"output\":\"", "a"},
		{"event", ok + "Content-Type: text/event-stream\r\n\r\ndata: ", "a"},
		{"event of short lines", ok + "Content-Type: text/event-stream\r\n\r\n", "data: a\n"},
	} {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			server, sent := serveWithoutEnd(c, v.start, v.repeated)
			account := answermemory.NewAccount(endlessAccountBytes)
			request := StageRequest{Attempt: "a1", Type: "service", Input: []byte(`{}`), MaxAnswerBytes: 16 << 20, Timeout: time.Minute}
			stream, err := NewHTTPCaller(NewTransport(), account).Call(c.Context(), server, request)
			if err == nil {
				_, err = stream.Next()
				c.Check(stream.Close(), qt.IsNil)
			}
			c.Check(err, qt.IsNotNil)
			c.Check(DefinitelyNotRun(err), qt.IsFalse)
			c.Check(<-sent < unboundedBytes/4, qt.IsTrue)
			c.Check(account.Usage().Bytes, qt.Equals, int64(0))
		})
	}
}
