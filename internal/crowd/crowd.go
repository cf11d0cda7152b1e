// Package crowd plays crowds of misbehaving clients for the tests of the daemons, and reads
// what the process under test takes. Crowds and their sizes are fixed.
package crowd

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// Size is the number of clients of a crowd.
	Size = 800
	// MemoryMB and MaxDescriptors are the machine of the process under test, and so the
	// bounds of what it may take.
	MemoryMB       = 48
	MaxDescriptors = 600
	// HeaderBytes and BodyBytes are the limits of a request.
	HeaderBytes   = 16 << 10
	BodyBytes     = 64 << 10
	requestsAhead = 1000
	// writeTimeout bounds the writes of a client whose process stopped reading.
	writeTimeout = 2 * time.Second
)

// Door is an address of a process and a path there. Fields are lines of the head.
type Door struct{ Name, Address, Host, Path, Fields string }

// Client plays one client on an open connection.
type Client func(conn net.Conn, d Door)

// head returns the head of a request without its last line.
func (d Door) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, d.Path, d.Host, d.Fields)
}

// BodyInOnePiece stops one byte before the end of a body of legal size.
func BodyInOnePiece(conn net.Conn, d Door) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.head("POST"), BodyBytes, strings.Repeat("b", BodyBytes-1))
}

// BodyInSmallPieces does so in pieces.
func BodyInSmallPieces(conn net.Conn, d Door) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", d.head("POST"), BodyBytes)
	piece := strings.Repeat("b", 1<<10)
	for range BodyBytes/len(piece) - 1 {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, piece[1:])
}

// ChunkedBody sends small chunks without the last one.
func ChunkedBody(conn net.Conn, d Door) {
	fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%s", d.head("POST"), strings.Repeat("1\r\nb\r\n", BodyBytes-1))
}

// HugeChunkedBody sends a body far over the limit in chunks.
func HugeChunkedBody(conn net.Conn, d Door) {
	chunk := "2000\r\n" + strings.Repeat("b", 0x2000) + "\r\n"
	fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%s", d.head("POST"), strings.Repeat(chunk, 64))
}

// HugeBody announces a body far over the limit and sends a part of it.
func HugeBody(conn net.Conn, d Door) {
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.head("POST"), 1<<30, strings.Repeat("b", 8*BodyBytes))
}

// ManyFields sends a head of legal size with very many short fields and no body.
func ManyFields(conn net.Conn, d Door) {
	fmt.Fprintf(conn, "%s%sContent-Length: 10\r\n\r\nb", d.head("POST"), shortFields(2400))
}

// UnfinishedHead stops before the end of such a head.
func UnfinishedHead(conn net.Conn, d Door) {
	_, _ = io.WriteString(conn, d.head("POST")+shortFields(2400))
}

// RequestsAhead sends many requests without reading the answers.
func RequestsAhead(conn net.Conn, d Door) {
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = io.WriteString(conn, strings.Repeat(d.head("GET")+"\r\n", requestsAhead))
}

// SlowHead sends a part of a head letter by letter.
func SlowHead(conn net.Conn, d Door) {
	for _, letter := range d.head("POST")[:20] {
		if _, err := fmt.Fprint(conn, string(letter)); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// shortFields returns header fields with names of their own, each six bytes long.
func shortFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ!#$%&'*+-.^_`|~"
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%c%c:1\r\n", letters[i/len(letters)], letters[i%len(letters)])
	}
	return text.String()
}

// WholeRequest sends an ordinary request and does not read the answer.
func WholeRequest(conn net.Conn, d Door) { _, _ = io.WriteString(conn, d.head("GET")+"\r\n") }

// Send plays a crowd and returns once each client has sent what it sends. The connections
// stay open until the returned function is called.
func Send(d Door, play Client) (leave func()) {
	conns := make([]net.Conn, Size)
	var sent sync.WaitGroup
	for i := range conns {
		sent.Go(func() {
			conn, err := net.DialTimeout("tcp", d.Address, writeTimeout)
			if err != nil {
				return
			}
			conns[i] = conn
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			play(conn, d)
		})
	}
	sent.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				conn.Close()
			}
		}
	}
}

// Taken is what a process takes of its machine.
type Taken struct {
	// PeakMB is the highest resident memory so far, rounded up.
	PeakMB      int
	Descriptors int
}

// Fits reports whether a process keeps within its machine.
func (t Taken) Fits() bool { return t.PeakMB <= MemoryMB && t.Descriptors <= MaxDescriptors }

// Measure returns what a process takes. It fails when the process has ended.
func Measure(pid int) (t Taken, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return t, err
	}
	_, after, _ := strings.Cut(string(data), "VmHWM:")
	var kb int
	if _, err := fmt.Sscanf(after, "%d kB", &kb); err != nil {
		return t, fmt.Errorf("process %d has no memory: %w", pid, err)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return Taken{PeakMB: (kb + 1023) >> 10, Descriptors: len(entries)}, err
}
