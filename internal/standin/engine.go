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

// Actions of orders.
const (
	actionLoad   = "load"
	actionUnload = "unload"
	actionRole   = "role"
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	// Models lists what is loaded at the start. Without any, the engine serves
	// every model.
	Models []string
	Role   string
	// FencesOrders makes the engine refuse orders with an old fencing number.
	FencesOrders bool
	// LoadTime is how long a load takes once the weight store allowed it.
	LoadTime time.Duration
	// Weights is the weight store; nil allows every load.
	Weights *WeightStore
	// PrefillTime is the time before the first chunk without a cached prefix; a
	// cached one needs a tenth.
	PrefillTime time.Duration
	// CachedPrefixes bounds the prefix cache; 0 caches none.
	CachedPrefixes int
	// EventDelay is how late cache events are published. Every tenth is dropped.
	EventDelay time.Duration
	// PrefixBytes is the size of the KV cache of one prefix.
	PrefixBytes int64
}

// engine is what a model engine has besides running requests.
type engine struct {
	config EngineConfig
	cache  prefixCache

	mu      sync.Mutex
	state   backend.WireState
	fencing int64
	done    map[string]bool // IDs of orders that were carried out
}

func newEngine(config BackendConfig) *engine {
	e := config.Engine
	return &engine{
		config: e,
		cache:  prefixCache{limit: e.CachedPrefixes, delay: e.EventDelay},
		state:  backend.WireState{Incarnation: config.Incarnation, Models: slices.Clone(e.Models), Role: e.Role},
		done:   map[string]bool{},
	}
}

func (e *engine) routes(router *mux.Router) {
	router.HandleFunc(backend.PathState, e.serveState).Methods(http.MethodGet)
	router.HandleFunc(backend.PathOrders, e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc(backend.PathCacheEvents, e.serveCacheEvents).Methods(http.MethodGet)
	router.HandleFunc(backend.PathKVExport, e.serveExport).Methods(http.MethodPost)
	router.HandleFunc(backend.PathKVImport, e.serveImport).Methods(http.MethodPost)
}

// serves reports whether a model is loaded.
func (e *engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return model == "" || len(e.config.Models) == 0 || slices.Contains(e.state.Models, model)
}

// prefill returns the time before the first chunk, and caches the prefix.
func (e *engine) prefill(prefix string, slowdown float64) time.Duration {
	const cachedShare = 10
	needed := time.Duration(float64(e.config.PrefillTime) * slowdown)
	if e.cache.use(prefix) {
		return needed / cachedShare
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
	w.WriteHeader(e.order(order))
}

// order starts an order and returns its status.
func (e *engine) order(order backend.WireOrder) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains([]string{actionLoad, actionUnload, actionRole}, order.Action):
		return http.StatusBadRequest
	case e.done[order.ID]:
		return http.StatusOK
	case e.config.FencesOrders && order.FencingToken < e.fencing:
		return http.StatusConflict
	case order.TTLMS <= 0:
		return http.StatusGone
	case e.state.Loading:
		return http.StatusTooManyRequests
	case order.Action == actionLoad && !e.config.Weights.Allow():
		return http.StatusTooManyRequests
	}
	e.fencing = max(e.fencing, order.FencingToken)
	e.done[order.ID] = true
	e.start(order)
	return http.StatusAccepted
}

// start carries an order out. A load ends later.
func (e *engine) start(order backend.WireOrder) {
	switch order.Action {
	case actionLoad:
		e.state.Loading = true
		time.AfterFunc(e.config.LoadTime, func() { e.loaded(order.Target) })
	case actionUnload:
		e.state.Models = slices.DeleteFunc(e.state.Models, func(m string) bool { return m == order.Target })
	case actionRole:
		e.state.Role = order.Target
	}
}

func (e *engine) loaded(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Loading = false
	if !slices.Contains(e.state.Models, target) {
		e.state.Models = append(e.state.Models, target)
	}
}

// serveCacheEvents returns published events after the number in the query.
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

// loadReports makes load reports lag.
type loadReports struct {
	mu    sync.Mutex
	taken time.Time
	last  backend.WireLoad
}

// serveLoad returns a report that is renewed only once per lag.
func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	b.load.mu.Lock()
	defer b.load.mu.Unlock()
	now := time.Now()
	if now.Sub(b.load.taken) >= b.config.LoadLag {
		b.load.taken = now
		running, waiting := b.slots.load()
		b.load.last = backend.WireLoad{
			Running: running, Waiting: waiting, Slots: b.config.Slots, Incarnation: b.config.Incarnation,
		}
	}
	report := b.load.last
	report.AgeMS = now.Sub(b.load.taken).Milliseconds()
	writeJSON(w, http.StatusOK, report)
}
