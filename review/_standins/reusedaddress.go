package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	draftHost = "drafts.example"
	draftPath = "/draft/"
)

// Times of reusedAddress.
const (
	crashDelay   = 1100 * time.Millisecond // from the first request to the crash
	reuseTime    = 2200 * time.Millisecond // from that to the next use of the address; reuse-after-s is 2
	lapseTime    = 3600 * time.Millisecond // three heartbeats of 1.2 s: the entry of the crashed replica lapses
	watchTime    = 12 * time.Second
	draftRequest = 24
	draftTimeout = 20 * time.Second
)

// draftConfiguration adds to ordersConfiguration a route with two stages and a model service.
func draftConfiguration(version int) map[string]any {
	c := ordersConfiguration(version)
	c["routes"] = append(c["routes"].([]map[string]any), map[string]any{
		"name": "r-drafts", "host": draftHost, "prefix": draftPath, "kind": "stream", "timeout-ms": draftTimeout.Milliseconds(),
		"target-latency-ms": 2500, "target-gap-ms": 200, "priority": 2, "service": "assistente-ml", "max-attempts": 2, "public": false,
		"sticky": true, "resumable": false,
		"stages": []map[string]any{{"service": "etiquetagem", "after": []int{}, "bytes": 8000}, {"service": "faturacao", "after": []int{0}, "bytes": 60000}},
	})
	pieces := map[string]any{
		"slots": 1, "queue": maxStageQueue, "batch": stageBatch, "call-ms": callTime.Milliseconds(), "item-ms": pieceTime.Milliseconds(),
		"headroom-mb": 18, "handle-s": resultLife.Seconds(), "link-mbps": 10000,
	}
	c["services"] = append(c["services"].([]map[string]any),
		map[string]any{"name": "etiquetagem", "health-path": "/health", "max-connections": 370, "pieces": pieces},
		map[string]any{"name": "faturacao", "health-path": "/health", "max-connections": 370, "pieces": pieces},
		map[string]any{"name": "assistente-ml", "health-path": "/health", "max-connections": 370, "engine": map[string]any{
			"slots": 64, "kv-capacity": 373616, "kv-token-bytes": 163840, "link-mbps": 740000,
		}})
	return c
}

// reusedAddress: a stage replica crashes while requests wait for their next stage with results
// that it has made. 2.2 s later its address is used by a replica of another service, the ledger
// of orders. UNASKED: no replica may run a request that no client sent.
func reusedAddress(s *scene) error {
	st, existing := newStore(), newResults()
	st.put("op/config", draftConfiguration(7))
	regions := map[string]string{"norte-adega": "norte", "norte-linha": "norte"}
	zones := []string{"norte-adega", "norte-linha", "norte-adega"}
	gateways, err := newGateways(s.folder, zones, regions, st)
	if err != nil {
		return err
	}
	var stages []*stageReplica
	for i, service := range []string{"etiquetagem", "etiquetagem", "faturacao"} {
		p, err := startStageReplica(fmt.Sprintf("i-%08x", 0x5a000001+i), service, zones[i%2], existing, s.record)
		if err != nil {
			return err
		}
		defer p.exit()
		st.put(p.key(), p.entry("ready", 1))
		stages = append(stages, p)
	}
	model, err := startModelReplica("i-6b000001", "assistente-ml", zones[0], existing, s.record)
	if err != nil {
		return err
	}
	defer model.exit()
	st.put(model.key(), model.entry("ready", 1))
	ledger, err := startReplica("i-7f3a0001", "registo-lotes", zones[0], 6, 30*time.Millisecond, s.record)
	if err != nil {
		return err
	}
	defer ledger.exit()
	st.put(ledger.key(), ledger.entry("ready", 1))
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	if err := startAll(gateways); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)

	c := &clients{record: s.record}
	sent := map[string]bool{}
	var mu sync.Mutex
	for i := range draftRequest {
		c.wait.Go(func() {
			a := c.sendDraft(gateways[i%len(gateways)], i)
			mu.Lock()
			sent[a.id] = true
			mu.Unlock()
		})
	}
	time.Sleep(crashDelay)
	crashed := stages[0]
	second := &replica{id: "i-7f3a0002", service: "registo-lotes", zone: crashed.zone, slots: 6, work: 30 * time.Millisecond, record: s.record, slot: make(chan struct{}, 6)}
	second.server = &http.Server{Handler: second}
	defer second.exit()
	if s.trouble {
		crashed.crash()
		s.record.say("stage replica %s at %s crashes", crashed.id, crashed.address)
		time.AfterFunc(lapseTime, func() { st.remove(crashed.key()) })
	}
	time.Sleep(reuseTime)
	address := "127.0.0.1:0"
	if s.trouble {
		address = crashed.address
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	second.address = listener.Addr().String()
	go func() { _ = second.server.Serve(listener) }()
	entry := second.entry("ready", 1)
	entry["born"] = time.Now().UnixMilli()
	st.put(second.key(), entry)
	s.record.say("ledger replica %s starts at %s", second.id, second.address)
	time.Sleep(watchTime)
	c.wait.Wait()
	unasked, first := 0, ""
	for _, p := range []*replica{ledger, second} {
		for _, run := range p.takeRuns() {
			if !sent[run.id] {
				if unasked++; first == "" {
					first = fmt.Sprintf("%s (%s) ran request %s, which no client sent", p.id, p.service, run.id)
				}
			}
		}
	}
	s.record.say("answers by status: %v", c.byStatus())
	if unasked > 0 {
		return errBroken{fmt.Sprintf("UNASKED: %d requests; the first: %s", unasked, first)}
	}
	return nil
}
