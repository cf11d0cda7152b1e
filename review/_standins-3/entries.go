package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["entries"] = runEntries }

// Figures of the case "entries". The bounds are those of the site.
const (
	// unreadableEntries are written in one transaction, which has at most 32 entries, and
	// entryBytes is the size of each, the largest that the store takes (value-bytes).
	unreadableEntries = 16
	entryBytes        = 1048576
	contact           = 4 * time.Second
	configApply       = 2500 * time.Millisecond
	drain             = 2500 * time.Millisecond
	// probeTime is how long requests are sent after these bounds.
	probeTime = 12 * time.Second
)

// serveText answers with a short text.
func serveText(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(rw, strings.Repeat("x", 800))
}

// runEntries has another writer leave unreadable entries among those of the replicas. Then a key
// is dropped and a replica leaves.
func runEntries(w *world) (verdict, error) {
	w.store.put("op/config", configuration(7, key, secondKey))
	zoneNames := []string{"norte-adega", "norte-linha", "centro-arm"}
	var replicas []*replica
	for i, zone := range zoneNames {
		p, err := w.startReplica(fmt.Sprintf("i-rl%02d", i), "registo-lotes", zone, 6, serveText)
		if err != nil {
			return verdict{}, err
		}
		replicas = append(replicas, p)
	}
	var peers []string
	for range zoneNames {
		address, err := freePort()
		if err != nil {
			return verdict{}, err
		}
		peers = append(peers, address)
	}
	for i, zone := range zoneNames {
		if _, err := w.startGateway(fmt.Sprintf("front-%s-1", zone), zone, peers, peers[i]); err != nil {
			return verdict{}, err
		}
	}
	for _, g := range w.gateways {
		if err := g.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(contact + 2*time.Second)
	for _, g := range w.gateways {
		for _, k := range []string{key, secondKey} {
			status, err := order(g, k)
			w.record("%s: an order with the key %s...: status %d, %v", g.name, k[:4], status, err)
			if status != http.StatusOK {
				return verdict{}, fmt.Errorf("%s does not serve", g.name)
			}
		}
	}
	if w.trouble {
		var keys []string
		for i := range unreadableEntries {
			keys = append(keys, fmt.Sprintf("servers/other-%02d", i))
		}
		w.store.putBytes(keys, bytes.Repeat([]byte{0xfe}, entryBytes))
		w.record("another writer has written %d entries of %d bytes that can't be read", unreadableEntries, entryBytes)
	}
	time.Sleep(time.Second)
	w.store.put("op/config", configuration(8, key))
	dropped := time.Now()
	w.record("version 8 of the configuration, without the key %s..., is acknowledged", secondKey[:4])
	leaving := replicas[0]
	leaving.leave()
	left := time.Now()
	w.record("the draining of %s is acknowledged", leaving.id)
	time.Sleep(time.Until(dropped.Add(configApply + 500*time.Millisecond)))
	var served, refused, denied, other atomic.Int64
	var lastServed atomic.Int64
	var clients sync.WaitGroup
	for _, g := range w.gateways {
		clients.Go(func() {
			for end := time.Now().Add(probeTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				_, _ = order(g, key) // these may go to any replica but the one that leaves
				sent := time.Since(dropped)
				switch status, _ := order(g, secondKey); status {
				case http.StatusOK:
					served.Add(1)
					lastServed.Store(max(lastServed.Load(), sent.Milliseconds()))
				case http.StatusUnauthorized:
					denied.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	clients.Wait()
	late := leaving.runsAfter(left.Add(drain))
	w.record("orders with the dropped key, sent %v to %v after its acknowledgement: %d served, %d answered 401, %d answered 503, %d otherwise; the last one served was sent %d ms after it",
		configApply+500*time.Millisecond, configApply+500*time.Millisecond+probeTime, served.Load(), denied.Load(), refused.Load(), other.Load(), lastServed.Load())
	w.record("requests that %s ran later than %v after its draining was acknowledged: %d", leaving.id, drain, late)
	if served.Load() > 0 || late > 0 {
		return verdict{true, fmt.Sprintf("CONFIG: %d orders ran with a dropped key; DRAIN: %d requests reached a draining replica", served.Load(), late)}, nil
	}
	return verdict{false, "no order ran with a dropped key or at a draining replica"}, nil
}

// order sends an order, a request that is not idempotent, and returns the status of its answer.
func order(g *gateway, credential string) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.client+"/lotes/a", strings.NewReader("order"))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("Request-Attempt-Id", hexID(16))
	request.Header.Set("Credential", credential)
	request.Header.Set("Deadline-Ms", "1500")
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}, Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
