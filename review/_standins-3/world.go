package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the small deployment with their regions.
var zones = map[string]string{"norte-adega": "norte", "norte-linha": "norte", "centro-arm": "centro"}

// Bounds of the small deployment, as in its site file.
const (
	machineMemoryMB = 284
	heartbeat       = 1200 * time.Millisecond
	grace           = 8 * time.Second
)

// world holds what a case has started.
type world struct {
	trouble bool
	store   *store
	folder  string
	started time.Time

	mu       sync.Mutex
	file     *os.File
	gateways []*gateway
	stopped  chan struct{}
	once     sync.Once
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, folder: folder, started: time.Now(), file: file, stopped: make(chan struct{})}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.record("disruption: %v", trouble)
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.once.Do(func() { close(w.stopped) })
	for _, g := range w.gateways {
		g.kill()
	}
	os.RemoveAll(w.folder)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.file.Close()
}

// record writes a line to the record and to the standard output.
func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Print(line)
	_, _ = w.file.WriteString(line)
}

// freePort returns a port of the loopback address that is free for TCP and UDP.
func freePort() (string, error) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// gateway is a process of the project.
type gateway struct {
	w    *world
	name string
	// client, ready and peer are its addresses, settings is the path of its settings file.
	client, ready, peer string
	settings            string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended, and exit is its error then. wantEnd is true
	// after a signal that ends it.
	ended   chan struct{}
	exit    error
	wantEnd bool
}

// startGateway starts a gateway in a zone with a settings file like the one that the platform
// makes from the template deploy/gateway.jsonc. address is that for other instances.
func (w *world) startGateway(name, zone string, peers []string, address string) (*gateway, error) {
	g := &gateway{w: w, name: name, peer: address}
	var metrics string
	for _, port := range []*string{&g.client, &g.ready, &metrics} {
		free, err := freePort()
		if err != nil {
			return nil, err
		}
		*port = free
	}
	settings := map[string]any{
		"instance": name, "region": zones[zone], "failure_domain": zone, "regions": zones,
		"client_address": g.client, "ready_address": g.ready, "peer_address": g.peer, "metrics_address": metrics,
		"store_address": w.store.address, "peers": peers, "link_mbits": 1000, "processor": 0.4,
		"memory_mb": machineMemoryMB, "max_descriptors": 4100, "server_heartbeat_ms": heartbeat.Milliseconds(),
		"grace_seconds": grace.Seconds(), "retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10,
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(w.folder, name+".jsonc")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, err
	}
	w.gateways = append(w.gateways, g)
	return g, g.start()
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.w.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/coltsfootdrift", "gateway", "--settings", g.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.command, g.ended, g.wantEnd = command, ended, false
	g.mu.Unlock()
	go func() {
		err := command.Wait()
		log.Close()
		g.mu.Lock()
		g.exit = err
		wanted := g.wantEnd
		g.mu.Unlock()
		if !wanted {
			g.w.record("process %s ended by itself: %v", g.name, err)
		}
		close(ended)
	}()
	return nil
}

// awaitReady waits until the process says that it is ready.
func (g *gateway) awaitReady() error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s did not become ready", g.name)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		g.wantEnd = true
	}
	_ = g.command.Process.Signal(s) // the process may have ended
}

func (g *gateway) kill() {
	if g.command == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-g.ended
}

// residentMB returns the resident memory of the process in MB of 2^20 bytes, 0 after its end.
func (g *gateway) residentMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
