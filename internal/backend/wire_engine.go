package backend

// Paths of a model engine besides PathStage.
const (
	PathLoad        = "/v1/load"
	PathState       = "/v1/state"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache/events"
	PathKVExport    = "/v1/kv-cache/export"
	PathKVImport    = "/v1/kv-cache/import"
)

// WireLoad is a load report. It lags behind the actual load.
type WireLoad struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS       int64 `json:"age_ms"`
	Incarnation int64 `json:"incarnation"`
}

// WireState is the state of an engine.
type WireState struct {
	Incarnation int64 `json:"incarnation"`
	// Models holds the names of the loaded models, adapters and versions.
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Loading is true while the engine carries out an order.
	Loading bool `json:"loading"`
}

// WireOrder is an order (control command) to an engine. The status of the response
// is 202 when the engine carries the order out, 200 when it has already carried out
// an order with this ID, 409 when the fencing token is old, 410 when the time to
// live is over, and 429 when the weight store is over its rate or another order is
// being carried out.
type WireOrder struct {
	ID string `json:"id"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	// Target is a model, adapter or version, or a role.
	Target       string `json:"target"`
	FencingToken int64  `json:"fencing"`
	// TTLMS is the time after its arrival within which the order must start, in
	// milliseconds.
	TTLMS int64 `json:"life_ms"`
}

// WireCacheEvent reports that a prefix was added to an engine's cache or removed
// from it. Numbers increase by one; a gap means that events were dropped.
type WireCacheEvent struct {
	Number    int64  `json:"number"`
	PrefixKey string `json:"prefix_key"`
	Stored    bool   `json:"stored"`
}

// WireKVCache is the exported or imported KV cache of one prefix. It holds the size
// only.
type WireKVCache struct {
	PrefixKey string `json:"prefix_key"`
	Bytes     int64  `json:"bytes"`
}
