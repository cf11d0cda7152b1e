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

// maxHeartbeatBytes is larger than any heartbeat.
const maxHeartbeatBytes = 2000

// partition isolates failure domains from all others. Each instance advertises the
// address of a relay, so that all traffic between instances passes through partition.
type partition struct {
	f *fleet

	mu sync.Mutex
	// isolated holds the failure domains that are isolated.
	isolated map[string]bool
	// connections holds the failure domains at the two ends of each open TCP
	// connection.
	connections map[net.Conn][2]string
	// dropped counts the heartbeats and connections that were dropped.
	dropped int
}

func (f *fleet) newPartition() *partition {
	return &partition{f: f, isolated: map[string]bool{}, connections: map[net.Conn][2]string{}}
}

// startRelay starts forwarding of TCP connections and datagrams to an instance and
// returns the address that other instances use.
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

// listen binds a port for TCP and UDP. It tries again when binding fails: a process
// of another scenario may still have the port open between its fork and its exec,
// although the port was just found free.
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

// setIsolated isolates failure domains, or ends their isolation.
func (p *partition) setIsolated(isolated bool, domains ...string) {
	p.mu.Lock()
	for _, domain := range domains {
		p.isolated[domain] = isolated
	}
	p.mu.Unlock()
	p.closeConnections(func(ends [2]string) bool { return p.isSeparated(ends[0], ends[1]) })
}

// isSeparated reports whether traffic between two failure domains is dropped, and
// counts it. An unknown failure domain is separated from isolated ones.
func (p *partition) isSeparated(a, b string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	separated := a != b && (p.isolated[a] || p.isolated[b])
	if separated {
		p.dropped++
	}
	return separated
}

// droppedCount returns the number of dropped heartbeats and connections.
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

// senderDomain returns the failure domain of the instance that sends datagrams from
// an address, or "" when it is unknown.
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

// callerDomain returns the failure domain of the process that has the other end of a
// connection open, or "" when it is unknown.
func (p *partition) callerDomain(connection net.Conn) string {
	socket := socketName(connection.RemoteAddr().(*net.TCPAddr))
	for _, i := range p.f.instances {
		if socket != "" && i.hasSocket(socket) {
			return i.settings.FailureDomain
		}
	}
	return ""
}

// socketName returns the name in /proc of the socket that is bound to a loopback port.
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

// hasSocket reports whether the process has the socket open.
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
