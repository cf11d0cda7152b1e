package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a replica ran.
type run struct {
	ID, Replica, Service, Path, Tenant string
	// Key is the key that a piece was asked for with.
	Key string
	At  time.Time
}

// runs records what all replicas ran.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// of returns the runs of the request with an id.
func (r *runs) of(id string) (found []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.all {
		if one.ID == id {
			found = append(found, one)
		}
	}
	return found
}

// replica is a sound replica: a plain one, one that runs pieces of stages, or a model replica.
type replica struct {
	id, service, address, zone string
	slots                      int
	events                     int
	eventGap                   time.Duration
	work                       time.Duration
	runs                       *runs
	sequence                   atomic.Int64
	born                       int64
	listener                   net.Listener
	// held records the results of stages; nil when nobody asks for them.
	held *heldResults
	// before is called with each client request, before it runs; nil for nothing. It returns
	// true when it has answered the request itself.
	before func(w http.ResponseWriter, r *http.Request) bool
}

func startReplica(r *replica) *replica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("replica: %v", err)
	}
	r.listener, r.address, r.born = listener, listener.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: r}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return r
}

// entry returns what the replica writes into the store about itself.
func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": state, "cold-remaining-ms": 0, "sequence": r.sequence.Add(1), "born": r.born,
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Attempt-Id")
	if id != "" {
		w.Header().Set("Request-Attempt-Id", id)
	}
	w.Header().Set("Replica-Id", r.id)
	w.Header().Set("Replica-Load", fmt.Sprintf("0,0,%d", r.slots))
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/coltsfootdrift/report":
		answerJSON(w, http.StatusOK, map[string]any{"stage": "unified", "models": []any{}, "busy": false, "sequence": 1, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 300000, "handles": 0, "born": r.born, "free-mb": 10})
	case "/coltsfootdrift/kv-list":
		answerJSON(w, http.StatusOK, map[string]any{"epoch": 1, "next": 1, "held": []any{}})
	case "/coltsfootdrift/stage-run":
		r.runPieces(w, body)
	case "/coltsfootdrift/stage-free":
		r.freeResults(body)
		w.WriteHeader(http.StatusOK)
	default:
		if r.before != nil && r.before(w, request) {
			return
		}
		r.serve(w, request, id)
	}
}

func (r *replica) runPieces(w http.ResponseWriter, body []byte) {
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
			Key   string `json:"key"`
		} `json:"items"`
	}
	if json.Unmarshal(body, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(r.work)
	type result struct {
		Handle string `json:"handle"`
	}
	results := []result{}
	for _, i := range call.Items {
		r.runs.add(run{ID: i.ID, Replica: r.id, Service: r.service, Path: fmt.Sprintf("stage %d piece %d", i.Stage, i.Piece), Key: i.Key, At: time.Now()})
		handle := r.address + "/" + newID()
		if r.held != nil {
			r.held.add(handle)
		}
		results = append(results, result{handle})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": results})
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request, id string) {
	r.runs.add(run{ID: id, Replica: r.id, Service: r.service, Path: request.URL.Path, Tenant: request.Header.Get("Tenant"), At: time.Now()})
	w.Header().Set("Response-Signature", "sig-"+r.id+"-"+id)
	if r.events == 0 {
		time.Sleep(r.work)
		w.Header().Set("Content-Type", "text/plain")
		fmt.Fprintf(w, "answer of %s to %s", r.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= r.events; n++ {
		select {
		case <-time.After(r.eventGap):
		case <-request.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
	}
}

func (r *replica) freeResults(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(body, &call) != nil || r.held == nil {
		return
	}
	for _, handle := range call.Handles {
		r.held.free(handle)
	}
}
