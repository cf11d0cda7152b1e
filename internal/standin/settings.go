package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

// Range of ports for entry instances when there is no base port. It is below the
// ephemeral port range, from which operating systems usually take the ports of
// outgoing connections.
const (
	firstPort = 10000
	lastPort  = 30000
)

// EntrySettings returns the settings of entry instances, perDomain of them in each
// failure domain. nextPort returns the port of each listener.
func (c *Cluster) EntrySettings(folder string, perDomain int, nextPort func() (int, error)) ([]settings.Entry, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, err
	}
	var entries []settings.Entry
	for _, location := range domainLocations(c.Set.Deployment) {
		for i := range perDomain {
			entry := settings.Entry{
				Instance:        fmt.Sprintf("%s-entry-%d", location.failureDomain, i+1),
				Region:          location.region,
				FailureDomain:   location.failureDomain,
				StoreAddress:    c.StoreAddress,
				PlatformAddress: c.PlatformAddress,
				PipelineFiles:   folder,
			}
			for _, address := range []*string{&entry.CallerAddress, &entry.PeerAddress, &entry.AdminAddress} {
				port, err := nextPort()
				if err != nil {
					return nil, err
				}
				*address = net.JoinHostPort(Host, strconv.Itoa(port))
			}
			entries = append(entries, entry)
		}
	}
	addPeers(entries)
	return entries, nil
}

// addPeers adds the peer addresses of all other instances to each settings file.
func addPeers(entries []settings.Entry) {
	for i := range entries {
		for j := range entries {
			if i != j {
				entries[i].Peers = append(entries[i].Peers, entries[j].PeerAddress)
			}
		}
	}
}

// PortAllocator returns a function that returns a different port with each call:
// the ports that follow those of the cluster when it has a base port, and free ports
// otherwise.
func (c *Cluster) PortAllocator() func() (int, error) {
	if c.nextPort == 0 {
		return FreePorts()
	}
	return func() (int, error) {
		c.nextPort++
		return c.nextPort - 1, nil
	}
}

// FreePorts returns a function that returns a different port with each call, below the
// ephemeral port range.
func FreePorts() func() (int, error) { return FreePortsBetween(firstPort, lastPort) }

// FreePortsBetween returns a function that returns a different port from first to
// last-1 with each call. Each port was free for TCP and UDP when it was checked. Ports
// are chosen at random, so that processes that search at the same time rarely choose
// the same one. The function is safe for concurrent use.
func FreePortsBetween(first, last int) func() (int, error) {
	const attempts = 1000
	var mu sync.Mutex
	taken := map[int]bool{}
	return func() (int, error) {
		mu.Lock()
		defer mu.Unlock()
		for range attempts {
			port := first + rand.IntN(last-first)
			if !taken[port] && portIsFree(net.JoinHostPort(Host, strconv.Itoa(port))) {
				taken[port] = true
				return port, nil
			}
		}
		return 0, fmt.Errorf("no free port between %d and %d in %d attempts", first, last, attempts)
	}
}

func portIsFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// WriteSettings writes one settings file for each instance into a folder, which it
// creates when necessary, and returns the paths of the files.
func WriteSettings(folder string, entries []settings.Entry) ([]string, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	var paths []string
	for _, entry := range entries {
		data, err := json.MarshalIndent(entry, "", "  ")
		if err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		path := filepath.Join(folder, entry.Instance+".jsonc")
		if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
			return nil, fmt.Errorf("write settings: %w", err)
		}
		paths = append(paths, path)
	}
	return paths, nil
}
