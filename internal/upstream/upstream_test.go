package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
)

// serveConns handles each connection to a listener on loopback with a function.
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

func read(r *bufio.Reader) string {
	request, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("Id")
}

func reply(conn net.Conn, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(id string) *Request {
	return &Request{Method: "GET", Target: "/p", Host: "h", Header: http.Header{"Id": {id}},
		Belongs: func(h http.Header) bool { return h.Get("Id") == id }}
}

func newClient() *Client { return NewClient(tally.NoopScope) }

func exchangeOnce(c *qt.C, client *Client, server Server, id string) string {
	answer, err := client.Send(context.Background(), server, get(id))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	body, err := io.ReadAll(answer.Body)
	c.Assert(err, qt.IsNil)
	return string(body)
}

// Guards against a new connection for each request.
func TestConnectionsAreKept(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		for id := read(r); id != ""; id = read(r) {
			reply(conn, id, fmt.Sprint(n))
		}
	})
	client := newClient()
	for range 3 {
		c.Assert(exchangeOnce(c, client, server, "a"), qt.Equals, "0")
	}
}

// Guards against a second answer to one request that is taken for the answer to
// the next one.
func TestAnswersOfOtherRequestsAreDropped(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		if id := read(r); n == 0 {
			reply(conn, "other", "wrong")
			reply(conn, id, "right")
		} else {
			reply(conn, id, "new connection")
		}
	})
	client := newClient()
	c.Assert(exchangeOnce(c, client, server, "a"), qt.Equals, "right")
	c.Assert(exchangeOnce(c, client, server, "b"), qt.Equals, "new connection")
}

// Guards against an extra answer on a kept connection that the next request meets.
func TestConnectionsWithUnreadBytesAreNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	sent := make(chan struct{}, 2)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		id := read(r)
		reply(conn, id, fmt.Sprint(n))
		time.Sleep(10 * time.Millisecond)
		reply(conn, id, "again")
		sent <- struct{}{}
		read(r)
	})
	client := newClient()
	c.Assert(exchangeOnce(c, client, server, "a"), qt.Equals, "0")
	<-sent
	c.Assert(exchangeOnce(c, client, server, "a"), qt.Equals, "1")
}

// Guards against an answer that was cut short but looks whole.
func TestShortAnswersAreNotWhole(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", read(r))
	})
	answer, err := newClient().Send(context.Background(), server, get("a"))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	_, err = io.ReadAll(answer.Body)
	c.Assert(err, qt.ErrorIs, io.ErrUnexpectedEOF)
}

// Guards against an answer without a length that was reset but looks whole.
func TestResetAnswersWithoutLengthAreNotWhole(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nhalf", read(r))
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	answer, err := newClient().Send(context.Background(), server, get("a"))
	c.Assert(err, qt.IsNil)
	defer answer.Close()
	_, err = io.ReadAll(answer.Body)
	c.Assert(err, qt.Not(qt.IsNil))
}

// Guards against a repeat of a request that may have run, and against one that is
// given up although no byte of it left.
func TestErrorsTellWhetherTheRequestMayHaveRun(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, _ net.Conn, r *bufio.Reader) { read(r) })
	_, err := newClient().Send(context.Background(), server, get("a"))
	c.Assert(err, qt.ErrorIs, ErrMayHaveRun)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener.Close()
	_, err = newClient().Send(context.Background(), Server{ID: "x", Address: listener.Addr().String()}, get("a"))
	c.Assert(err, qt.ErrorIs, ErrNotSent)
}

// Guards against more connections to a server than it takes from this instance.
func TestConnectionsToAServerAreBounded(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		reply(conn, read(r), "")
		read(r)
	})
	server.MaxConnections = 1
	client := newClient()
	answer, err := client.Send(context.Background(), server, get("a"))
	c.Assert(err, qt.IsNil)
	_, err = client.Send(context.Background(), server, get("b"))
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	answer.Close()
	next, err := client.Send(context.Background(), server, get("b"))
	c.Assert(err, qt.IsNil)
	next.Close()
}

// Guards against work that goes on at a server after its client has left.
func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	c := qt.New(t)
	closed := make(chan error, 1)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		read(r)
		_, err := r.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, server, get("a"))
	c.Assert(err, qt.ErrorIs, context.Canceled)
	c.Assert(errors.Is(<-closed, io.EOF), qt.IsTrue)
}

// Guards against an early answer after which the rest of a long body is followed
// by another request on the same connection.
func TestEarlyAnswersEndTheirConnection(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(n int, conn net.Conn, r *bufio.Reader) {
		if n == 0 {
			_, _ = r.ReadString('\n')
			reply(conn, "a", "early")
			time.Sleep(time.Second)
			return
		}
		reply(conn, read(r), "second")
	})
	client := newClient()
	request := get("a")
	request.Method, request.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	answer, err := client.Send(context.Background(), server, request)
	c.Assert(err, qt.IsNil)
	_, _ = io.ReadAll(answer.Body)
	answer.Close()
	c.Assert(exchangeOnce(c, client, server, "b"), qt.Equals, "second")
}
