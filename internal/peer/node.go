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

// Node drives the membership state machine over UDP.
type Node struct {
	conn      *net.UDPConn
	logger    *slog.Logger
	sent      tally.Counter
	sentBytes tally.Counter
	dropped   tally.Counter

	mu        sync.Mutex
	state     *membership.State
	observers []func(membership.Output)
}

// Listen binds the UDP port of the identity's address.
func Listen(identity membership.Identity, logger *slog.Logger, scope tally.Scope) (*Node, error) {
	return ListenAt(identity.Address, identity, logger, scope)
}

// ListenAt binds a UDP address that others reach as the identity's address.
func ListenAt(local string, identity membership.Identity, logger *slog.Logger, scope tally.Scope) (*Node, error) {
	address, err := netip.ParseAddrPort(local)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, oops.In("peer").Code("listen_failed").With("address", local).Wrap(fmt.Errorf("listen for heartbeats on %s: %w", local, err))
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Node{
		conn:      conn,
		logger:    logger,
		sent:      scope.Counter("heartbeats_sent"),
		sentBytes: scope.Counter("heartbeat_bytes_sent"),
		dropped:   scope.Counter("heartbeats_dropped"),
		state:     membership.New(identity, random, time.Now()),
	}, nil
}

// Observe adds a function that gets every output but Send. It must not block and
// is called without locks; add observers before Run.
func (n *Node) Observe(observer func(membership.Output)) {
	n.observers = append(n.observers, observer)
}

// Run sends and receives heartbeats until the context ends.
func (n *Node) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	receiving.Go(n.receiveAll)
	n.tickAll(ctx)
	n.conn.Close()
	receiving.Wait()
}

// firstTicks follow each other faster, so that an instance that starts is known
// within a second.
const (
	firstTicks        = 6
	firstTickInterval = membership.Interval / 6
)

// tickAll starts at a random phase: instances that tick in step spread their
// heartbeats more slowly and suspect each other.
func (n *Node) tickAll(ctx context.Context) {
	for range firstTicks {
		if !n.tickAfter(ctx, firstTickInterval/2+rand.N(firstTickInterval)) {
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

// tickAfter ticks after a pause, or returns false when the context ends first.
func (n *Node) tickAfter(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		n.tick()
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) tick() {
	n.Do(func(s *membership.State) []membership.Output { return s.Tick(time.Now()) })
}

// receiveAll reads datagrams until the connection is closed.
func (n *Node) receiveAll() {
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

// Do changes the state and carries out the outputs.
func (n *Node) Do(change func(*membership.State) []membership.Output) {
	n.mu.Lock()
	outputs := change(n.state)
	n.mu.Unlock()
	for _, output := range outputs {
		n.carryOut(output)
	}
}

// View reads the state. The function must not keep it.
func (n *Node) View(read func(*membership.State)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	read(n.state)
}

func (n *Node) carryOut(output membership.Output) {
	if send, ok := output.(membership.Send); ok {
		n.send(send)
		return
	}
	if changed, ok := output.(membership.MemberChanged); ok {
		events.MemberChanged.Log(context.Background(), n.logger, slog.String("member", changed.Record.ID),
			slog.String("state", changed.Record.State.String()), slog.String("address", changed.Record.Address))
	}
	for _, observer := range n.observers {
		observer(output)
	}
}

// send writes one datagram. A lost one is made up for by later heartbeats.
func (n *Node) send(send membership.Send) {
	address, err := netip.ParseAddrPort(send.Address)
	if err != nil {
		n.dropped.Inc(1)
		return
	}
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

// leaveCalls is the number of members that are told of a leave by a call, in case
// the datagrams are lost.
const leaveCalls = 2

// Leave tells the others that this instance stops. End Run afterwards.
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
		if member.ID != self.ID && called < leaveCalls {
			called++
			_ = client.Leave(ctx, member.Address, self)
		}
	}
}
