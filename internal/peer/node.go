package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// PacketConn sends and receives datagrams, as *net.UDPConn does.
type PacketConn interface {
	Read(b []byte) (int, error)
	WriteToUDPAddrPort(b []byte, address netip.AddrPort) (int, error)
	Close() error
}

// Node runs the membership state machine and sends its messages over UDP.
type Node struct {
	conn      PacketConn
	logger    *slog.Logger
	sent      tally.Counter
	sentBytes tally.Counter
	dropped   tally.Counter
	// started is the start of this process, as its messages say it.
	started time.Time

	mu        sync.Mutex
	state     *membership.State
	observers []func(membership.Output)
}

// Listen binds the UDP port of the identity's address.
func Listen(identity membership.Identity, logger *slog.Logger, scope tally.Scope) (*Node, error) {
	return ListenAt(identity.Address, identity, logger, scope)
}

// ListenAt binds the UDP address local. Other instances reach it at the identity's
// address.
func ListenAt(local string, identity membership.Identity, logger *slog.Logger, scope tally.Scope) (*Node, error) {
	address, err := netip.ParseAddrPort(local)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.In("peer").Code("listen_failed").With("address", local).Wrap(fmt.Errorf("listen for heartbeats on %s: %w", local, err))
	}
	return NewNode(conn, identity, logger, scope), nil
}

// NewNode returns a node that sends and receives on a connection.
func NewNode(conn PacketConn, identity membership.Identity, logger *slog.Logger, scope tally.Scope) *Node {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Node{
		conn:      conn,
		logger:    logger,
		sent:      scope.Counter("heartbeats_sent"),
		sentBytes: scope.Counter("heartbeat_bytes_sent"),
		dropped:   scope.Counter("heartbeats_dropped"),
		started:   time.Now(),
		state:     membership.New(identity, random, time.Now()),
	}
}

// Observe adds a function that is called with every output except Send, without
// locks held. It must not block. Observers must be added before Run.
func (n *Node) Observe(observer func(membership.Output)) {
	n.observers = append(n.observers, observer)
}

// Run sends and receives heartbeats until the context ends.
func (n *Node) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	receiving.Go(n.receiveLoop)
	n.tickLoop(ctx)
	n.conn.Close()
	receiving.Wait()
}

// A starting instance ticks initialTicks times at a shorter interval, so that other
// instances know it within a second.
const (
	initialTicks        = 6
	initialTickInterval = membership.Interval / 6
)

// tickLoop ticks until the context ends, with a random offset at the start: if
// instances tick at the same time, their heartbeats spread more slowly and they
// suspect each other.
func (n *Node) tickLoop(ctx context.Context) {
	for range initialTicks {
		if !n.tickAfter(ctx, initialTickInterval/2+rand.N(initialTickInterval)) {
			return
		}
	}
	if !n.tickAfter(ctx, rand.N(membership.Interval)) {
		return
	}
	ticker := time.NewTicker(membership.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.tick()
		case <-ctx.Done():
			return
		}
	}
}

// tickAfter ticks after a delay, or returns false when the context ends first.
func (n *Node) tickAfter(ctx context.Context, delay time.Duration) bool {
	select {
	case <-time.After(delay):
		n.tick()
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) tick() {
	n.Do(func(s *membership.State) []membership.Output { return s.Tick(time.Now()) })
}

// receiveLoop reads datagrams until the connection is closed.
func (n *Node) receiveLoop() {
	buffer := make([]byte, membership.MaxMessageBytes+1)
	for {
		size, err := n.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		message, err := Decode(buffer[:size])
		if err != nil {
			n.dropped.Inc(1)
			events.HeartbeatDropped.Log(context.Background(), n.logger, slog.Any("error", err))
			continue
		}
		n.receive(message)
	}
}

func (n *Node) receive(message membership.Message) {
	n.Do(func(s *membership.State) []membership.Output { return s.Receive(time.Now(), message) })
}

// Do calls change with the state and handles the outputs that it returns.
func (n *Node) Do(change func(*membership.State) []membership.Output) {
	n.mu.Lock()
	outputs := change(n.state)
	n.mu.Unlock()
	for _, output := range outputs {
		n.dispatch(output)
	}
}

// View calls read with the state. read must not keep a reference to the state.
func (n *Node) View(read func(*membership.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	read(n.state)
}

func (n *Node) dispatch(output membership.Output) {
	if send, ok := output.(membership.Send); ok {
		n.send(send)
		return
	}
	if changed, ok := output.(membership.MemberChanged); ok {
		events.MemberChanged.Log(context.Background(), n.logger, slog.String("member", changed.Record.ID),
			slog.String("state", changed.Record.State.String()), slog.String("address", changed.Record.Address))
	}
	if isolation, ok := output.(membership.IsolationChanged); ok {
		events.IsolationChanged.Log(context.Background(), n.logger, slog.Bool("isolated", isolation.Isolated))
	}
	for _, observer := range n.observers {
		observer(output)
	}
}

// send sends one datagram. A lost datagram is not sent again, because later
// heartbeats replace it.
func (n *Node) send(send membership.Send) {
	address, err := netip.ParseAddrPort(send.Address)
	if err != nil {
		n.dropped.Inc(1)
		return
	}
	send.Message.Sent = membership.ProcessTime{Started: n.started.UnixMilli(), Elapsed: time.Since(n.started)}
	data, err := Encode(send.Message)
	if err != nil {
		n.dropped.Inc(1)
		events.HeartbeatDropped.Log(context.Background(), n.logger, slog.Any("error", err))
		return
	}
	if _, err := n.conn.WriteToUDPAddrPort(data, address); err != nil {
		n.dropped.Inc(1)
		return
	}
	n.sent.Inc(1)
	n.sentBytes.Inc(int64(len(data)))
}

// maxLeaveCalls is the number of members that a leaving instance also notifies by a
// call, in case the datagrams are lost.
const maxLeaveCalls = 2

// Leave notifies the other instances that this one stops. The context of Run must
// end afterwards.
func (n *Node) Leave(ctx context.Context, client *Client) {
	var self membership.Record
	var live []membership.Record
	n.Do(func(s *membership.State) []membership.Output {
		outputs := s.Leave(time.Now())
		self, live = s.Self(), s.LiveMembers()
		return outputs
	})
	called := 0
	for _, member := range live {
		if member.ID != self.ID && called < maxLeaveCalls {
			called++
			_ = client.Leave(ctx, member.Address, self)
		}
	}
}
