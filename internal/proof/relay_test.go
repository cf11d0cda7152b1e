package proof

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// maxHeartbeatBytes is more than a heartbeat has.
const maxHeartbeatBytes = 2000

// partition cuts failure domains off from all others. It passes on what instances
// send to each other: each instance is known by the address of its relay.
type partition struct {
	f *fleet

	mu sync.Mutex
	// off holds the failure domains that are cut off.
	off map[string]bool
	// open holds TCP connections by the failure domains at their ends.
	open map[net.Conn][2]string
	// dropped counts heartbeats and connections that the cut hit.
	dropped int
}

func (f *fleet) newPartition() *partition {
	return &partition{f: f, off: map[string]bool{}, open: map[net.Conn][2]string{}}
}

// relay passes on TCP connections and datagrams to an instance and returns the
// address that others use.
func (p *partition) relay(target *instance) string {
	listener, socket := p.listen()
	p.f.Cleanup(func() {
		listener.Close()
		socket.Close()
		p.breakOff(func([2]string) bool { return true })
	})
	go p.passDatagrams(socket, target)
	go p.acceptAll(listener, target)
	return listener.Addr().String()
}

// listen binds a port for TCP and UDP. A port that was just found free may still be
// held by a process of another scenario between its fork and its exec.
func (p *partition) listen() (net.Listener, net.PacketConn) {
	for {
		port, err := nextPort()
		p.f.Assert(err, qt.IsNil)
		address := fmt.Sprintf("%s:%d", standin.Host, port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp", address)
		if err == nil {
			return listener, socket
		}
		listener.Close()
	}
}

// cut cuts failure domains off, or joins them again.
func (p *partition) cut(off bool, domains ...string) {
	p.mu.Lock()
	for _, domain := range domains {
		p.off[domain] = off
	}
	p.mu.Unlock()
	p.breakOff(func(ends [2]string) bool { return p.separated(ends[0], ends[1]) })
}

// separated reports whether the cut lies between two failure domains. An unknown
// end is separated from one that is cut off.
func (p *partition) separated(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	separated := a != b && (p.off[a] || p.off[b])
	if separated {
		p.dropped++
	}
	return separated
}

// hit returns the number of heartbeats and connections that the cut hit.
func (p *partition) hit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped
}

func (p *partition) breakOff(hit func([2]string) bool) {
	p.mu.Lock()
	open := make(map[net.Conn][2]string, len(p.open))
	for connection, ends := range p.open {
		open[connection] = ends
	}
	p.mu.Unlock()
	for connection, ends := range open {
		if hit(ends) {
			connection.Close()
		}
	}
}

func (p *partition) passDatagrams(socket net.PacketConn, target *instance) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(target.settings.PeerAddress))
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !p.separated(p.senderOf(from.String()), target.settings.FailureDomain) {
			_, _ = socket.WriteTo(buffer[:n], to) // a heartbeat may be lost
		}
	}
}

// senderOf returns the failure domain of the instance that sends from an address.
func (p *partition) senderOf(address string) string {
	for _, i := range p.f.instances {
		if i.settings.PeerAddress == address {
			return i.settings.FailureDomain
		}
	}
	return ""
}

func (p *partition) acceptAll(listener net.Listener, target *instance) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go p.passConnection(connection, target)
	}
}

func (p *partition) passConnection(connection net.Conn, target *instance) {
	defer connection.Close()
	ends := [2]string{p.callerOf(connection), target.settings.FailureDomain}
	if p.separated(ends[0], ends[1]) {
		return
	}
	onward, err := net.Dial("tcp", target.settings.PeerAddress)
	if err != nil {
		return
	}
	defer onward.Close()
	p.mu.Lock()
	p.open[connection] = ends
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(onward, connection)
		onward.Close()
	}()
	_, _ = io.Copy(connection, onward)
	p.mu.Lock()
	delete(p.open, connection)
	p.mu.Unlock()
}

// callerOf returns the failure domain of the process that holds the other end of a
// connection.
func (p *partition) callerOf(connection net.Conn) string {
	socket := socketOf(connection.RemoteAddr().(*net.TCPAddr))
	for _, i := range p.f.instances {
		if socket != "" && i.holds(socket) {
			return i.settings.FailureDomain
		}
	}
	return ""
}

// socketOf returns the name of the socket bound to a loopback port, as in /proc.
func socketOf(address *net.TCPAddr) string {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	local := fmt.Sprintf("0100007F:%04X", address.Port)
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) > 9 && fields[1] == local && fields[9] != "0" {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// holds reports whether the process has the socket open.
func (i *instance) holds(socket string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return false
	}
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", i.command.Process.Pid))
	if err != nil {
		return false
	}
	for _, file := range files {
		if name, err := os.Readlink(file); err == nil && name == socket {
			return true
		}
	}
	return false
}
