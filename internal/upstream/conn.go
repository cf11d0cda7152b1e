package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// conn is one connection to a server.
type conn struct {
	server  string
	address string
	network net.Conn
	reader  *bufio.Reader
	reused  bool
	// expires is when the connection must not be used any more.
	expires time.Time
}

// readBuffer holds the header of an answer and most plain answers.
const readBuffer = 4 << 10

func newConn(network net.Conn, server Server) *conn {
	return &conn{server: server.ID, address: server.Address, network: network, reader: bufio.NewReaderSize(network, readBuffer)}
}

// usable reports whether the server has neither closed an idle connection nor
// sent anything on it.
func (k *conn) usable(now time.Time) bool {
	return now.Before(k.expires) && k.reader.Buffered() == 0 && quiet(k.network)
}

// quiet reports whether a connection is open and has nothing to read.
func quiet(network net.Conn) bool {
	system, ok := network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = failed == syscall.EAGAIN
		return true
	})
	return err == nil && silent
}

// idleUntil returns when an idle connection must be closed, by the header of its
// last answer.
func idleUntil(now time.Time, header http.Header) time.Time {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return now.Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
	return now.Add(defaultIdle)
}
