package doors

import (
	"io"
	"log/slog"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

func newTestDoor(limits memorybudget.Door) *Door {
	return New("test", limits, slog.New(slog.DiscardHandler), tally.NoopScope)
}

// admit returns an admitted connection that began some time ago, and the client's end.
func admit(c *qt.C, d *Door, age time.Duration) (*Conn, net.Conn) {
	server, client := net.Pipe()
	conn := d.Admit(server)
	c.Assert(conn, qt.IsNotNil)
	conn.since.set(time.Now().Add(-age))
	return conn, client
}

func isClosed(client net.Conn) bool {
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := client.Read(make([]byte, 1))
	return err == io.EOF
}

// Guards against closing a connection whose request was passed on, and against closing one
// that holds less than another.
func TestFullDoorClosesTheConnectionThatHoldsMostForLongest(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 3, HeadBytes: 1 << 20})
	forwarded, forwardedClient := admit(c, d, time.Hour)
	forwarded.Forward()
	_, idle := admit(c, d, time.Minute)
	_, young := admit(c, d, time.Second)
	_, newest := admit(c, d, 0)
	c.Assert(isClosed(idle), qt.IsTrue)
	c.Assert(isClosed(young) || isClosed(newest) || isClosed(forwardedClient), qt.IsFalse)
}

// Guards against a door that is full of requests in progress and accepts more.
func TestFullDoorRefusesWhenAllRequestsWerePassedOn(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 1})
	conn, client := admit(c, d, time.Hour)
	conn.Forward()
	server, refused := net.Pipe()
	c.Assert(d.Admit(server), qt.IsNil)
	c.Assert(isClosed(refused), qt.IsTrue)
	c.Assert(isClosed(client), qt.IsFalse)
}

// Guards against a head that is charged by its bytes on the wire only, and against memory
// that a closed connection keeps.
func TestHeadWithoutRoomIsRefused(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 2, HeadBytes: 2000})
	conn, client := admit(c, d, 0)
	go func() { _, _ = io.WriteString(client, strings.Repeat("a:1\n", 20)) }()
	answer := make(chan string)
	go func() {
		text, _ := io.ReadAll(client)
		answer <- string(text)
	}()
	buffer := make([]byte, 4096)
	_, err := conn.Read(buffer)
	c.Assert(err, qt.Equals, ErrNoRoom)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(<-answer, qt.Contains, "503 Service Unavailable")
	c.Assert(d.Usage(), qt.Equals, Usage{Limits: d.limits})
}

// Guards against bodies that take memory before they arrive, or keep it afterwards, and
// against a body that gets no memory although an older one holds it and does not go on.
func TestBodyTakesTheMemoryOfAnOlderOne(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 2, BodyBytes: 6 << 10})
	older, olderClient := admit(c, d, time.Minute)
	reader, writer := io.Pipe()
	go func() {
		_, _ = writer.Write(make([]byte, 4000))
		_, _ = olderClient.Read(make([]byte, 1))   // returns when the connection is closed
		writer.CloseWithError(io.ErrUnexpectedEOF) // as net/http does when the connection ends
	}()
	released := make(chan struct{})
	go func() {
		body, err := d.ReadBody(older, reader, 4050, -1)
		c.Check(err, qt.Equals, io.ErrUnexpectedEOF)
		body.Release()
		close(released)
	}()
	for d.bodies.Used() == 0 {
		time.Sleep(time.Millisecond)
	}
	newer, _ := admit(c, d, 0)
	body, err := d.ReadBody(newer, strings.NewReader(strings.Repeat("b", 3<<10)), 3<<10, -1)
	c.Assert(err, qt.IsNil)
	c.Assert(body.Bytes, qt.HasLen, 3<<10)
	body.Release()
	<-released
	c.Assert(d.bodies.Used(), qt.Equals, int64(0))
}

