package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// gateway is one process of the product.
type gateway struct {
	name, settings, client, ready string
	command                       *exec.Cmd
	log                           *os.File
	ended                         chan error
}

// gatewayOptions are the settings that differ between cases.
type gatewayOptions struct {
	zone     string
	memoryMB int
	maxFDs   int
	store    string
	peers    []string
}

// regionOf are the zones of the small deployment and their regions.
var regionOf = map[string]string{"norte-adega": "norte", "norte-linha": "norte", "centro-arm": "centro"}

// Ports of gateways are below those that the system gives to outgoing connections, so that none
// takes one before the gateway binds it.
const (
	firstPort    = 20000
	portCount    = 10000
	portAttempts = 200
)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() string {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		packets.Close()
		return address
	}
	fatal("no free port")
	return ""
}

// newGateway writes the settings file as the template of the deploy file has it.
func newGateway(folder, name, peer string, o gatewayOptions) *gateway {
	g := &gateway{name: name, settings: filepath.Join(folder, name+".jsonc"), client: freeAddress(), ready: freeAddress()}
	var peers []string
	for _, p := range o.peers {
		peers = append(peers, fmt.Sprintf("%q", p))
	}
	text := fmt.Sprintf(`{"instance": %q, "region": %q, "failure_domain": %q,
"regions": {"norte-adega": "norte", "norte-linha": "norte", "centro-arm": "centro"},
"client_address": %q, "ready_address": %q, "peer_address": %q, "metrics_address": %q, "store_address": %q, "peers": [%s],
"link_mbits": 1000, "processor": 0.4, "memory_mb": %d, "max_descriptors": %d, "server_heartbeat_ms": 1200, "grace_seconds": 8,
"retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10}
`, name, regionOf[o.zone], o.zone, g.client, g.ready, peer, freeAddress(), o.store, strings.Join(peers, ","), o.memoryMB, o.maxFDs)
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		fatal("log: %v", err)
	}
	g.log = log
	return g
}

func (g *gateway) start() {
	g.command = exec.Command(gatewayProgram(), "gateway", "--settings", g.settings)
	g.command.Stdout, g.command.Stderr = g.log, g.log
	if err := g.command.Start(); err != nil {
		fatal("start of %s: %v", g.name, err)
	}
	command, ended := g.command, make(chan error, 1)
	g.ended = ended
	go func() { ended <- command.Wait() }()
	onExit(func() { _ = command.Process.Kill() }) // it may have ended
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(timeout time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// residentMB returns the resident memory of the process, 0 when it has ended.
func (g *gateway) residentMB() (mb int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb >> 10
		}
	}
	return 0
}

// gatewayProgram is the program that the build of the deploy file makes.
func gatewayProgram() string {
	if path := os.Getenv("GATEWAY"); path != "" {
		return path
	}
	return "target/coltsfootdrift"
}
