package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
)

// answerWith answers a request with a text, and waits for the end of the connection.
func answerWith(text string) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = io.WriteString(conn, text) // the caller may have closed the connection
		_, _ = r.ReadByte()
	}
}

// Guards against answers whose heads a faulty server sends without end, each within the limit of
// its bytes, and against a sound head that is refused.
func TestHeadsAreBounded(t *testing.T) {
	many := strings.Repeat("a:\r\n", maxHeadLines)
	for _, v := range []struct {
		answer string
		valid  bool
	}{
		{"HTTP/1.1 200 OK\r\n" + many + "\r\n", false},
		{"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", maxHeadBytes) + "\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\n" + many[:100*len("a:\r\n")] + "Content-Length: 0\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + strings.Repeat("\n", 4000), true}, // lines of a body
	} {
		c := qt.New(t)
		account := answermemory.NewAccount(1 << 20)
		client := NewClient(account, tally.NoopScope)
		answer, err := client.Send(c.Context(), serveConns(c, answerWith(v.answer)), &Request{Method: "GET", Target: "/", Host: "h"})
		c.Check(err == nil, qt.Equals, v.valid, qt.Commentf("%.40q: %v", v.answer, err))
		if err != nil {
			c.Check(err, qt.ErrorIs, ErrMayHaveRun)
			c.Check(err, qt.ErrorIs, errHeadTooLong)
		} else {
			c.Check(account.Usage().Bytes > 0, qt.IsTrue)
			answer.Close()
		}
		c.Check(account.Usage().Bytes, qt.Equals, int64(0))
	}
}

// Guards against a head whose bytes arrive one after the other without end, and that holds a
// request and its memory for as long as its client waits.
func TestTricklingHeadsEnd(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequestID(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nA: ")
		for {
			if _, err := io.WriteString(conn, "a"); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	_, err := newClient().Send(c.Context(), server, newRequest("1"))
	c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(err, qt.ErrorIs, ErrMayHaveRun)
}

// Guards against a slow body that is cut off by the time limit of its head, also when it
// follows on a connection that is used again.
func TestBodiesMayTakeLongerThanHeads(t *testing.T) {
	c := qt.New(t)
	server := serveConns(c, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			id := readRequestID(r)
			if id == "" {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\na")
			time.Sleep(headTimeout + 200*time.Millisecond)
			_, _ = io.WriteString(conn, "b")
		}
	})
	client := newClient()
	c.Assert(sendAndRead(c, client, server, "1"), qt.Equals, "ab")
	c.Assert(sendAndRead(c, client, server, "2"), qt.Equals, "ab")
}
