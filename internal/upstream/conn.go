package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/answermemory"
	"github.com/coltsfootdrift/coltsfootdrift/internal/tcpreset"
)

// conn is one connection to a backend server.
type conn struct {
	// number identifies the connection within its Client.
	number   uint64
	serverID string
	// incarnation and address are those of the server at the time of the dial.
	incarnation int64
	address     string
	netConn     net.Conn
	// stream is netConn for what is written and read.
	stream *tcpreset.Conn
	reader *bufio.Reader
	head   *headReader
	// reused is true when an earlier request was sent on the connection.
	reused bool
	// expires is the time from which the idle connection must not be used.
	expires time.Time
}

// readBufferBytes is enough for the header of an answer and for most plain answers.
const readBufferBytes = 4 << 10

func newConn(number uint64, netConn net.Conn, server Server) *conn {
	stream := tcpreset.New(netConn)
	head := &headReader{conn: stream}
	return &conn{number: number, serverID: server.ID, incarnation: server.Incarnation, address: server.Address, netConn: netConn, stream: stream, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}
}

// readHead reads the head of the next answer, to a request with a method. Its memory is reserved
// in a holding.
func (cn *conn) readHead(method string, memory *answermemory.Holding) (*http.Response, error) {
	buffered, _ := cn.reader.Peek(cn.reader.Buffered()) // does not read
	if err := cn.head.begin(memory, buffered); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return response, cn.head.finish(response)
}

// leadsTo reports whether the connection is to the process that a server is now.
func (cn *conn) leadsTo(server Server) bool {
	return cn.address == server.Address && cn.incarnation == server.Incarnation
}

// usable reports whether an idle connection has not expired, and the server has neither
// closed it nor sent anything on it.
func (cn *conn) usable(now time.Time) bool {
	return now.Before(cn.expires) && cn.reader.Buffered() == 0 && readWouldBlock(cn.netConn)
}

// readWouldBlock reports whether a connection is open and has nothing to read.
func readWouldBlock(netConn net.Conn) bool {
	sysConn, ok := netConn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errno == syscall.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}

// idleDeadline returns when an idle connection must be closed, according to the
// Keep-Alive header of its last answer.
func idleDeadline(now time.Time, header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return now.Add(time.Duration(seconds)*time.Second - idleTimeoutMargin)
		}
	}
	return now.Add(defaultIdleTimeout)
}
