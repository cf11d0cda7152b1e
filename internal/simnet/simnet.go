// Package simnet is a network inside one process: hosts with a limited link, connections
// with delays and a window, datagrams, and faults. It uses the clock of package time, so
// that a test in a bubble of testing/synctest runs it in virtual time.
package simnet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"
)

// Link describes the connection of a host to the network. It is the same in both
// directions.
type Link struct {
	// BytesPerSecond is the bandwidth.
	BytesPerSecond float64
	// Delay is the time that data takes in one direction, added to that of the other host.
	Delay time.Duration
}

// Network connects hosts. The zero value is empty and ready to use.
type Network struct {
	// Shared returns the bandwidth that data from one host to another shares with others,
	// such as that of a link between regions; nil when there is none.
	Shared func(from, to *Host) *Bandwidth

	mu    sync.Mutex
	hosts map[string]*Host
}

// Bandwidth is a resource that sends one byte after the other.
type Bandwidth struct {
	mu   sync.Mutex
	rate float64
	// busy holds the times in which bytes are sent, in order, without those that have passed.
	busy  []span
	total int64
}

// span is a time from a start until before an end.
type span struct{ start, end time.Time }

// NewBandwidth returns a resource with a rate in bytes per second.
func NewBandwidth(rate float64) *Bandwidth { return &Bandwidth{rate: rate} }

// SetRate changes the rate for bytes that are sent from now on.
func (b *Bandwidth) SetRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
}

// Total returns the number of bytes that were sent.
func (b *Bandwidth) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// send returns when n bytes that are ready at a time, now or later, have been sent. Bytes that
// are ready only later don't delay those that are ready before them.
func (b *Bandwidth) send(ready time.Time, n int) time.Time {
	if b == nil {
		return ready
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += int64(n)
	now := time.Now()
	b.busy = slices.DeleteFunc(b.busy, func(s span) bool { return s.end.Before(now) })
	took := time.Duration(float64(n) / b.rate * float64(time.Second))
	next := span{ready, ready.Add(took)}
	i := 0
	for ; i < len(b.busy) && b.busy[i].start.Before(next.end); i++ {
		if b.busy[i].end.After(next.start) {
			next = span{b.busy[i].end, b.busy[i].end.Add(took)}
		}
	}
	b.insert(i, next)
	return next.end
}

// insert adds a span before the one with index i, or extends the one before that.
func (b *Bandwidth) insert(i int, s span) {
	if i > 0 && b.busy[i-1].end.Equal(s.start) {
		b.busy[i-1].end = s.end
		return
	}
	b.busy = slices.Insert(b.busy, i, s)
}

// Host is one host of a network.
type Host struct {
	// Up and Down are the two directions of the host's link.
	Up, Down *Bandwidth

	network *Network
	ip      string
	delay   time.Duration

	mu sync.Mutex
	// cutIn and cutOut are true while nothing arrives at the host, and nothing leaves it.
	cutIn, cutOut bool
	// loss is the share of its packets in each direction that are lost.
	loss      float64
	listeners map[string]*listener
	packets   map[string]*PacketConn
	conns     map[*conn]bool
}

// errRefused reports a connection to a port on which nothing listens.
var errRefused = errors.New("simnet: connection refused")

// AddHost adds a host with an IP address.
func (n *Network) AddHost(ip string, link Link) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{
		Up: NewBandwidth(link.BytesPerSecond), Down: NewBandwidth(link.BytesPerSecond), network: n, ip: ip, delay: link.Delay,
		listeners: map[string]*listener{}, packets: map[string]*PacketConn{}, conns: map[*conn]bool{},
	}
	if n.hosts == nil {
		n.hosts = map[string]*Host{}
	}
	n.hosts[ip] = h
	return h
}

// IP returns the IP address of the host.
func (h *Host) IP() string { return h.ip }

func (n *Network) host(ip string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[ip]
}

// Close closes all connections, also silent ones.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		for _, c := range h.openConns() {
			c.Close()
		}
	}
}

