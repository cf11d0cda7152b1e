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

// WireLoad is a load report. It lags.
type WireLoad struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// AgeMS is how old the report is, in milliseconds.
	AgeMS       int64 `json:"age_ms"`
	Incarnation int64 `json:"incarnation"`
}

// WireState is what an engine has loaded.
type WireState struct {
	Incarnation int64 `json:"incarnation"`
	// Models holds loaded models, adapters and versions by name.
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Loading is true while the engine carries out an order.
	Loading bool `json:"loading"`
}

// WireOrder is a control command. The answer is 202 when it is carried out, 200
// when one with its ID was already, 409 when the fencing number is old, 410 when
// the life is over, 429 when the weight store is over its rate or another order
// is being carried out.
type WireOrder struct {
	ID string `json:"id"`
	// Action is "load", "unload" or "role".
	Action string `json:"action"`
	// Target is a model, adapter or version, or a role.
	Target       string `json:"target"`
	FencingToken int64  `json:"fencing"`
	// TTLMS is how long after its arrival the order may start, in milliseconds.
	TTLMS int64 `json:"life_ms"`
}

// WireCacheEvent tells that a prefix entered or left an engine's cache. Numbers
// rise by one; a gap means that events were dropped.
type WireCacheEvent struct {
	Number    int64  `json:"number"`
	PrefixKey string `json:"prefix_key"`
	Stored    bool   `json:"stored"`
}

// WireKVCache is an exported or imported KV cache of one prefix, as its size only.
type WireKVCache struct {
	PrefixKey string `json:"prefix_key"`
	Bytes     int64  `json:"bytes"`
}
