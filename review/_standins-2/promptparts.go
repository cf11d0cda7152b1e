package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["promptparts"] = playPromptParts }

// The crowd, and the ordinary callers of an idempotent route beside it.
const (
	crowdConnections = 80
	crowdTime        = 25 * time.Second
	// headerBytes is the size of the crowd's largest header. A whole head is within
	// max-header-bytes, 16,384.
	promptHeaderBytes = 15000
	lookTimeout       = 1500 * time.Millisecond
	lookGap           = 250 * time.Millisecond
	// lateAfter is how long after the timeout-ms of its route a request may be unanswered.
	lateAfter = 500 * time.Millisecond
)

// longPrompt returns a Prompt-Prefix of many parts that no other request has.
func longPrompt(crowd, n int) string {
	var text strings.Builder
	for i := 0; text.Len() < promptHeaderBytes; i++ {
		fmt.Fprintf(&text, "%x:1,", crowd<<32|n<<16|i)
	}
	return text.String() + "ab:1"
}

func playPromptParts(s *scene) {
	d := &deployment{store: newStoreStandin(), runs: &runs{}}
	d.storeAddress = serve(d.store)
	configuration := newConfiguration(1)
	configuration["routes"].([]object)[2]["timeout-ms"] = lookTimeout.Milliseconds()
	d.store.put("op/config", configuration)
	for i, zone := range []string{"norte-adega", "norte-linha"} {
		for _, r := range []*replica{
			{service: modelService, slots: 64, events: 3, eventGap: 5 * time.Millisecond},
			{service: plainService, slots: 6, work: 15 * time.Millisecond},
		} {
			r.id, r.zone, r.runs = fmt.Sprintf("i-%s%d", r.service, i), zone, d.runs
			d.add(startReplica(r))
		}
	}
	g := newGateway(s.folder, "front-1", freeAddress(), gatewayOptions{zone: "norte-adega", memoryMB: 284, maxFDs: 4100, store: d.storeAddress})
	g.start()
	if !g.awaitReady(10 * time.Second) {
		fatal("gateway is not ready")
	}
	time.Sleep(5 * time.Second) // the machine is in touch
	end := time.Now().Add(crowdTime)
	var group sync.WaitGroup
	var crowdSent, crowdAnswered atomic.Int64
	for crowd := range crowdConnections {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prompt := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
				if s.trouble {
					prompt = longPrompt(crowd, n)
				}
				crowdSent.Add(1)
				a := send(g.client, "POST", pathStream+"2f", newID(), 6*time.Second, map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": prompt}, "{}")
				if a.err == nil {
					crowdAnswered.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	var sent, unanswered, late atomic.Int64
	time.Sleep(3 * time.Second)
	for time.Now().Before(end) {
		group.Go(func() {
			sent.Add(1)
			id, began := newID(), time.Now()
			a := send(g.client, "GET", pathLook+"2f", id, 5*time.Second, map[string]string{"Deadline-Ms": "1500"}, "")
			took := time.Since(began)
			if took > lookTimeout {
				unanswered.Add(1)
			}
			if took > lookTimeout+lateAfter {
				late.Add(1)
			}
			s.note("look %s: %v after %d ms", id, a, took.Milliseconds())
		})
		time.Sleep(lookGap)
	}
	group.Wait()
	s.note("crowd: %d sent, %d answered; ordinary: %d sent, %d unanswered at timeout-ms, %d of them half a second later", crowdSent.Load(), crowdAnswered.Load(), sent.Load(), unanswered.Load(), late.Load())
	if unanswered.Load() > 0 && 2*late.Load() > unanswered.Load() {
		s.breakRule("CONFIG: %d of %d requests unanswered at their route's timeout-ms had no answer half a second later", late.Load(), unanswered.Load())
	}
}
