package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in of a replica. It is sound: it runs what it gets and answers it whole.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	slots   int
	born    int64
	// serve answers a request that is run.
	serve func(rw http.ResponseWriter, r *http.Request)

	running atomic.Int64
	mu      sync.Mutex
	state   string
	// runs are the requests that it has run.
	runs []servedRun
}

// servedRun is a request that a replica has run.
type servedRun struct {
	id, path string
	at       time.Time
}

// leave reports that the replica is draining. It goes on serving.
func (p *replica) leave() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.register(-1)
}

// runsAfter returns the number of requests that the replica has run after a time.
func (p *replica) runsAfter(at time.Time) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.at.After(at) {
			n++
		}
	}
	return n
}

// startReplica starts a replica, which registers itself.
func (w *world) startReplica(id, service, zone string, slots int, serve func(http.ResponseWriter, *http.Request)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{w: w, id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), serve: serve, state: "ready"}
	go func() { _ = http.Serve(l, p) }()
	p.register(0)
	go func() {
		for sequence := 1; ; sequence++ {
			select {
			case <-time.After(heartbeat):
				p.register(sequence)
			case <-w.stopped:
				return
			}
		}
	}()
	return p, nil
}

// register writes the replica's entry.
func (p *replica) register(sequence int) {
	p.mu.Lock()
	state := p.state
	p.mu.Unlock()
	p.w.store.put("servers/"+p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state,
		"cold-remaining-ms": 0, "stage": "unified", "models": []map[string]string{{"name": "m"}}, "sequence": sequence, "born": p.born,
	})
}

func (p *replica) load() string { return fmt.Sprintf("%d,0,%d", p.running.Load(), p.slots) }

func (p *replica) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	header.Set("Replica-Id", p.id)
	header.Set("Replica-Load", p.load())
	header.Set("Request-Attempt-Id", r.Header.Get("Request-Attempt-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		return
	case "/coltsfootdrift/report":
		answer(rw, map[string]any{"stage": "unified", "models": []any{}, "busy": false, "sequence": 0, "waiting": 0,
			"running": p.running.Load(), "kv-used": 0, "kv-total": 373616, "handles": 0, "born": p.born})
		return
	case "/coltsfootdrift/kv-list":
		answer(rw, map[string]any{"epoch": 1, "next": 1, "held": []any{}, "born": p.born})
		return
	}
	if strings.HasPrefix(r.URL.Path, "/coltsfootdrift/stage-") {
		p.serve(rw, r)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/coltsfootdrift/") {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, servedRun{r.Header.Get("Request-Attempt-Id"), r.URL.Path, time.Now()})
	p.mu.Unlock()
	p.running.Add(1)
	defer p.running.Add(-1)
	header.Set("Response-Signature", "s."+p.id+"."+r.Header.Get("Request-Attempt-Id"))
	p.serve(rw, r)
}

// serveStream answers with a stream of events of a size, without pauses.
func serveStream(events, bytes int) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		rw.Header().Set("Content-Type", "text/event-stream")
		for i := range events {
			fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", bytes))
		}
	}
}
