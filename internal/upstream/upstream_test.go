package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// serveConns listens on the loopback interface and calls handle with each connection and
// its number.
func serveConns(c *qt.C, handle func(n int, conn net.Conn, r *bufio.Reader)) Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return Server{ID: "s", Address: listener.Addr().String(), MaxConnections: 4}
}

func readRequestID(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id")
}

func writeAnswer(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: "GET", Target: "/p", Host: "h", Header: http.Header{"Id": {id}},
		Belongs: func(h http.Header) bool { return h.Get("Id") == id }}
}

func newClient() *Client { return NewClient(nil, tally.NoopScope) }

func sendAndRead(c *qt.C, client *Client, server Server, id string) string {
	answer, err := client.Send(context.Background(), server, newRequest(id))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// Guards against a new connection for each request.
func TestConnectionsAreReused(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			writeAnswer(conn, id, fmt.Sprint(n))
		}
	})
	client := newClient()
	for range 3 {
		c.Assert(sendAndRead(c, client, server, "a"), qt.Equals, "0")
	}
}

// Guards against a new connection after each refusal, whose short text no one reads, and
// against waiting for the rest of an answer that does not come.
func TestShortUnreadAnswersKeepTheConnection(t *testing.T) {
	c := qt.New(t)
	var full atomic.Bool
	full.Store(true)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			body := fmt.Sprint("busy ", n)
			if !full.Load() {
				body = body[:2]
			}
			fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 6\r\n\r\n%s", id, body)
		}
	})
	client := newClient()
	for range 3 {
		answer, err := client.Send(context.Background(), server, newRequest("a"))
		c.Assert(err, qt.IsNil)
		answer.Close()
	}
	c.Assert(sendAndRead(c, client, server, "b"), qt.Equals, "busy 0")
	full.Store(false)
	answer, err := client.Send(context.Background(), server, newRequest("c"))
	c.Assert(err, qt.IsNil)
	answer.Close()
	full.Store(true)
	c.Assert(sendAndRead(c, client, server, "d"), qt.Equals, "busy 1")
}

// Guards against a second answer to a request that is taken for the answer to the next
// request.
func TestAnswersOfOtherRequestsAreDropped(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		if id := readRequestID(r); n == 0 {
			writeAnswer(conn, "other", "wrong")
			writeAnswer(conn, id, "right")
		} else {
			writeAnswer(conn, id, "new connection")
		}
	})
	client := newClient()
	c.Assert(sendAndRead(c, client, server, "a"), qt.Equals, "right")
	c.Assert(sendAndRead(c, client, server, "b"), qt.Equals, "new connection")
}

// Guards against the reuse of a connection on which the server sent an extra answer.
func TestConnectionsWithUnreadBytesAreNotReused(t *testing.T) {
	c := qt.New(t)
	sent := make(chan struct{}, 2)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		writeAnswer(conn, id, fmt.Sprint(n))
		time.Sleep(10 * time.Millisecond)
		writeAnswer(conn, id, "again")
		sent <- struct{}{}
		readRequestID(r)
	})
	client := newClient()
	c.Assert(sendAndRead(c, client, server, "a"), qt.Equals, "0")
	<-sent
	c.Assert(sendAndRead(c, client, server, "a"), qt.Equals, "1")
}

// Guards against a truncated answer that is passed on as complete.
func TestTruncatedAnswersAreIncomplete(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", readRequestID(r))
	})
	answer, err := newClient().Send(context.Background(), server, newRequest("a"))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	_, err = io.ReadAll(answer.Body)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// Guards against an answer without a length that is passed on as complete after a reset
// of the connection.
func TestResetAnswersWithoutLengthAreIncomplete(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nhalf", readRequestID(r))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	answer, err := newClient().Send(context.Background(), server, newRequest("a"))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	_, err = io.ReadAll(answer.Body)
	c.Assert(err, qt.Not(qt.IsNil))
}

// Guards against the retry of a request that may have run, and against a request that
// fails although no byte of it was sent.
func TestErrorsDistinguishRequestsThatWereNotSent(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, _ net.Conn, r *bufio.Reader) { readRequestID(r) })
	_, err := newClient().Send(context.Background(), server, newRequest("a"))
	c.Assert(err, qt.ErrorIs, ErrMayHaveRun)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	_, err = newClient().Send(context.Background(), Server{ID: "x", Address: listener.Addr().String()}, newRequest("a"))
	c.Assert(err, qt.ErrorIs, ErrNotSent)
}

