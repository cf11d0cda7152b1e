package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
)

// Actions of the orders that an engine accepts.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	// Models lists the models that are loaded at the start. When it is empty, the
	// engine serves every model.
	Models []string
	Role   string
	// FencesOrders makes the engine refuse orders with a lower fencing token than the
	// highest one that it has accepted.
	FencesOrders bool
	// LoadTime is how long loading a model takes after the weight store allowed it.
	LoadTime time.Duration
	// Weights is the weight store; nil allows every load of a model.
	Weights *WeightStore
	// PrefillTime is the time to the first chunk when the prefix is not cached. A
	// cached prefix takes a tenth of it.
	PrefillTime time.Duration
	// CachedPrefixes is the capacity of the prefix cache; 0 disables it.
	CachedPrefixes int
	// EventDelay is the delay after which cache events are published. Every tenth
	// event is dropped.
	EventDelay time.Duration
	// PrefixBytes is the size of the KV cache of one prefix.
	PrefixBytes int64
}

// engine holds the models, the role, the orders and the prefix cache of a model
// engine. Running requests is up to Backend.
type engine struct {
	config EngineConfig
	cache  prefixCache

	mu             sync.Mutex
	state          backend.WireState
	fencingToken   int64
	acceptedOrders map[string]bool // IDs of accepted orders
}

func newEngine(config BackendConfig) *engine {
	e := config.Engine
	return &engine{
		config:         e,
		cache:          prefixCache{limit: e.CachedPrefixes, delay: e.EventDelay},
		state:          backend.WireState{Incarnation: config.Incarnation, Models: slices.Clone(e.Models), Role: e.Role},
		acceptedOrders: map[string]bool{},
	}
}

func (e *engine) register(router *mux.Router) {
	router.HandleFunc(backend.PathState, e.serveState).Methods(http.MethodGet)
	router.HandleFunc(backend.PathOrders, e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc(backend.PathCacheEvents, e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(backend.PathKVExport, e.serveExport).Methods(http.MethodPost)
	router.HandleFunc(backend.PathKVImport, e.serveImport).Methods(http.MethodPost)
}

// serves reports whether requests for a model are accepted.
func (e *engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return model == "" || len(e.config.Models) == 0 || slices.Contains(e.state.Models, model)
}

// prefill returns the time to the first chunk and caches the prefix.
func (e *engine) prefill(prefix string, slowdown float64) time.Duration {
	const cachedPrefillDivisor = 10
	needed := time.Duration(float64(e.config.PrefillTime) * slowdown)
	if e.cache.use(prefix) {
		return needed / cachedPrefillDivisor
	}
	return needed
}

func (e *engine) serveState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := e.state
	state.Models = slices.Clone(state.Models)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, state)
}

func (e *engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order backend.WireOrder
	if !readJSON(w, r, &order) {
		return
	}
	w.WriteHeader(e.acceptOrder(order))
}

// acceptOrder starts an order, or refuses it, and returns the HTTP status.
func (e *engine) acceptOrder(order backend.WireOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains([]string{actionLoad, actionUnload, actionRole}, order.Action):
		return http.StatusBadRequest
	case e.acceptedOrders[order.ID]:
		return http.StatusOK
	case e.config.FencesOrders && order.FencingToken < e.fencingToken:
		return http.StatusConflict
	case order.TTLMS <= 0:
		return http.StatusGone
	case e.state.Loading:
		return http.StatusTooManyRequests
	case order.Action == actionLoad && !e.config.Weights.Allow():
		return http.StatusTooManyRequests
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	e.acceptedOrders[order.ID] = true
	e.execute(order)
	return http.StatusAccepted
}

// execute carries out an order. Loading a model finishes after LoadTime.
func (e *engine) execute(order backend.WireOrder) {
	switch order.Action {
	case actionLoad:
		e.state.Loading = true
		time.AfterFunc(e.config.LoadTime, func() { e.finishLoad(order.Target) })
	case actionUnload:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m string) bool { return m == order.Target })
	case actionRole:
		e.state.Role = order.Target
	}
}

func (e *engine) finishLoad(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = false
	if !slices.Contains(e.state.Models, target) {
		e.state.Models = append(e.state.Models, target)
	}
}

// serveCacheEvents returns the published events with a higher number than the query
// parameter "after".
func (e *engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.published(after, time.Now()))
}

func (e *engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var kv backend.WireKVCache
	if !readJSON(w, r, &kv) {
		return
	}
	if !e.cache.holds(kv.PrefixKey) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kv.Bytes = e.config.PrefixBytes
	writeJSON(w, http.StatusOK, kv)
}

func (e *engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv backend.WireKVCache
	if !readJSON(w, r, &kv) {
		return
	}
	e.cache.use(kv.PrefixKey)
	writeJSON(w, http.StatusOK, kv)
}

// loadReports holds the last load report, so that reports lag behind the load.
type loadReports struct {
	mu      sync.Mutex
	takenAt time.Time
	last    backend.WireLoad
}

// serveLoad returns the last load report and renews it at most once per LoadLag.
func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	b.load.mu.Lock()
	defer b.load.mu.Unlock()
	now := time.Now()
	if now.Sub(b.load.takenAt) >= b.config.LoadLag {
		b.load.takenAt = now
		running, waiting := b.slots.load()
		b.load.last = backend.WireLoad{
			Running: running, Waiting: waiting, Slots: b.config.Slots, Incarnation: b.config.Incarnation,
		}
	}
	report := b.load.last
	report.AgeMS = now.Sub(b.load.takenAt).Milliseconds()
	writeJSON(w, http.StatusOK, report)
}
