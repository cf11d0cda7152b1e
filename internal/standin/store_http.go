package standin

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// defaultListLimit is the maximum number of entries of a list without a limit.
const defaultListLimit = 1000

// defaultWatchWait is the maximum wait of a watch without a wait time.
const defaultWatchWait = 30 * time.Second

// Store is a stand-in of the platform's key-value service.
type Store struct {
	keys   *keyspace
	faults *storeFaultInjector
}

// NewStore returns an empty store with the platform's rate limits.
func NewStore() *Store {
	return &Store{keys: newKeyspace(), faults: newStoreFaultInjector()}
}

// Faults returns the faults in force.
func (s *Store) Faults() StoreFaults { return s.faults.get() }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) { s.faults.set(faults) }

// Counts returns the numbers of calls so far.
func (s *Store) Counts() StoreCounts {
	counts := s.faults.copyCounts()
	counts.WaitingWatches = s.keys.waitingWatches()
	return counts
}

// Handler serves the protocol of the key-value service and the admin paths.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(PathFaults, serveFaults(s.Faults, s.SetFaults)).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc(PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	key := store.PathKeys + "{key:.+}"
	lease := store.PathLeases + "/{lease:[0-9]+}"
	router.HandleFunc(key, s.withFaults(callGet, s.get)).Methods(http.MethodGet)
	router.HandleFunc(key, s.withFaults(callWrite, s.write)).Methods(http.MethodPut)
	router.HandleFunc(key, s.withFaults(callDelete, s.remove)).Methods(http.MethodDelete)
	router.HandleFunc(store.PathList, s.withFaults(callList, s.list)).Methods(http.MethodGet)
	router.HandleFunc(store.PathWatch, s.withFaults(callWatch, s.watch)).Methods(http.MethodGet)
	router.HandleFunc(store.PathLeases, s.withFaults(callGrant, s.grant)).Methods(http.MethodPost)
	router.HandleFunc(lease+store.KeepAliveSuffix, s.withFaults(callKeepAlive, s.keepAlive)).Methods(http.MethodPost)
	router.HandleFunc(lease, s.withFaults(callRevoke, s.revoke)).Methods(http.MethodDelete)
	return router
}

// withFaults applies the rate limits and the faults to a call.
func (s *Store) withFaults(call storeCall, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, status := s.faults.begin(call)
		if !clock.Sleep(r.Context(), faults.delay()) {
			return
		}
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if call.writes() && s.faults.losesAnswer() {
			serve(discardWriter{http.Header{}}, r)
			// The panic closes the connection without an answer.
			panic(http.ErrAbortHandler)
		}
		serve(w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func keyParam(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, store.PathKeys)
}

// intParam returns the value of a query parameter, 0 when it is absent or malformed.
func intParam(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func leaseParam(r *http.Request) store.LeaseID {
	id, _ := strconv.ParseInt(mux.Vars(r)["lease"], 10, 64)
	return store.LeaseID(id)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, ok := s.keys.get(keyParam(r), s.faults.readTime())
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, store.WireEntry(entry))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	limit := int(intParam(r, store.ParamLimit))
	if limit <= 0 {
		limit = defaultListLimit
	}
	query := r.URL.Query()
	entries := s.keys.list(query.Get(store.ParamPrefix), query.Get(store.ParamAfter), limit, s.faults.readTime())
	writeJSON(w, http.StatusOK, store.WireList{Entries: wireEntries(entries)})
}

func wireEntries(entries []store.Entry) []store.WireEntry {
	wire := make([]store.WireEntry, len(entries))
	for i, entry := range entries {
		wire[i] = store.WireEntry(entry)
	}
	return wire
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(value) > store.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	lease := store.LeaseID(intParam(r, store.ParamLease))
	entry := store.Entry{Key: keyParam(r), Value: value, Lease: lease}
	version, err := s.keys.write(entry, store.Version(intParam(r, store.ParamExpect)))
	writeResult(w, err, store.WireWrite{Version: version})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	err := s.keys.remove(keyParam(r), store.Version(intParam(r, store.ParamExpect)))
	writeResult(w, err, store.WireWrite{})
}

// writeResult sends the answer of a successful write, or the status of its error.
func writeResult(w http.ResponseWriter, err error, answer any) {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, store.WireConflict{Current: conflict.Current})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// watch waits for a change of a key with a prefix. Without a change it returns the
// version from which the poll started.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get(store.ParamPrefix)
	after := store.Version(intParam(r, store.ParamAfter))
	result, waiting := s.keys.changes(prefix, after)
	if waiting != nil {
		if !s.waitForChange(r, waiting) {
			writeJSON(w, http.StatusOK, store.WireWatch{Version: after})
			return
		}
		result, waiting = s.keys.changes(prefix, after)
		if waiting != nil {
			s.keys.cancelWatch(waiting)
		}
	}
	changed := wireEntries(result.Changed)
	writeJSON(w, http.StatusOK, store.WireWatch{Changed: changed, Deleted: result.Deleted, Version: result.Version})
}

// waitForChange returns true when the watcher was woken before its wait time ended.
func (s *Store) waitForChange(r *http.Request, waiting *watcher) bool {
	wait := time.Duration(intParam(r, store.ParamWaitMS)) * time.Millisecond
	if wait <= 0 {
		wait = defaultWatchWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-waiting.wake:
		return true
	case <-timer.C:
	case <-r.Context().Done():
	case <-s.faults.outageStarted():
		s.keys.cancelWatch(waiting)
		panic(http.ErrAbortHandler) // an outage closes the connections of waiting watches
	}
	s.keys.cancelWatch(waiting)
	return false
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request store.WireGrant
	if !readJSON(w, r, &request) {
		return
	}
	lease := s.keys.grantLease(time.Duration(request.TTLMS) * time.Millisecond)
	writeJSON(w, http.StatusOK, store.WireLease{Lease: lease})
}

func (s *Store) keepAlive(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.keys.keepAlive(leaseParam(r)), store.WireLease{Lease: leaseParam(r)})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.keys.endLease(leaseParam(r)), store.WireLease{Lease: leaseParam(r)})
}
