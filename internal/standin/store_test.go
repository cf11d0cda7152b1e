package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// storeClient calls a stand-in store over HTTP.
type storeClient struct {
	*qt.C
	*Store
	url string
}

func startStore(t *testing.T) *storeClient {
	s := &storeClient{C: qt.New(t), Store: NewStore()}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// call sends a request and decodes the answer. It returns the status, 0 when there is
// no answer.
func (s *storeClient) call(method, path, body string, into any) int {
	request, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	s.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if into != nil {
		s.Assert(json.NewDecoder(response.Body).Decode(into), qt.IsNil)
	}
	return response.StatusCode
}

func (s *storeClient) put(key string, expect store.Version, value string) (int, store.Version) {
	var written struct{ Version, Current store.Version }
	status := s.call(http.MethodPut, fmt.Sprintf("/v1/kv/%s?expect=%d", key, expect), value, &written)
	return status, max(written.Version, written.Current)
}

// Guards against a write that takes effect although the key has another version.
func TestCompareAndSwap(t *testing.T) {
	s := startStore(t)
	status, first := s.put("a/b", 0, "1")
	s.Assert(status, qt.Equals, http.StatusOK)
	status, current := s.put("a/b", 0, "2")
	s.Assert(status, qt.Equals, http.StatusConflict)
	s.Assert(current, qt.Equals, first)
	status, second := s.put("a/b", first, "3")
	s.Assert(status, qt.Equals, http.StatusOK)
	s.Assert(second > first, qt.IsTrue)
	s.Assert(s.call(http.MethodDelete, fmt.Sprintf("/v1/kv/a/b?expect=%d", first), "", nil), qt.Equals, http.StatusConflict)

	var entry store.WireEntry
	s.Assert(s.call(http.MethodGet, "/v1/kv/a/b", "", &entry), qt.Equals, http.StatusOK)
	s.Assert(entry.Entry(), qt.DeepEquals, store.Entry{Key: "a/b", Value: []byte("3"), Version: second})
	s.Assert(s.call(http.MethodDelete, fmt.Sprintf("/v1/kv/a/b?expect=%d", second), "", nil), qt.Equals, http.StatusOK)
	s.Assert(s.call(http.MethodGet, "/v1/kv/a/b", "", nil), qt.Equals, http.StatusNotFound)
	tooLarge := strings.Repeat("x", store.MaxValueBytes+1)
	s.Assert(s.call(http.MethodPut, "/v1/kv/large?expect=0", tooLarge, nil), qt.Equals, http.StatusRequestEntityTooLarge)
}

// Guards against pages of a list that repeat or skip a key, or have keys without the
// prefix.
func TestListPages(t *testing.T) {
	s := startStore(t)
	for _, key := range []string{"p/1", "p/2", "p/3", "q/1", "o/9"} {
		s.put(key, 0, key)
	}
	var keys []string
	after := ""
	for {
		var page store.WireList
		s.call(http.MethodGet, "/v1/kv?prefix=p/&limit=2&after="+after, "", &page)
		if len(page.Entries) == 0 {
			break
		}
		for _, entry := range page.Entries {
			keys = append(keys, entry.Key)
		}
		after = keys[len(keys)-1]
	}
	s.Assert(keys, qt.DeepEquals, []string{"p/1", "p/2", "p/3"})
}

// Guards against a write with a lost answer that does not take effect, and against a
// refused call that does.
func TestStoreFaultsMatchTheirEffects(t *testing.T) {
	s := startStore(t)
	faults := s.Faults()
	s.Assert(s.call(http.MethodPut, PathFaults, `{"lose_next": 1}`, nil), qt.Equals, http.StatusOK)
	s.Assert(s.call(http.MethodPut, "/v1/kv/k?expect=0", "v", nil), qt.Equals, 0)
	s.Assert(s.call(http.MethodGet, "/v1/kv/k", "", nil), qt.Equals, http.StatusOK)

	s.Assert(s.call(http.MethodPut, PathFaults, `{"outage": true}`, nil), qt.Equals, http.StatusOK)
	s.Assert(s.call(http.MethodPut, "/v1/kv/l?expect=0", "v", nil), qt.Equals, http.StatusServiceUnavailable)
	faults.WritesPerSecond = 0.001
	s.SetFaults(faults)
	s.Assert(s.call(http.MethodGet, "/v1/kv/l", "", nil), qt.Equals, http.StatusNotFound)
	s.put("m", 0, "v")
	status := s.call(http.MethodPut, "/v1/kv/n?expect=0", "v", nil)
	s.Assert(status, qt.Equals, http.StatusTooManyRequests)
	s.Assert(s.call(http.MethodGet, "/v1/kv/n", "", nil), qt.Equals, http.StatusNotFound)

	counts := s.Counts()
	s.Assert(counts.Writes, qt.Equals, int64(2))
	s.Assert([]int64{counts.Lost, counts.Unavailable, counts.OverRate}, qt.DeepEquals, []int64{1, 1, 1})
}

// Guards against a stale read that returns the current value.
func TestStaleRead(t *testing.T) {
	s := startStore(t)
	s.put("k", 0, "v")
	s.call(http.MethodPut, PathFaults, `{"stale_share": 1, "stale_ms": 60000}`, nil)
	s.Assert(s.call(http.MethodGet, "/v1/kv/k", "", nil), qt.Equals, http.StatusNotFound)
	status, _ := s.put("k", 0, "v")
	s.Assert(status, qt.Equals, http.StatusConflict)
}

// Guards against a watch that misses the end of a lease, or a change that was made
// before the watch started to wait.
func TestWatchReportsLeaseEnd(t *testing.T) {
	s := startStore(t)
	var lease store.WireLease
	s.call(http.MethodPost, "/v1/leases", `{"ttl_ms": 60000}`, &lease)
	s.call(http.MethodPut, fmt.Sprintf("/v1/kv/w/k?expect=0&lease=%d", lease.Lease), "v", nil)
	var first store.WireWatch
	s.call(http.MethodGet, "/v1/watch?prefix=w/&after=0", "", &first)
	s.Assert(first.Changed, qt.HasLen, 1)
	s.Assert(first.Changed[0].Lease, qt.Equals, lease.Lease)

	unchanged := store.WireWatch{}
	s.call(http.MethodGet, fmt.Sprintf("/v1/watch?prefix=w/&after=%d&wait_ms=1", first.Version), "", &unchanged)
	s.Assert(unchanged, qt.DeepEquals, store.WireWatch{Version: first.Version})

	deleted := make(chan store.WireWatch)
	go func() {
		var next store.WireWatch
		s.call(http.MethodGet, fmt.Sprintf("/v1/watch?prefix=w/&after=%d", first.Version), "", &next)
		deleted <- next
	}()
	for s.Counts().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	path := fmt.Sprintf("/v1/leases/%d", lease.Lease)
	s.Assert(s.call(http.MethodPost, path+store.KeepAliveSuffix, "", nil), qt.Equals, http.StatusOK)
	s.Assert(s.call(http.MethodDelete, path, "", nil), qt.Equals, http.StatusOK)
	s.Assert((<-deleted).Deleted, qt.DeepEquals, []string{"w/k"})
	s.Assert(s.call(http.MethodPost, path+store.KeepAliveSuffix, "", nil), qt.Equals, http.StatusNotFound)
}

// Guards against watches that were ended by an outage but still count as waiting.
func TestOutageEndsWaitingWatches(t *testing.T) {
	s := startStore(t)
	ended := make(chan int)
	go func() { ended <- s.call(http.MethodGet, "/v1/watch?prefix=w/&after=0", "", nil) }()
	for s.keys.waitingWatches() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.call(http.MethodPut, PathFaults, `{"outage": true}`, nil)
	s.Assert(<-ended, qt.Equals, 0)
	s.Assert(s.keys.waitingWatches(), qt.Equals, 0)
}
