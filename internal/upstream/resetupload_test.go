package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// uploadBytes is more than the buffers of a connection hold, so that its write is in progress
// until the server reads or closes.
const uploadBytes = 16 << 20

// answerAtOnce answers the requests on a connection before it has read their bodies, in a body
// without a length, and ends the connection.
func answerAtOnce(end func(conn *net.TCPConn, r *bufio.Reader)) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", request.Header.Get("Id"))
		end(conn.(*net.TCPConn), r)
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// sendUpload sends a long body and returns the answer before its own body is read.
func sendUpload(c *qt.C, server Server) *Answer {
	request := newRequest("a")
	request.Method, request.Body = http.MethodPost, make([]byte, uploadBytes)
	answer, err := newClient().Send(context.Background(), server, request)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Framing, qt.Equals, CloseDelimited)
	return answer
}

// Guards against a part of an answer that is taken for the whole: the server answers without a
// length, and resets the connection while the body of the request is being written, so that the
// write meets the reset before the read does.
func TestAnswersWhoseConnectionIsResetDuringAnUploadAreIncomplete(t *testing.T) {
	for name, writeFirst := range map[string]bool{"the write meets the reset": true, "write and read race for it": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			answered := make(chan struct{})
			server := serveConns(c, answerAtOnce(func(conn *net.TCPConn, _ *bufio.Reader) {
				<-answered
				reset(conn)
			}))
			for range 20 {
				answer := sendUpload(c, server)
				answered <- struct{}{}
				if writeFirst {
					<-answer.exchange.sent
				}
				body, err := io.ReadAll(answer.Body)
				c.Check(err, qt.IsNotNil, qt.Commentf("%q is taken for the whole answer", body))
				answer.Close()
			}
		})
	}
}

// Guards against a whole answer that is taken for a part, because the server closes the
// connection while the body of the request is being written: it stops to send, and then reads
// on, resets the connection, or does nothing more.
func TestAnswersThatEndDuringAnUploadAreComplete(t *testing.T) {
	for name, after := range map[string]func(conn *net.TCPConn, r *bufio.Reader){
		"reads on": func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) },
		"resets":   func(conn *net.TCPConn, _ *bufio.Reader) { reset(conn) },
		"waits":    func(*net.TCPConn, *bufio.Reader) {},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			begun, done := make(chan struct{}), make(chan struct{})
			server := serveConns(c, answerAtOnce(func(conn *net.TCPConn, r *bufio.Reader) {
				_ = conn.CloseWrite()
				<-begun
				after(conn, r)
				<-done
			}))
			for range 20 {
				answer := sendUpload(c, server)
				begun <- struct{}{}
				body, err := io.ReadAll(answer.Body)
				c.Check(err, qt.IsNil)
				c.Check(string(body), qt.Equals, "part")
				answer.Close()
				done <- struct{}{}
			}
		})
	}
}
