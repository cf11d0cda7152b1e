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
	isolated map[string]bool
	// open holds TCP connections by the failure domains at their ends.
	connections map[net.Conn][2]string
	// dropped counts heartbeats and connections that the cut hit.
	dropped int
}

func (f *fleet) newPartition() *partition {
	return &partition{f: f, isolated: map[string]bool{}, connections: map[net.Conn][2]string{}}
}

// relay passes on TCP connections and datagrams to an instance and returns the
// address that others use.
func (p *partition) startRelay(target *instance) string {
	listener, socket := p.listen()
	p.f.Cleanup(func() {
		listener.Close()
		socket.Close()
		p.closeConnections(func([2]string) bool { return true })
	})
	go p.forwardDatagrams(socket, target)
	go p.acceptConnections(listener, target)
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
func (p *partition) setIsolated(isolated bool, domains ...string) {
	p.mu.Lock()
	for _, domain := range domains {
		p.isolated[domain] = isolated
	}
	p.mu.Unlock()
	p.closeConnections(func(ends [2]string) bool { return p.isSeparated(ends[0], ends[1]) })
}

// separated reports whether the cut lies between two failure domains. An unknown
// end is separated from one that is cut off.
func (p *partition) isSeparated(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	separated := a != b && (p.isolated[a] || p.isolated[b])
	if separated {
		p.dropped++
	}
	return separated
}

// hit returns the number of heartbeats and connections that the cut hit.
func (p *partition) droppedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropped
}

func (p *partition) closeConnections(selects func([2]string) bool) {
	p.mu.Lock()
	connections := make(map[net.Conn][2]string, len(p.connections))
	for connection, ends := range p.connections {
		connections[connection] = ends
	}
	p.mu.Unlock()
	for connection, ends := range connections {
		if selects(ends) {
			connection.Close()
		}
	}
}

func (p *partition) forwardDatagrams(socket net.PacketConn, target *instance) {
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(target.settings.PeerAddress))
	buffer := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !p.isSeparated(p.senderDomain(from.String()), target.settings.FailureDomain) {
			_, _ = socket.WriteTo(buffer[:n], to) // a heartbeat may be lost
		}
	}
}

// senderOf returns the failure domain of the instance that sends from an address.
func (p *partition) senderDomain(address string) string {
	for _, i := range p.f.instances {
		if i.settings.PeerAddress == address {
			return i.settings.FailureDomain
		}
	}
	return ""
}

func (p *partition) acceptConnections(listener net.Listener, target *instance) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConnection(connection, target)
	}
}

func (p *partition) forwardConnection(connection net.Conn, target *instance) {
	defer connection.Close()
	ends := [2]string{p.callerDomain(connection), target.settings.FailureDomain}
	if p.isSeparated(ends[0], ends[1]) {
		return
	}
	upstream, err := net.Dial("tcp", target.settings.PeerAddress)
	if err != nil {
		return
	}
	defer upstream.Close()
	p.mu.Lock()
	p.connections[connection] = ends
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(upstream, connection)
		upstream.Close()
	}()
	_, _ = io.Copy(connection, upstream)
	p.mu.Lock()
	delete(p.connections, connection)
	p.mu.Unlock()
}

// callerOf returns the failure domain of the process that holds the other end of a
// connection.
func (p *partition) callerDomain(connection net.Conn) string {
	socket := socketName(connection.RemoteAddr().(*net.TCPAddr))
	for _, i := range p.f.instances {
		if socket != "" && i.hasSocket(socket) {
			return i.settings.FailureDomain
		}
	}
	return ""
}

// socketOf returns the name of the socket bound to a loopback port, as in /proc.
func socketName(address *net.TCPAddr) string {
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
func (i *instance) hasSocket(socket string) bool {
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
