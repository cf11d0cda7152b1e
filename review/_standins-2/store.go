package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the removal of one in the events of a watch.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// storeStandin is the platform's store. It keeps its whole history and its leases never end.
type storeStandin struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{}
	leases   int64
}

func newStoreStandin() *storeStandin {
	return &storeStandin{items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key. The time at which it returns is that of the acknowledgement.
func (s *storeStandin) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Value: data})
}

// remove removes a key.
func (s *storeStandin) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Tombstone: true})
}

// set applies one change. It is called with the lock held.
func (s *storeStandin) set(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	if i.Tombstone {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/coltsfootdrift/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case path == "/coltsfootdrift/kv-watch":
		s.watch(w, r)
	case path == "/coltsfootdrift/kv-txn":
		s.transact(w, r)
	case path == "/coltsfootdrift/kv-lease":
		s.mu.Lock()
		s.leases++
		id := s.leases
		s.mu.Unlock()
		answerJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl-ms": 600000})
	case strings.HasPrefix(path, "/coltsfootdrift/kv-keep/"):
		answerJSON(w, http.StatusOK, map[string]int64{"ttl-ms": 600000})
	case strings.HasPrefix(path, "/coltsfootdrift/kv-lease-end/"):
		answerJSON(w, http.StatusOK, map[string]int64{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 500

func (s *storeStandin) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	truncated := len(keys) > pageItems
	if truncated {
		keys = keys[:pageItems]
	}
	found := []item{}
	for _, key := range keys {
		found = append(found, s.items[key])
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": found, "truncated": truncated, "store-revision": max(1, s.revision)})
}

func (s *storeStandin) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, q.Get("prefix")) {
				found = append(found, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answerJSON(w, http.StatusOK, map[string]any{"events": found, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			answerJSON(w, http.StatusOK, map[string]any{"events": []item{}, "store-revision": max(1, revision)})
			return
		}
	}
}

func (s *storeStandin) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		SetKeys []item   `json:"set-keys"`
		Remove  []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflicts := []item{}
	for _, p := range t.Precondition {
		if known := s.items[p.Key]; known.Revision != p.Revision {
			known.Key = p.Key
			conflicts = append(conflicts, known)
		}
	}
	if len(conflicts) > 0 {
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"items": conflicts})
		return
	}
	for _, i := range t.SetKeys {
		s.set(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, key := range t.Remove {
		s.set(item{Key: key, Tombstone: true})
	}
	answerJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}
