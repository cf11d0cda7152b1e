package doors

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

// Guards against bytes of a client that end the process, or whose memory is not given back.
func FuzzClientBytes(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\na:1\r\nb:1\r\n"))
	f.Add([]byte("\n\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		d := newTestDoor(memorybudget.Door{Connections: 2, HeadBytes: 16 << 10, BodyBytes: 16 << 10})
		server := d.NewPeerServer(http.NotFoundHandler())
		server.ConnState, server.ConnContext = ConnState, ConnContext
		raw, client := net.Pipe()
		conns := make(chan net.Conn, 1)
		conns <- raw
		ended := make(chan error)
		go func() { ended <- server.Serve(d.listener(&pipeListener{conns})) }()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(data) // returns once the server has read, so after the connection was admitted
		client.Close()
		for usage := d.Usage(); usage.Connections+int(usage.HeadBytes+usage.BodyBytes) > 0; usage = d.Usage() {
			runtime.Gosched()
		}
		close(conns)
		c.Assert(<-ended, qt.Equals, net.ErrClosed)
	})
}

// pipeListener accepts the connections of a channel.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.conns; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
