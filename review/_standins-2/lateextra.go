package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["lateextra"] = playLateExtra }

// The traffic of the case: streams that may run once, before the disturbed one.
const (
	pathCheck       = "/cufi501/" // stream that may not be resumed, with stages
	ordinaryStreams = 120
	parallelStreams = 8
	// maxExtraShare is the share of a replica's answers that may come a second time.
	maxExtraShare = 0.03
	// slowFetch is how long the replica takes to fetch the inputs of the disturbed request.
	slowFetch = 800 * time.Millisecond
)

// faultyReplica chooses which request the replica is slow to fetch the inputs of, and whose
// answer it sends a second time.
type faultyReplica struct {
	trouble bool

	mu sync.Mutex
	// chosen is the request, empty before it is sent; sends counts its sends to the replica.
	chosen         string
	sends          int
	answers, extra int
}

func (f *faultyReplica) fetchDelay(r *http.Request) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if r.Header.Get("Request-Attempt-Id") != f.chosen {
		return 0
	}
	if f.sends++; f.sends > 1 {
		return 0
	}
	return slowFetch
}

func (f *faultyReplica) repeats(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.trouble || id != f.chosen || f.extra > 0 {
		return false
	}
	f.extra++
	return true
}

// playLateExtra plays a replica that answers a request with 409 and Not-Executed, because its
// inputs are gone, and sends that answer a second time where the next one is expected. The
// gateway has the inputs made again and sends the same request to the same replica.
func playLateExtra(s *scene) {
	d := &deployment{store: newStoreStandin(), runs: &runs{}}
	d.storeAddress = serve(d.store)
	configuration := newConfiguration(1)
	configuration["routes"] = append(configuration["routes"].([]object), object{
		"name": "r-check", "host": host, "prefix": pathCheck, "kind": "stream", "timeout-ms": 6000, "target-latency-ms": 2500, "priority": 1, "max-attempts": 1,
		"service": modelService, "public": false, "resumable": false, "sticky": true, "target-gap-ms": 200,
		"stages": []object{{"service": stageService, "after": []int{}, "bytes": 8000}},
	})
	d.store.put("op/config", configuration)
	held := &heldResults{live: map[string]bool{}}
	for _, id := range []string{"i-stage1", "i-stage2", "i-stage3"} {
		d.add(startReplica(&replica{id: id, service: stageService, zone: "norte-adega", slots: 1, work: 200 * time.Millisecond, runs: d.runs, held: held}))
	}
	fault := &faultyReplica{trouble: s.trouble}
	m := &modelReplica{
		replica: &replica{id: "i-model1", service: modelService, zone: "norte-adega", slots: 64, events: 3, eventGap: 5 * time.Millisecond, runs: d.runs},
		held:    held, note: s.note, fetchDelay: fault.fetchDelay, repeats: fault.repeats,
	}
	m.start()
	d.add(m.replica)
	g := newGateway(s.folder, "front-norte-adega-1", freeAddress(), gatewayOptions{zone: "norte-adega", memoryMB: 284, maxFDs: 4100, store: d.storeAddress})
	g.start()
	if !g.awaitReady(10 * time.Second) {
		fatal("gateway is not ready")
	}
	time.Sleep(5 * time.Second)
	headers := map[string]string{"Model": "m", "Token-Usage": "1460,80", "Prompt-Prefix": "5c1e07a2:800,e4402b7d:250", "Pieces": "2", "Piece-Key": "7c1e07a291bd"}
	request := func(id string) {
		a := send(g.client, "POST", pathCheck+"2f", id, 6*time.Second, headers, "{}")
		time.Sleep(200 * time.Millisecond)
		ran := len(modelRuns(d.runs, id))
		s.note("request %s: the client gets %v; runs at model replicas: %d", id, a, ran)
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && ran > 0 {
			s.breakRule("REFUSED: request %s may run once, was answered %d and has run", id, a.status)
		}
		if ran > 1 {
			s.breakRule("TWICE: request %s ran %d times", id, ran)
		}
	}
	var group sync.WaitGroup
	for range parallelStreams {
		group.Go(func() {
			for range ordinaryStreams / parallelStreams {
				request(newID())
			}
		})
	}
	group.Wait()
	chosen := newID()
	fault.mu.Lock()
	fault.chosen = chosen
	fault.mu.Unlock()
	s.note("request %s is the one whose inputs the replica fetches after %v", chosen, slowFetch)
	request(chosen)
	time.Sleep(time.Second)
	s.note("%d answers of the replica to streams, %d of them sent a second time", fault.answers, fault.extra)
	if float64(fault.extra) > maxExtraShare*float64(fault.answers) {
		fatal("more extra answers than the pages allow")
	}
}

// modelRuns returns the runs of a request at model replicas.
func modelRuns(r *runs, id string) (found []run) {
	for _, one := range r.of(id) {
		if one.Service == modelService {
			found = append(found, one)
		}
	}
	return found
}
