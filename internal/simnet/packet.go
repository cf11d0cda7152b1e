package simnet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxQueuedDatagrams bounds the datagrams that have arrived and were not read. More are
// lost.
const maxQueuedDatagrams = 1024

// PacketConn sends and receives datagrams.
type PacketConn struct {
	host      *Host
	address   string
	arrived   chan []byte
	closeOnce sync.Once
	closed    chan struct{}
}

// ListenPacket receives datagrams at an address of the host.
func (h *Host) ListenPacket(address string) *PacketConn {
	p := &PacketConn{host: h, address: address, arrived: make(chan []byte, maxQueuedDatagrams), closed: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.packets[address] = p
	return p
}

// Read returns the next datagram.
func (p *PacketConn) Read(b []byte) (int, error) {
	select {
	case data := <-p.arrived:
		return copy(b, data), nil
	case <-p.closed:
		return 0, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram. It is lost when the network does not deliver it.
func (p *PacketConn) WriteToUDPAddrPort(b []byte, address netip.AddrPort) (int, error) {
	to := p.host.network.host(address.Addr().String())
	if !p.host.reaches(to) || rand.Float64() < p.host.lossTo(to) {
		return len(b), nil
	}
	data := append([]byte(nil), b...)
	at := p.host.network.deliver(p.host, to, len(data))
	time.AfterFunc(time.Until(at), func() { to.receive(address.String(), data) })
	return len(b), nil
}

func (h *Host) receive(address string, data []byte) {
	h.mu.Lock()
	p := h.packets[address]
	h.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case p.arrived <- data:
	default:
	}
}

// Close ends Read.
func (p *PacketConn) Close() error {
	p.closeOnce.Do(func() {
		p.host.mu.Lock()
		delete(p.host.packets, p.address)
		p.host.mu.Unlock()
		close(p.closed)
	})
	return nil
}
