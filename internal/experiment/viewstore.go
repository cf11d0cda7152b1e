package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/transfer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// viewStore is the store of the experiment views. It keeps all changes.
type viewStore struct {
	mu      sync.Mutex
	version store.Version
	entries map[string]store.Entry
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newViewStore() *viewStore {
	return &viewStore{entries: map[string]store.Entry{}, changed: make(chan struct{})}
}

func (s *viewStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.entries[key] = store.Entry{Key: key, Value: value, Version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the entries with a prefix that changed after a version.
func (s *viewStore) after(prefix string, version store.Version) (result store.WatchResult, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result.Version = s.version
	for key, e := range s.entries {
		if e.Version > version && strings.HasPrefix(key, prefix) {
			result.Changed = append(result.Changed, e)
		}
	}
	return result, s.changed
}

// ServeHTTP returns the entries with the prefix "prefix" that changed after the version
// "after", and waits "wait_ms" for some, or writes the key "key".
func (s *viewStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if r.Method == http.MethodPut {
		value, err := io.ReadAll(r.Body)
		if err == nil {
			s.put(query.Get("key"), value)
		}
		return
	}
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		result, changed := s.after(query.Get("prefix"), store.Version(after))
		if len(result.Changed) > 0 || wait == 0 {
			_ = json.NewEncoder(w).Encode(result) // the caller may be gone
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// viewStoreClient is a client of a viewStore. It implements gateway.Store.
type viewStoreClient struct {
	http    *http.Client
	address string
}

// viewStoreLimits bound the reads of a viewStoreClient.
var viewStoreLimits = transfer.Limits{Start: time.Second, Stall: 1500 * time.Millisecond, MinBytes: 4 << 10}

func newViewStoreClient(address string, dial transfer.DialFunc) *viewStoreClient {
	transport := &http.Transport{DialContext: dial.WithTimeout(500 * time.Millisecond)}
	return &viewStoreClient{&http.Client{Transport: transfer.Transport{Next: transport, Limits: viewStoreLimits}}, address}
}

func (c *viewStoreClient) read(ctx context.Context, prefix string, after store.Version, wait time.Duration, options view.CallOptions) (result store.WatchResult, err error) {
	ctx = transfer.WithCall(ctx, wait+viewStoreLimits.Start, options.OnData)
	if options.NewConnection {
		c.http.CloseIdleConnections()
	}
	query := url.Values{"prefix": {prefix}, "after": {fmt.Sprint(int64(after))}, "wait_ms": {fmt.Sprint(wait.Milliseconds())}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/?"+query.Encode(), nil)
	if err != nil {
		return result, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result, err
	}
	defer response.Body.Close()
	return result, json.NewDecoder(response.Body).Decode(&result)
}

// Snapshot implements view.Source.
func (c *viewStoreClient) Snapshot(ctx context.Context, _ bool, options view.CallOptions) ([]store.Entry, store.Version, error) {
	result, err := c.read(ctx, "", 0, 0, options)
	return result.Changed, result.Version, err
}

// Watch implements view.Source.
func (c *viewStoreClient) Watch(ctx context.Context, prefix string, after store.Version, options view.CallOptions) (store.WatchResult, error) {
	wait := time.Second
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = max(0, time.Until(deadline))
	}
	// The store answers at the end of the wait, so only the end of the caller ends the call.
	callCtx, cancel := transfer.WithoutDeadline(ctx)
	defer cancel()
	return c.read(callCtx, prefix, after, wait, options)
}

// ListStale implements gateway.RegistrationStore.
func (c *viewStoreClient) ListStale(ctx context.Context, prefix string) ([]store.Entry, error) {
	result, err := c.read(ctx, prefix, 0, 0, view.CallOptions{})
	return result.Changed, err
}

// GrantLease implements gateway.RegistrationStore. Leases do not expire.
func (c *viewStoreClient) GrantLease(context.Context, time.Duration) (store.LeaseID, error) {
	return 1, nil
}

// KeepAlive implements gateway.RegistrationStore.
func (c *viewStoreClient) KeepAlive(context.Context, store.LeaseID) error { return nil }

// CompareAndSwap implements gateway.RegistrationStore. It writes unconditionally: each
// instance writes a key of its own.
func (c *viewStoreClient) CompareAndSwap(ctx context.Context, key string, _ store.Version, value []byte, _ store.LeaseID) (store.Version, error) {
	target := "http://" + c.address + "/?" + url.Values{"key": {key}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(value))
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	return 1, response.Body.Close()
}

// viewConfiguration is the value of the configuration in the experiment views.
type viewConfiguration struct {
	Version int64
	// Routes make the value as large as a configuration with so many routes.
	Routes []string
}

const (
	viewConfigurationKey = "configuration"
	viewServerPrefix     = "servers/"
)

// viewDecoder decodes the entries of a viewStore.
type viewDecoder struct{}

// Kind implements view.Decoder.
func (viewDecoder) Kind(key string) view.KeyKind {
	switch {
	case key == viewConfigurationKey:
		return view.KeyConfiguration
	case strings.HasPrefix(key, viewServerPrefix):
		return view.KeyServer
	}
	return view.KeyOther
}

// Configuration implements view.Decoder.
func (viewDecoder) Configuration(value []byte) (route.Configuration, error) {
	var c viewConfiguration
	err := json.Unmarshal(value, &c)
	return route.Configuration{Version: c.Version}, err
}

// EvacuatedDomain implements view.Decoder. The store of the experiments holds no evacuations.
func (viewDecoder) EvacuatedDomain(string) (string, error) {
	return "", errors.ErrUnsupported
}

// Server implements view.Decoder.
func (viewDecoder) Server(_ string, value []byte) (s view.Server, err error) {
	return s, json.Unmarshal(value, &s)
}
