// Package view maintains a gateway's copy of what it needs from the store: the
// configuration and the backend servers. It follows the store with one watch, and pulls
// changes from other instances where the store cannot be reached.
package view

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Server is the registration of a backend server.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is true for a server that gets no new requests.
	Draining bool
	// Incarnation differs between the starts of a server under the same ID.
	Incarnation int64
	// ColdFor is how long the server is cold from the time at which its entry was written,
	// and ColdPeriod counts the cold periods of the incarnation that this instance has seen.
	// A server that has just become cold is slow, takes few requests and has no cache.
	ColdFor    time.Duration
	ColdPeriod int
}

// countColdPeriod sets the number of the cold period from what was known of the server. The
// remaining time only falls within a period.
func (s *Server) countColdPeriod(known Server) {
	s.ColdPeriod = 0
	if known.Incarnation == s.Incarnation {
		s.ColdPeriod = known.ColdPeriod
	} else {
		known.ColdFor = 0
	}
	if s.ColdFor > known.ColdFor {
		s.ColdPeriod++
	}
}

// sameUse reports whether a server is to be used as it was. Most of the entries of a cold
// server only count its remaining time down, which is no change.
func (s Server) sameUse(known Server) bool {
	if s.ColdPeriod == known.ColdPeriod && s.ColdFor > 0 && known.ColdFor > 0 {
		s.ColdFor = known.ColdFor
	}
	return s == known
}

// View is the configuration and the backend servers at one version of the store. It is
// immutable.
type View struct {
	// Version is the store's version at the newest change that the view contains.
	Version store.Version
	// Table is the configuration in force, nil until the first one is known.
	Table *route.Table
	// Servers holds the servers that may get new requests, by service.
	Servers map[string][]Server
	// Quarantines holds the entries under QuarantinePrefix, sorted by key.
	Quarantines []store.Entry
	// Evacuated holds the failure domains whose servers get no requests, sorted.
	Evacuated []string
	// byID holds all registered servers, including draining ones and those of evacuated
	// failure domains.
	byID map[string]Server
}

// ByID returns a registered server, also one that gets no new requests.
func (v *View) ByID(id string) (Server, bool) {
	if v == nil {
		return Server{}, false
	}
	server, ok := v.byID[id]
	return server, ok
}

// Registered returns all registered servers, in no order.
func (v *View) Registered() []Server {
	return slices.Collect(maps.Values(v.byID))
}

// InFailureDomain returns the registered servers of a failure domain, in no order.
func (v *View) InFailureDomain(domain string) (servers []Server) {
	if v == nil {
		return nil
	}
	for _, server := range v.byID {
		if server.FailureDomain == domain {
			servers = append(servers, server)
		}
	}
	return servers
}

// IsEvacuated reports whether the operator wants no requests sent to the servers of a failure
// domain.
func (v *View) IsEvacuated(domain string) bool {
	return v != nil && slices.Contains(v.Evacuated, domain)
}

// KeyKind is the kind of data under a key of the store.
type KeyKind uint8

// Kinds of keys. KeyOther is data that the view does not use.
const (
	KeyOther KeyKind = iota
	KeyConfiguration
	KeyServer
	KeyQuarantine
	KeyEvacuation
)

// QuarantinePrefix is the prefix of the keys under which the gateways record quarantines.
const QuarantinePrefix = "quarantines/"

// Decoder decodes the entries of the store.
type Decoder interface {
	// Kind returns the kind of data under a key outside QuarantinePrefix.
	Kind(key string) KeyKind
	Configuration(value []byte) (route.Configuration, error)
	// Server returns an error for an entry that is not the registration of a usable
	// server.
	Server(key string, value []byte) (Server, error)
	// EvacuatedDomain returns the failure domain that a key of KeyEvacuation evacuates while
	// it exists.
	EvacuatedDomain(key string) (string, error)
}

// reregisterGracePeriod is how long after the store's return a server stays in use whose
// entry was removed around the outage: a running server registers again within reregisterTime,
// and this instance knows that within maxNoticeTime.
const (
	reregisterGracePeriod = reregisterTime + maxNoticeTime
	reregisterTime        = 2 * time.Second
	maxNoticeTime         = 250 * time.Millisecond
)

// outageWindow is how long after a failed store call the store counts as unreachable while no
// call succeeds. A removal that a peer reports meanwhile may be caused by the outage.
const outageWindow = 3 * time.Second

// DefaultServerHeartbeat is the interval at which servers renew their entries unless the
// settings name another one.
const DefaultServerHeartbeat = time.Second

// lapseHeartbeats is the least number of heartbeats that a server misses in an outage before
// its entry lapses: the store waits for three, and the last one may have come just before.
const lapseHeartbeats = 2

// minOutageOf returns the shortest outage in which the entries of servers with a heartbeat
// interval lapse.
func minOutageOf(heartbeat time.Duration) time.Duration { return lapseHeartbeats * heartbeat }