// Guards against more connections to a server than its limit for this instance.
func TestConnectionsToAServerAreLimited(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			writeAnswer(conn, id, "")
		}
	})
	server.MaxConnections = 1
	client := newClient()
	answer, err := client.Send(context.Background(), server, newRequest("a"))
	c.Assert(err, qt.IsNil)
	_, err = client.Send(context.Background(), server, newRequest("b"))
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	answer.Close()
	next, err := client.Send(context.Background(), server, newRequest("b"))
	c.Assert(err, qt.IsNil)
	next.Close()
}

// Guards against a request that continues on the server after its client has left.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan error, 1)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, server, newRequest("a"))
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(errors.Is(<-closed, io.EOF), qt.IsTrue)
}

// Guards against another request on a connection on which the server answered early, so
// that the rest of a long body is still being written.
func TestEarlyAnswersCloseTheirConnection(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		if n == 0 {
			_, _ = r.ReadString('\n')
			writeAnswer(conn, "a", "early")
			time.Sleep(time.Second)
			return
		}
		writeAnswer(conn, readRequestID(r), "second")
	})
	client := newClient()
	request := newRequest("a")
	request.Method, request.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	answer, err := client.Send(context.Background(), server, request)
	c.Assert(err, qt.IsNil)
	_, _ = io.ReadAll(answer.Body)
	answer.Close()
	c.Assert(sendAndRead(c, client, server, "b"), qt.Equals, "second")
}

// Guards against memory and time that grow without bound when a faulty server sends bytes
// without end in place of an answer.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	for name, answer := range map[string]struct{ start, repeated string }{
		"status line":      {"HTTP/1.1 200 ", "x"},
		"no answer":        {"", "\x00\xff"},
		"empty lines":      {"", "\r\n"},
		"header line":      {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"answers of other": {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"chunk extension":  {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":          {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			sent := make(chan int, 1)
			server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequestID(r)
				sent <- writeWithoutEnd(conn, answer.start, answer.repeated)
			})
			received, err := newClient().Send(context.Background(), server, newRequest("a"))
			if err == nil {
				_, err = io.Copy(io.Discard, received.Body)
				received.Close()
			}
			c.Assert(err, qt.IsNotNil)
			// What the client did not read is in the buffers of the connection.
			const socketBufferBytes = 16 << 20
			c.Assert(<-sent < socketBufferBytes, qt.IsTrue)
		})
	}
}

// writeWithoutEnd writes until the client closes the connection, and returns the number of
// bytes. It gives up at a size that no client should read.
func writeWithoutEnd(conn net.Conn, start, repeated string) (sent int) {
	const unboundedBytes = 256 << 20
	data := []byte(start)
	for sent < unboundedBytes {
		n, err := conn.Write(data)
		sent += n
		if err != nil {
			break
		}
		data = bytes.Repeat([]byte(repeated), 1+(64<<10)/len(repeated))
	}
	return sent
}

// Guards against an endless body that is read on after its reader has stopped, and against
// the reuse of its connection.
func TestBodyWithoutEndEndsWithItsReader(t *testing.T) {
	c := qt.New(t)
	sent := make(chan int, 1)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		if n > 0 {
			writeAnswer(conn, id, "new connection")
			return
		}
		sent <- writeWithoutEnd(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x")
	})
	client := newClient()
	answer, err := client.Send(context.Background(), server, newRequest("a"))
	c.Assert(err, qt.IsNil)
	_, err = io.CopyN(io.Discard, answer.Body, 1<<20)
	c.Assert(err, qt.IsNil)
	answer.Close()
	c.Assert(<-sent < 32<<20, qt.IsTrue)
	c.Assert(sendAndRead(c, client, server, "b"), qt.Equals, "new connection")
}

// Guards against a second send of a request on a connection that carried it before, where a
// late copy of the first answer would be taken for the second one; also at the limit of
// connections.
func TestRequestsThatAreSentAgainUseAnotherConnection(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		repeated := ""
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			if repeated != "" {
				writeAnswer(conn, id, repeated)
			}
			repeated = fmt.Sprint(n)
			writeAnswer(conn, id, repeated)
		}
	})
	for _, limit := range []int{1, 4} {
		server.MaxConnections = limit
		client := newClient()
		request := newRequest("a")
		request.Earlier = &Sends{}
		var connections []uint64
		for range 3 {
			answer, err := client.Send(context.Background(), server, request)
			c.Assert(err, qt.IsNil)
			_, err = io.ReadAll(answer.Body)
			c.Assert(err, qt.IsNil)
			answer.Close()
			connections = append(connections, answer.Connection)
		}
		c.Check(connections, qt.DeepEquals, []uint64{1, 2, 3})
		c.Check(client.OpenConnections(server.ID), qt.Equals, 1)
	}
}
