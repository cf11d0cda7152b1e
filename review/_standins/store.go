package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the event of its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store"): ranges, watches, transactions and leases, with linearizable answers.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	events    []item
	changed   chan struct{}
	lastLease int64
	leases    map[int64]time.Duration
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{}), leases: map[int64]time.Duration{}}
}

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.putBytes(key, data)
}

func (s *store) putBytes(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: value})
	return time.Now()
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; exists {
		s.change(item{Key: key, Tombstone: true})
	}
	return time.Now()
}

// change applies a change. It is called with the lock held.
func (s *store) change(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if known, exists := s.items[i.Key]; exists {
		i.Created = known.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// path is the way of one machine to the store: a listener of its own, so that the store can
// reset the calls of that machine while it serves the others.
type path struct {
	store   *store
	address string
	server  *http.Server

	mu       sync.Mutex
	resets   bool
	conns    map[net.Conn]bool
	watches  int
	lastCall time.Time
}

func (s *store) newPath() (*path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{store: s, address: listener.Addr().String(), conns: map[net.Conn]bool{}}
	p.server = &http.Server{Handler: p, ConnState: p.track}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *path) track(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}

// setResets has all calls of the machine answered by a connection reset, or ends that.
func (p *path) setResets(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = resets
	if resets {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// takeWatches returns the number of watches since the last call.
func (p *path) takeWatches() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.watches
	p.watches = 0
	return n
}

func (p *path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	resets := p.resets
	p.lastCall = time.Now()
	if strings.HasSuffix(r.URL.Path, "/kv-watch") {
		p.watches++
	}
	p.mu.Unlock()
	if resets {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			reset(conn)
		}
		return
	}
	time.Sleep(4 * time.Millisecond) // the answer time of the sheet
	s, query := p.store, r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch name := strings.TrimPrefix(r.URL.Path, "/coltsfootdrift/"); {
	case name == "kv-key":
		s.serveKey(w, query.Get("key"))
	case name == "kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case name == "kv-watch":
		s.serveWatch(r.Context(), w, query.Get("prefix"), query.Get("after"), query.Get("wait-ms"))
	case name == "kv-txn":
		s.serveTxn(w, r)
	case name == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(name, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(name, "kv-keep/"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, exists := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !exists {
		answerJSON(w, http.StatusNotFound, map[string]any{"store-revision": revision})
		return
	}
	answerJSON(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store-revision"`
	}{i, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "store-revision": revision})
}

func (s *store) serveWatch(ctx context.Context, w http.ResponseWriter, prefix, after, wait string) {
	afterRevision, _ := strconv.ParseInt(after, 10, 64)
	waitMS, _ := strconv.ParseInt(wait, 10, 64)
	end := time.NewTimer(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > afterRevision && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			case <-end.C:
				ended = true
			}
		}
		if len(events) > 0 || ended {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set-keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []item
	conflict := false
	for _, p := range txn.Precondition {
		known := s.items[p.Key]
		conflict = conflict || known.Revision != p.Revision
		known.Key = p.Key
		current = append(current, known)
	}
	if conflict {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.SetKeys {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.change(item{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	for _, key := range txn.Remove {
		s.change(item{Key: key, Tombstone: true})
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lastLease++
	lease := s.lastLease
	s.leases[lease] = time.Duration(request.TTLMS) * time.Millisecond
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"lease": lease, "ttl-ms": request.TTLMS})
}

// serveKeep renews a lease. No script lasts as long as a lease of the gateways, so that none
// runs out.
func (s *store) serveKeep(w http.ResponseWriter, id string) {
	lease, _ := strconv.ParseInt(id, 10, 64)
	s.mu.Lock()
	ttl, known := s.leases[lease]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "{}")
		return
	}
	answerJSON(w, http.StatusOK, map[string]any{"ttl-ms": ttl.Milliseconds()})
}
