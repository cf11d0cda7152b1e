package store

// Paths and query parameters of the HTTP protocol. A key follows PathKeys with its
// slashes; the parts between them are path-escaped.
const (
	PathKeys   = "/v1/kv/"
	PathList   = "/v1/kv"
	PathWatch  = "/v1/watch"
	PathLeases = "/v1/leases"
	// KeepAliveSuffix follows the path of a lease.
	KeepAliveSuffix = "/keepalive"

	ParamExpect = "expect"
	ParamLease  = "lease"
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	// ParamWaitMS is the longest wait of a watch in milliseconds.
	ParamWaitMS = "wait_ms"
)

// WireEntry is an entry as JSON; the value is in base64.
type WireEntry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
}

// complete reports whether the entry has the fields that each stored entry has.
func (w WireEntry) complete() bool { return w.Key != "" && w.Version > 0 }

// Entry returns w as an Entry.
func (w WireEntry) Entry() Entry {
	return Entry(w)
}

// WireList is the answer to a list.
type WireList struct {
	Entries []WireEntry `json:"entries"`
}

// WireWrite is the answer to a write.
type WireWrite struct {
	Version Version `json:"version"`
}

// WireConflict is the body of a 409: the version that the key has, 0 when absent.
type WireConflict struct {
	Current Version `json:"current"`
}

// WireWatch is the answer to a watch.
type WireWatch struct {
	Changed []WireEntry `json:"changed,omitempty"`
	Deleted []string    `json:"deleted,omitempty"`
	Version Version     `json:"version"`
}

// WireGrant is the request for a lease.
type WireGrant struct {
	TTLMS int64 `json:"ttl_ms"`
}

// WireLease is the answer to a grant.
type WireLease struct {
	Lease LeaseID `json:"lease"`
}
