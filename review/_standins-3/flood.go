package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["flood"] = runFlood }

// Figures of the case "flood".
const (
	floodEntries  = 300
	floodInterval = 50 * time.Millisecond
	floodTime     = 60 * time.Second
)

// runFlood has another writer leave unreadable entries one after the other, and watches the
// memory of the gateways as the platform does.
func runFlood(w *world) (verdict, error) {
	w.store.put("op/config", configuration(7, key))
	zoneNames := []string{"norte-adega", "norte-linha", "centro-arm"}
	var peers []string
	for i, zone := range zoneNames {
		if _, err := w.startReplica(fmt.Sprintf("i-rl%02d", i), "registo-lotes", zone, 6, serveText); err != nil {
			return verdict{}, err
		}
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
	time.Sleep(contact)
	if w.trouble {
		go func() {
			value := bytes.Repeat([]byte{0xfe}, entryBytes)
			for i := range floodEntries {
				w.store.putBytes([]string{fmt.Sprintf("servers/other-%03d", i)}, value)
				time.Sleep(floodInterval)
			}
			w.record("another writer has written %d entries", floodEntries)
		}()
	}
	ends, peak := make([]int, len(w.gateways)), make([]int, len(w.gateways))
	ok, failed := 0, 0
	next := time.Now()
	for end := time.Now().Add(floodTime); time.Now().Before(end) && !faulty(ends); time.Sleep(20 * time.Millisecond) {
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
		if time.Now().After(next) {
			next = time.Now().Add(500 * time.Millisecond)
			for _, g := range w.gateways {
				if status, err := order(g, key); err == nil && status == http.StatusOK {
					ok++
				} else {
					failed++
				}
			}
		}
	}
	w.record("orders: %d served, %d not; peak MB %v", ok, failed, peak)
	return verdict{faulty(ends), fmt.Sprintf("Fault: processes ended by themselves, by machine %v times", ends)}, nil
}
