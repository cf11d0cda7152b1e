package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that reached a replica and was run.
type run struct {
	id, gateway string
	at          time.Time
}

// replica is a stand-in for a replica of a plain service (PROTOCOL.md, "Replicas").
type replica struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	record                     *record
	server                     *http.Server
	slot                       chan struct{}

	mu     sync.Mutex
	runs   []run
	ended  int
	exited bool
}

func startReplica(id, service, zone string, slots int, work time.Duration, r *record) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, service: service, zone: zone, address: listener.Addr().String(), slots: slots, work: work, record: r, slot: make(chan struct{}, slots)}
	p.server = &http.Server{Handler: p, IdleTimeout: 10 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// entry is what the replica registers in the store.
func (p *replica) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": state,
		"cold-remaining-ms": 0, "sequence": sequence, "born": p.record.start.UnixMilli(),
	}
}

func (p *replica) key() string { return "servers/" + p.id }

// exit ends the replica as its process would: it closes all connections.
func (p *replica) exit() {
	p.mu.Lock()
	p.exited = true
	p.mu.Unlock()
	p.server.Close()
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	if id != "" {
		w.Header().Set("Request-Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Replica-Id", p.id)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case p.slot <- struct{}{}:
	case <-time.After(200 * time.Millisecond):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slot }()
	p.mu.Lock()
	// The client of the stand-ins names in a header of its own the gateway that it calls.
	p.runs = append(p.runs, run{id, r.Header.Get("Via-Gateway"), time.Now()})
	p.mu.Unlock()
	p.record.add("run     %s at %s from %s: %s %s", id, p.id, r.Header.Get("Via-Gateway"), r.Method, r.URL.Path)
	time.Sleep(p.work)
	p.mu.Lock()
	p.ended++
	exited := p.exited
	p.mu.Unlock()
	if exited {
		panic(http.ErrAbortHandler)
	}
	body := fmt.Sprintf("%s ran %s\n", p.id, id)
	w.Header().Set("Response-Signature", p.id+"."+id)
	w.Header().Set("Replica-Load", fmt.Sprintf("%d,0,%d,100", len(p.slot), p.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// takeRuns returns the runs so far.
func (p *replica) takeRuns() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.runs...)
}
