package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Profile of the stage replicas, as on the sheet.
const (
	stageBatch    = 8
	callTime      = 200 * time.Millisecond
	pieceTime     = 21 * time.Millisecond
	resultLife    = 4 * time.Second // handle-s
	maxStageQueue = 2
)

// results are the handles of the results that exist, with their end.
type results struct {
	mu  sync.Mutex
	end map[string]time.Time
}

func newResults() *results { return &results{end: map[string]time.Time{}} }

func (r *results) add(address string) string {
	handle := address + "/" + newID()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end[handle] = time.Now().Add(resultLife)
	return handle
}

func (r *results) exist(handles []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, handle := range handles {
		if end, ok := r.end[handle]; !ok || time.Now().After(end) {
			return false
		}
	}
	return true
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, handle := range handles {
		delete(r.end, handle)
	}
}

// drop removes the results of a replica that has ended.
func (r *results) drop(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for handle := range r.end {
		if strings.HasPrefix(handle, address+"/") {
			delete(r.end, handle)
		}
	}
}

// stageReplica is a stand-in for a replica of a stage service (PROTOCOL.md, "Stages").
type stageReplica struct {
	replica
	results *results
	queued  chan struct{}
}

func startStageReplica(id, service, zone string, existing *results, r *record) (*stageReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &stageReplica{results: existing, queued: make(chan struct{}, 1+maxStageQueue)}
	p.id, p.service, p.zone, p.address, p.slots, p.record = id, service, zone, listener.Addr().String(), 1, r
	p.slot = make(chan struct{}, 1)
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// crash ends the replica and its results.
func (p *stageReplica) crash() {
	p.exit()
	p.results.drop(p.address)
}

func (p *stageReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Attempt-Id"); id != "" {
		w.Header().Set("Request-Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/coltsfootdrift/stage-run":
		p.run(w, r)
	case "/coltsfootdrift/stage-free":
		var free struct {
			Handles []string `json:"handles"`
		}
		_ = json.NewDecoder(r.Body).Decode(&free)
		p.results.free(free.Handles)
		fmt.Fprint(w, "{}")
	case "/coltsfootdrift/report":
		fmt.Fprintf(w, `{"waiting":%d,"busy":%d,"free-mb":18,"born":%d}`, max(0, len(p.queued)-1), len(p.slot), p.record.start.UnixMilli())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (p *stageReplica) run(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []struct {
			ID     string   `json:"id"`
			Stage  int      `json:"stage"`
			Piece  int      `json:"piece"`
			Inputs []string `json:"inputs"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case p.queued <- struct{}{}:
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.queued }()
	p.slot <- struct{}{}
	defer func() { <-p.slot }()
	type outcome struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	outcomes := make([]outcome, len(call.Items))
	for i, item := range call.Items {
		if !p.results.exist(item.Inputs) {
			outcomes[i].Reason = "gone"
		}
	}
	time.Sleep(callTime + time.Duration(len(call.Items))*pieceTime)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited {
		panic(http.ErrAbortHandler)
	}
	for i := range outcomes {
		if outcomes[i].Reason == "" {
			outcomes[i].Handle = p.results.add(p.address)
		}
	}
	p.record.add("stage   call of %d pieces at %s (%s)", len(outcomes), p.id, p.service)
	answerJSON(w, http.StatusOK, map[string]any{"items": outcomes})
}

// modelReplica is a stand-in for a model replica, which answers with a short stream.
type modelReplica struct {
	replica
	results *results
}

func startModelReplica(id, service, zone string, existing *results, r *record) (*modelReplica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &modelReplica{results: existing}
	p.id, p.service, p.zone, p.address, p.slots, p.record = id, service, zone, listener.Addr().String(), 64, r
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *modelReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Attempt-Id")
	w.Header().Set("Request-Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.id {
		w.Header().Set("Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/coltsfootdrift/report":
		fmt.Fprintf(w, `{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"waiting":0,"running":0,"kv-used":0,"kv-total":373616,"handles":0,"born":%d}`, p.record.start.UnixMilli())
		return
	case "/coltsfootdrift/kv-list":
		fmt.Fprint(w, `{"epoch":1,"next":1,"held":[]}`)
		return
	}
	if inputs := r.Header.Get("Inputs"); inputs == "" || !p.results.exist(strings.Split(inputs, ",")) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.mu.Lock()
	p.runs = append(p.runs, run{id, r.Header.Get("Via-Gateway"), time.Now()})
	p.mu.Unlock()
	p.record.add("run     %s at %s", id, p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", p.id+"."+id)
	for i := range 4 {
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(w, "id: "+strconv.Itoa(i+1)+"\ndata: t\n\n")
		w.(http.Flusher).Flush()
	}
}
