package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = runMemory }

// Sizes of the case "memory".
const (
	modelReplicas = 12
	// longID is the number of digits of the ID of a prompt part, and shortID that without the
	// disruption. With the longer one, the head of a request has less than the 16,384 bytes of
	// max-header-bytes.
	longID, shortID = 16000, 8
	memoryClients   = 32
	// ownParts is the number of different last parts.
	ownParts       = 200
	memoryTime     = 92 * time.Second
	memoryRequests = 300000
)

// hexID returns a random ID of n hexadecimal digits.
func hexID(n int) string {
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%016x", rand.Uint64())
	}
	return b.String()[:n]
}

// runMemory sends prompts whose parts have long IDs, and watches the memory of the gateways as
// the platform does.
func runMemory(w *world) (verdict, error) {
	w.store.put("op/config", configuration(7, key))
	replicaZones := []string{"norte-adega", "centro-arm", "norte-linha", "centro-arm"}
	for i := range modelReplicas {
		if _, err := w.startReplica(fmt.Sprintf("i-ml%02d", i), "assistente-ml", replicaZones[i%len(replicaZones)], 64, serveStream(2, 40)); err != nil {
			return verdict{}, err
		}
	}
	gatewayZones := []string{"norte-adega", "norte-linha", "centro-arm", "centro-arm"}
	var peers []string
	for range gatewayZones {
		address, err := freePort()
		if err != nil {
			return verdict{}, err
		}
		peers = append(peers, address)
	}
	for i, zone := range gatewayZones {
		if _, err := w.startGateway(fmt.Sprintf("front-%s-%d", zone, i), zone, peers[:3], peers[i]); err != nil {
			return verdict{}, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(6 * time.Second) // the instances know each other
	digits := shortID
	if w.trouble {
		digits = longID
	}
	w.record("%d clients send prompts with a part whose ID has %d digits", memoryClients, digits)
	var sent, served, refused, other atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range memoryClients {
		clients.Go(func() {
			g := w.gateways[n%len(w.gateways)]
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 10 * time.Second}
			for {
				select {
				case <-stop:
					return
				default:
				}
				if sent.Add(1) > memoryRequests {
					return
				}
				status, err := sendPrompt(client, g, digits)
				switch {
				case err == nil && status == http.StatusOK:
					served.Add(1)
				case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
					refused.Add(1)
					time.Sleep(50 * time.Millisecond)
				default:
					other.Add(1)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	peak, ends := make([]int, len(w.gateways)), make([]int, len(w.gateways))
	report := time.Now()
	for end := time.Now().Add(memoryTime); time.Now().Before(end) && !faulty(ends) && sent.Load() < memoryRequests; time.Sleep(20 * time.Millisecond) {
		for i, g := range w.gateways {
			now := g.residentMB()
			peak[i] = max(peak[i], now)
			if now <= machineMemoryMB {
				continue
			}
			ends[i]++
			w.record("%s takes %d MB of the %d MB of its machine: the platform kills it (%d) and starts it again", g.name, now, machineMemoryMB, ends[i])
			g.kill()
			if err := g.start(); err != nil {
				return verdict{}, err
			}
		}
		if time.Since(report) > 2*time.Second {
			report = time.Now()
			w.record("sent %d, served %d, refused %d, other %d; peak MB %v", sent.Load(), served.Load(), refused.Load(), other.Load(), peak)
		}
	}
	close(stop)
	clients.Wait()
	w.record("sent %d, served %d, refused %d, other %d; peak MB %v", sent.Load(), served.Load(), refused.Load(), other.Load(), peak)
	if faulty(ends) {
		return verdict{true, fmt.Sprintf("Fault: processes ended by themselves, by machine %v times", ends)}, nil
	}
	if served.Load() == 0 {
		return verdict{}, fmt.Errorf("no request was served")
	}
	return verdict{false, fmt.Sprintf("processes ended by themselves, by machine %v times", ends)}, nil
}

// faulty reports whether processes ended by themselves three times on a tenth of the machines,
// two at least.
func faulty(ends []int) bool {
	machines := 0
	for _, n := range ends {
		if n >= 3 {
			machines++
		}
	}
	return machines >= max(2, len(ends)/10)
}

// sendPrompt sends a prompt of two parts. The ID of the first one has a number of digits.
func sendPrompt(client *http.Client, g *gateway, digits int) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.client+engineRoute+"a", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	request.Host = host
	header := request.Header
	header.Set("Request-Attempt-Id", hexID(16))
	header.Set("Credential", key)
	header.Set("Deadline-Ms", "6000")
	header.Set("Model", "m")
	header.Set("Token-Usage", "60,4")
	header.Set("Prompt-Prefix", hexID(digits)+fmt.Sprintf(":10,%08x:40", 1+rand.N(ownParts)))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