// Guards against new heads with very many fields that leave an ordinary request no room.
func TestLargeHeadGivesWayToASmallOne(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 2, HeadBytes: 5000})
	large, largeClient := admit(c, d, 0)
	go func() { _, _ = io.WriteString(largeClient, strings.Repeat("a:1\n", 45)) }()
	buffer := make([]byte, 4096)
	_, err := large.Read(buffer)
	c.Assert(err, qt.IsNil)
	go func() {
		_, _ = largeClient.Read(make([]byte, 1)) // returns when the connection is closed
		large.Close()                            // as net/http does then
	}()
	small, client := admit(c, d, 0)
	go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\nHost: h\n\n") }()
	_, err = small.Read(buffer)
	c.Assert(err, qt.IsNil)
	c.Assert(large.head.Load(), qt.Equals, int64(0))
}

// Guards against a single body of unknown length within the limits that is refused because its
// buffer grows beyond them.
func TestBodyOfUnknownLengthTakesNoMoreThanTheLimit(t *testing.T) {
	c := qt.New(t)
	const limit = 64 << 10
	d := newTestDoor(memorybudget.Door{Connections: 1, BodyBytes: 3*limit/2 + 1})
	body, err := d.ReadBody(nil, strings.NewReader(strings.Repeat("b", limit)), -1, limit)
	c.Assert(err, qt.IsNil)
	c.Assert(body.Bytes, qt.HasLen, limit)
	body.Release()
	c.Assert(d.bodies.Used(), qt.Equals, int64(0))
}

// Guards against an answer that is cut off for memory which its connection does not hold.
func TestUnreadAnswerWithoutTheMemoryIsNotCutOff(t *testing.T) {
	c := qt.New(t)
	d := newTestDoor(memorybudget.Door{Connections: 2, BodyBytes: 4 << 10})
	unread, client := admit(c, d, time.Minute)
	unread.Forward()
	unread.writing.set(time.Now().Add(-time.Minute))
	newer, _ := admit(c, d, 0)
	body, err := d.ReadBody(newer, strings.NewReader(strings.Repeat("b", 5<<10)), 5<<10, -1)
	c.Assert(err, qt.Equals, ErrNoRoom)
	body.Release()
	c.Assert(isClosed(client), qt.IsFalse)
}

// Guards against a request that needs more than the door has, and has connections of others
// closed before it is refused.
func TestBodyThatNeverFitsClosesNoOther(t *testing.T) {
	c := qt.New(t)
	const limit = 14 << 10 // a buffer of 8 KB fits, the next one of 16 KB does not
	d := newTestDoor(memorybudget.Door{Connections: 2, BodyBytes: limit})
	older, client := admit(c, d, time.Minute)
	held, err := d.ReadBody(older, strings.NewReader("b"), 1, -1)
	c.Assert(err, qt.IsNil)
	newer, _ := admit(c, d, 0)
	body, err := d.ReadBody(newer, strings.NewReader(strings.Repeat("b", limit)), -1, -1)
	c.Assert(err, qt.Equals, ErrNoRoom)
	body.Release()
	c.Assert(isClosed(client), qt.IsFalse)
	held.Release()
}

// Guards against a process without a limit of descriptors that accepts fewer connections than
// one with a limit.
func TestUnlimitedDescriptorsAreNotFew(t *testing.T) {
	c := qt.New(t)
	limited := memorybudget.NewPlan(memorybudget.Machine{Descriptors: usableDescriptors(20_000)})
	unlimited := memorybudget.NewPlan(memorybudget.Machine{Descriptors: usableDescriptors(math.MaxUint64)})
	c.Assert(unlimited.Clients.Connections >= limited.Clients.Connections, qt.IsTrue)
}

// Guards against ages and deadlines that change with the time of day: a write would fail at
// once, and a new connection would count as an old one.
func TestInstantsKeepTheirMonotonicTime(t *testing.T) {
	c := qt.New(t)
	var i instant
	c.Assert(i.get().IsZero(), qt.IsTrue)
	for _, at := range []time.Time{processStart, processStart.Add(-time.Hour), time.Now()} {
		i.set(at)
		c.Check(strings.Contains(i.get().String(), "m="), qt.IsTrue, qt.Commentf("%v has no monotonic reading", i.get()))
		c.Check(i.get().Sub(at).Abs() <= time.Nanosecond, qt.IsTrue)
	}
	i.set(time.Time{})
	c.Assert(i.get().IsZero(), qt.IsTrue)
}
