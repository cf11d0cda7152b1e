package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// fuzzAnswerTimeout is far above the time that any answer takes.
const fuzzAnswerTimeout = 10 * time.Second

// Guards against bytes of a backend server that end the process, block a request or are read
// without bound.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nclose-delimited"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { listener.Close() })
	answers := make(chan []byte, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = conn.Write(<-answers)
			_ = conn.Close()
		}
	}()
	client := NewClient(nil, tally.NoopScope)
	f.Fuzz(func(t *testing.T, data []byte) {
		answers <- data
		ctx, cancel := context.WithTimeout(t.Context(), fuzzAnswerTimeout)
		defer cancel()
		request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		answer, err := client.Send(ctx, Server{ID: "s", Address: listener.Addr().String()}, request)
		if err == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			answer.Close()
		}
		if ctx.Err() != nil {
			t.Fatal("the request did not end")
		}
		client.CloseIdle(time.Now().Add(time.Hour), func(string) bool { return false })
	})
}
