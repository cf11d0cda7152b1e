package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"
)

// gateway is one process of the project: target/coltsfootdrift gateway --settings FILE.
type gateway struct {
	name, zone, region    string
	client, ready, peer   string
	metrics, settingsPath string
	path                  *path
	command               *exec.Cmd
	exited                chan struct{}
}

// Ports of the gateways. They are outside the range from which the system takes the ports of
// outgoing connections, because one of those could take a port before a gateway listens on it.
const (
	firstPort = 10_001
	lastPort  = 32_000
)

// freePorts returns n loopback addresses with ports that are free for TCP and UDP.
func freePorts(n int) (addresses []string, err error) {
	for try := 0; len(addresses) < n; try++ {
		if try > 100*n {
			return nil, errors.New("no free ports")
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		if slices.Contains(addresses, address) {
			continue
		}
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		udp.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// newGateways prepares the settings of one gateway for each zone in zones. A zone may
// appear several times.
func newGateways(folder string, zones []string, regions map[string]string, s *store) ([]*gateway, error) {
	addresses, err := freePorts(4 * len(zones))
	if err != nil {
		return nil, err
	}
	var gateways []*gateway
	var peers []string
	for i, zone := range zones {
		p, err := s.newPath()
		if err != nil {
			return nil, err
		}
		a := addresses[4*i:]
		gateways = append(gateways, &gateway{
			name: "front-" + zone + "-" + strconv.Itoa(i+1), zone: zone, region: regions[zone],
			client: a[0], ready: a[1], peer: a[2], metrics: a[3], path: p,
		})
		if i < 3 {
			peers = append(peers, a[2])
		}
	}
	for _, g := range gateways {
		settings := map[string]any{
			"instance": g.name, "region": g.region, "failure_domain": g.zone, "regions": regions,
			"client_address": g.client, "ready_address": g.ready, "peer_address": g.peer, "metrics_address": g.metrics,
			"store_address": g.path.address, "peers": peers, "first_start": true, "link_mbits": 1000, "processor": 0.4,
			"grace_seconds": 8, "retry_ratio": 0.2, "retry_slack": 58, "retry_window_seconds": 10,
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		g.settingsPath = filepath.Join(folder, g.name+".jsonc")
		if err := os.WriteFile(g.settingsPath, data, 0o600); err != nil {
			return nil, err
		}
	}
	return gateways, nil
}

// start starts the process. Its log goes to a file beside its settings.
func (g *gateway) start() error {
	log, err := os.OpenFile(g.settingsPath+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command("target/coltsfootdrift", "gateway", "--settings", g.settingsPath)
	g.command.Stdout, g.command.Stderr = log, log
	// The process ends with this one, whatever happens.
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.command.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(g.command, g.exited)
	return nil
}

// kill ends the process.
func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
		<-g.exited
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + g.ready + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts gateways and waits until all are ready.
func startAll(gateways []*gateway) error {
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return errors.New(g.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// reader returns the gateway that watches the store for the others: the one with most
// watches in the last seconds.
func reader(gateways []*gateway, observe time.Duration) *gateway {
	for _, g := range gateways {
		g.path.takeWatches()
	}
	time.Sleep(observe)
	var most *gateway
	best := 0
	for _, g := range gateways {
		if n := g.path.takeWatches(); n > best {
			most, best = g, n
		}
	}
	return most
}

func (g *gateway) String() string { return fmt.Sprintf("%s (%s)", g.name, g.client) }
