// Package doors bounds what the clients of a listening address can make a process hold: its
// connections, and the memory of the heads and bodies that they send. When a bound is
// reached, the connections that hold the most for the longest are closed first.
package doors

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

const (
	// reportInterval is the least time between two log lines about closed connections.
	reportInterval = time.Second
	// candidates is how many connections are compared to find the one to close. All of them
	// would cost too much time for each new connection.
	candidates = 64
	// unreadTime is how long a client must not have read its answer before its connection
	// may be closed to make room, although its request was passed on.
	unreadTime = time.Second
	// minHoldTime is how long a request must have held memory before its connection may be
	// closed for another request. A burst of ordinary requests is refused instead, which
	// gives their clients a time to retry.
	minHoldTime = time.Second
	// largeHeadFactor is how many times the memory of a head another one must hold to give
	// it up at any age. Ordinary heads are of similar size, so that only heads with very many
	// fields are that much larger.
	largeHeadFactor = 8
	// roomTime bounds how long a request waits for the memory of a connection that was
	// closed for it.
	roomTime = 250 * time.Millisecond
)

// ErrNoRoom reports that the memory of a door is used up.
var ErrNoRoom = errors.New("memory of the door is used up")

// Door bounds the connections of one listening address and what their requests hold.
type Door struct {
	name         string
	limits       memorybudget.Door
	heads        *Memory
	bodies       *Memory
	logger       *slog.Logger
	closedCount  tally.Counter
	refusedCount tally.Counter

	mu         sync.Mutex
	conns      map[*Conn]struct{}
	shares     *memorybudget.Shares
	reportedAt time.Time
	unreported int64
}

// New returns a door without connections.
func New(name string, limits memorybudget.Door, logger *slog.Logger, scope tally.Scope) *Door {
	scope = scope.Tagged(map[string]string{"door": name})
	return &Door{
		name: name, limits: limits, heads: NewMemory(limits.HeadBytes), bodies: NewMemory(limits.BodyBytes), logger: logger,
		closedCount: scope.Counter("door_connections_closed"), refusedCount: scope.Counter("door_requests_refused"), conns: map[*Conn]struct{}{}, shares: memorybudget.NewShares(limits),
	}
}

// Enter counts a request that is to be passed on, on a connection that is then not closed to
// make room, until leave is called. It returns false when the door, the organisation or the
// service has no room for it. Conn may be nil.
func (d *Door) Enter(conn *Conn, purpose memorybudget.Purpose) (leave func(), ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.shares.Enter(purpose) {
		d.refusedCount.Inc(1)
		return nil, false
	}
	conn.Forward()
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.shares.Leave(purpose)
	}, true
}

// Bodies returns the memory for request bodies.
func (d *Door) Bodies() *Memory { return d.bodies }

// Usage is what the clients of a door hold.
type Usage struct {
	Connections int               `json:"connections"`
	HeadBytes   int64             `json:"head_bytes"`
	BodyBytes   int64             `json:"body_bytes"`
	Limits      memorybudget.Door `json:"limits"`
}

// Usage returns what the clients hold now.
func (d *Door) Usage() Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Usage{Connections: len(d.conns), HeadBytes: d.heads.Used(), BodyBytes: d.bodies.Used(), Limits: d.limits}
}

// Admit takes an accepted connection, and closes another one when there are too many. It
// returns nil after closing the new one, because none of the others may be closed.
func (d *Door) Admit(raw net.Conn) *Conn {
	c := &Conn{Conn: raw, door: d}
	c.since.set(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) >= d.limits.Connections && !d.closeWorst((*Conn).anything, nil, always) {
		raw.Close()
		d.recordClosed()
		return nil
	}
	d.conns[c] = struct{}{}
	return c
}

