package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its removal.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store. It is always sound.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	lease    int64
	items    map[string]item
	// events are the changes after the revision dropped, and times when they were made.
	events  []item
	times   []time.Time
	dropped int64
	changed chan struct{}
}

// history is how long the store keeps changes for watches.
const history = 20 * time.Second

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /coltsfootdrift/kv-key", s.get)
	mux.HandleFunc("GET /coltsfootdrift/kv-range", s.list)
	mux.HandleFunc("GET /coltsfootdrift/kv-watch", s.watch)
	mux.HandleFunc("POST /coltsfootdrift/kv-txn", s.transact)
	mux.HandleFunc("POST /coltsfootdrift/kv-lease", s.grant)
	mux.HandleFunc("POST /coltsfootdrift/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /coltsfootdrift/kv-lease-end/{id}", func(rw http.ResponseWriter, _ *http.Request) { answer(rw, struct{}{}) })
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func answer(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: data})
}

// putBytes writes keys in one transaction, each with the same bytes.
func (s *store) putBytes(keys []string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		s.change(item{Key: key, Value: value})
	}
}

// change is called with the lock held.
func (s *store) change(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events, s.times = append(s.events, i), append(s.times, time.Now())
	for time.Since(s.times[0]) > history {
		s.dropped = s.events[0].Revision
		s.events, s.times = s.events[1:], s.times[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	answer(rw, struct {
		item
		StoreRevision int64 `json:"store-revision"`
	}{i, s.revision})
}

// pageItems and pageBytes bound the items in one answer. The first one is always in it.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, bytes := 0, 0
	for n < len(items) && n < pageItems && (n == 0 || bytes+len(items[n].Value) <= pageBytes) {
		bytes += len(items[n].Value)
		n++
	}
	answer(rw, map[string]any{"items": items[:n], "truncated": n < len(items), "store-revision": s.revision})
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		events, revision, dropped, changed := []item{}, s.revision, s.dropped, s.changed
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if after < dropped {
			rw.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			answer(rw, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) transact(rw http.ResponseWriter, r *http.Request) {
	var txn struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		SetKeys []item   `json:"set-keys"`
		Remove  []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts := []item{}
	for _, p := range txn.Precondition {
		if known := s.items[p.Key]; known.Revision != p.Revision {
			known.Key = p.Key
			conflicts = append(conflicts, known)
		}
	}
	if len(conflicts) > 0 {
		rw.WriteHeader(http.StatusPreconditionFailed)
		answer(rw, map[string]any{"items": conflicts})
		return
	}
	for _, i := range txn.SetKeys {
		s.change(i)
	}
	for _, key := range txn.Remove {
		s.change(item{Key: key, Tombstone: true})
	}
	answer(rw, map[string]any{"revision": s.revision})
}

func (s *store) grant(rw http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mu.Lock()
	s.lease++
	lease := s.lease
	s.mu.Unlock()
	answer(rw, map[string]any{"lease": lease, "ttl-ms": request.TTL})
}

func (s *store) keep(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := id > 0 && id <= s.lease
	s.mu.Unlock()
	if !known {
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	fmt.Fprint(rw, `{"ttl-ms":600000}`)
}