// deliver returns when n bytes that one host sends now arrive at another one.
func (n *Network) deliver(from, to *Host, size int) time.Time {
	sent := from.Up.send(time.Now(), size)
	if n.Shared != nil {
		sent = n.Shared(from, to).send(sent, size)
	}
	return to.Down.send(sent.Add(from.delay+to.delay), size)
}

// Silence makes the open connections of a host silent for good: nothing that is sent on
// them arrives, and they are not reset. New ones work.
func (h *Host) Silence() {
	for _, c := range h.openConns() {
		c.silence()
	}
}

func (h *Host) openConns() []*conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Collect(maps.Keys(h.conns))
}

// SetCut cuts a host off, or connects it again. Open connections stay silent.
func (h *Host) SetCut(cut bool) { h.SetCutDirections(cut, cut) }

// SetCutDirections has nothing arrive at the host, or nothing leave it, or ends that. Open
// connections stay silent in the directions that were cut.
func (h *Host) SetCutDirections(in, out bool) {
	h.mu.Lock()
	h.cutIn, h.cutOut = in, out
	h.mu.Unlock()
	for _, c := range h.openConns() {
		if in {
			c.incoming.silence()
		}
		if out {
			c.outgoing.silence()
		}
	}
}

// SetLoss has a share of the packets that the host sends or receives lost.
func (h *Host) SetLoss(share float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loss = share
}

// reaches reports whether what one host sends arrives at another one, but for lost packets.
func (h *Host) reaches(to *Host) bool { return to != nil && !h.isCut(true) && !to.isCut(false) }

func (h *Host) isCut(outgoing bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return outgoing && h.cutOut || !outgoing && h.cutIn
}

// lossTo returns the share of lost packets from one host to another.
func (h *Host) lossTo(to *Host) float64 {
	return 1 - (1-h.lossShare())*(1-to.lossShare())
}

func (h *Host) lossShare() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loss
}

// Delays until data of a connection that was lost is sent again, doubled with each loss.
const (
	minRetransmissionDelay = 200 * time.Millisecond
	maxRetransmissionDelay = 6400 * time.Millisecond
	// openRetransmissionDelay is that of the first packet of a connection.
	openRetransmissionDelay = time.Second
)

// retransmissionDelay returns how much later a packet arrives because it is lost some times.
func retransmissionDelay(loss float64, first time.Duration) (delay time.Duration) {
	for next := first; loss > 0 && next < maxRetransmissionDelay && rand.Float64() < loss; next *= 2 {
		delay += next
	}
	return delay
}

func (h *Host) add(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conns[c] = true
}

func (h *Host) remove(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// Listen accepts connections at an address, an IP address of the host and a port.
func (h *Host) Listen(address string) net.Listener {
	l := &listener{host: h, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[address] = l
	return l
}

// Dial opens a connection to an address. A connection to a host that is cut off hangs until
// the context ends.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("simnet: %w", err)
	}
	to := h.network.host(target.Addr().String())
	if to == nil || !h.reaches(to) || !to.reaches(h) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	roundTrip := time.NewTimer(2*(h.delay+to.delay) + retransmissionDelay(h.lossTo(to), openRetransmissionDelay))
	defer roundTrip.Stop()
	select {
	case <-roundTrip.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	to.mu.Lock()
	l := to.listeners[address]
	to.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	client, server := newConnPair(h, to, address)
	select {
	case l.accepted <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type listener struct {
	host      *Host
	address   string
	accepted  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.host.mu.Lock()
		delete(l.host.listeners, l.address)
		l.host.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return hostAddr(l.address) }

// hostAddr is an address of the network.
type hostAddr string

// Network implements net.Addr.
func (hostAddr) Network() string { return "tcp" }

func (a hostAddr) String() string { return string(a) }

// errTimeout is the error of reads and writes after their deadline.
var errTimeout error = os.ErrDeadlineExceeded