// closeWorst closes the connection that holds the most for the longest, of those for which
// held is above 0 and that may be closed by what they hold and their age in seconds. It
// returns false if there is none, or if it is self. It is called with the lock held.
func (d *Door) closeWorst(held func(*Conn) int64, self *Conn, mayClose func(size int64, age float64) bool) bool {
	now := time.Now()
	var worst, unread *Conn
	var worstScore, longestUnread float64
	seen := 0
	for c := range d.conns {
		if seen++; seen > candidates {
			break
		}
		age, size := c.age(now), held(c)
		if size == 0 {
			continue
		}
		if blocked := c.unreadFor(now); blocked > max(unreadTime.Seconds(), longestUnread) {
			unread, longestUnread = c, blocked
		}
		if c.forwarded.Load() {
			continue
		}
		if score := float64(size) * age; mayClose(size, age) && (worst == nil || score > worstScore) {
			worst, worstScore = c, score
		}
	}
	if worst == nil {
		worst = unread
	}
	if worst == nil || worst == self {
		return false
	}
	delete(d.conns, worst)
	worst.reset()
	d.recordClosed()
	return true
}

// recordClosed counts a connection that was closed to make room. It is called with the lock
// held.
func (d *Door) recordClosed() {
	d.closedCount.Inc(1)
	d.unreported++
	if now := time.Now(); now.Sub(d.reportedAt) >= reportInterval {
		events.DoorFull.Log(context.Background(), d.logger, slog.String("door", d.name), slog.Int64("closed", d.unreported), slog.Int("open", len(d.conns)))
		d.reportedAt, d.unreported = now, 0
	}
}

func always(int64, float64) bool { return true }

// heldLong reports whether a connection has held memory for so long that it may be closed.
func heldLong(_ int64, age float64) bool { return age >= minHoldTime.Seconds() }

// reserveHead reserves memory for n more bytes of a connection's head.
func (d *Door) reserveHead(c *Conn, n int64) error {
	own := c.head.Load() + n
	return d.reserve(c, d.heads, n, (*Conn).headBytes, func(size int64, age float64) bool {
		return heldLong(size, age) || size >= largeHeadFactor*own
	})
}

// reserveBody reserves memory for the body of a connection, which may be nil.
func (d *Door) reserveBody(c *Conn, n int64) error {
	return d.reserve(c, d.bodies, n, (*Conn).bodyBytes, heldLong)
}

// reserve reserves memory for a connection. When there is none, it closes the connection
// that holds the most of it for the longest, of those that may be closed, and waits for its
// memory. It closes none for a request that needs more than there is in all.
func (d *Door) reserve(c *Conn, memory *Memory, n int64, held func(*Conn) int64, mayClose func(int64, float64) bool) error {
	if memory.TryAcquire(n) {
		return nil
	}
	own := int64(0)
	if c != nil {
		own = held(c)
	}
	if own+n <= memory.size && d.makeRoom(held, c, mayClose) && memory.Acquire(n, roomTime) {
		return nil
	}
	d.refusedCount.Inc(1)
	return ErrNoRoom
}

// makeRoom is closeWorst without the lock held.
func (d *Door) makeRoom(held func(*Conn) int64, self *Conn, mayClose func(int64, float64) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closeWorst(held, self, mayClose)
}

func (d *Door) remove(c *Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

// ConnState follows the state of the connections of an http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && (state == http.StateActive || state == http.StateIdle) {
		c.setState(state)
	}
}

// listener returns a listener whose connections the door bounds.
func (d *Door) listener(l net.Listener) net.Listener { return &listener{l, d} }

type listener struct {
	net.Listener
	door *Door
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.door.Admit(raw); c != nil {
			return c, nil
		}
	}
}

// connKey is the key of the client's connection in the context of a request.
type connKey struct{}

// ConnContext is for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection that a request came on, nil if no door bounds it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// counter is a number of bytes that a connection holds of a Memory.
type counter struct{ atomic.Int64 }

// release gives the bytes back.
func (c *counter) release(m *Memory) { m.Release(c.Swap(0)) }
