// Package view keeps what the store holds for a gateway: the configuration and the
// backend servers. It reads the store by one watch, and other instances where the
// store cannot be reached.
package view

import (
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// Server is a backend server as it registered itself.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers get no new work.
	Draining bool
	// Incarnation tells starts of a server under one ID apart.
	Incarnation int64
}

// View is one state of the store. It is immutable.
type View struct {
	// Version is the store's version of the newest change that is in the view.
	Version store.Version
	// Table is the configuration in force, nil before the first one is known.
	Table *route.Table
	// Servers holds the servers that may get work, by service.
	Servers map[string][]Server
	// ByAddress holds all registered servers by address, draining ones included.
	ByAddress map[string]Server
}

// KeyKind tells what a key of the store holds.
type KeyKind uint8

// Kinds of keys.
const (
	KeyOther KeyKind = iota
	KeyConfiguration
	KeyServer
)

// Decoder reads the values of the store.
type Decoder interface {
	// Kind tells what a key holds.
	Kind(key string) KeyKind
	Configuration(value []byte) (route.Configuration, error)
	// Server returns an error for entries that name no server to use.
	Server(key string, value []byte) (Server, error)
}

// lapseGrace is how long a server whose entry was removed around an outage of the
// store is still used: it registers again within that time if it lives.
const lapseGrace = 2 * time.Second

// outageMemory is how long after a failed call removals count as caused by the
// outage.
const outageMemory = 3 * time.Second
