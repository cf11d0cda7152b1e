// Package membership holds what an instance knows of the others: live members of
// its failure domain, summaries of other failure domains, drain markers and
// peers' load counts. It is a state machine without I/O; the adapter delivers
// the messages that it returns.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxMessageBytes bounds one encoded message, so that it fits one datagram on
// every path.
const MaxMessageBytes = 1200

// MaxNameBytes bounds IDs, names and addresses in messages.
const MaxNameBytes = 64

// MemberState is the state of a member as its failure domain sees it.
type MemberState int

// States of a member. A higher state of the same incarnation and counter replaces
// a lower one.
const (
	Alive MemberState = iota
	Suspected
	Removed
	Left
)

func (s MemberState) String() string {
	return [...]string{"alive", "suspected", "removed", "left"}[s]
}

// Record is what is known of one member.
type Record struct {
	ID            string
	FailureDomain string
	// Address is the IP number and port of the peer service.
	Address string
	// Incarnation rises with each restart and with each refuted suspicion.
	Incarnation uint64
	// Counter is the number of heartbeats since the start.
	Counter uint64
	State   MemberState
	// Load is the number of requests in flight.
	Load int
	// Revision is the configuration revision in force.
	Revision int64
}

// newer reports whether r shows a later heartbeat than other.
func (r Record) newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

// HeartbeatCounter is the newest heartbeat of a member. The member is named by the hash of
// its ID, so that one message has room for a whole failure domain.
type HeartbeatCounter struct {
	IDHash      uint64
	Incarnation uint64
	Counter     uint64
}

func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}

// DrainMarker says that a backend server leaves, or with Cleared that it came
// back with a new incarnation.
type DrainMarker struct {
	Server      string
	Incarnation int64
	Cleared     bool
	// Remaining is the time until the marker expires.
	Remaining time.Duration
}

// Straggler says that the sender sees a slow backend server.
type Straggler struct {
	Server    string
	Remaining time.Duration
}

// InFlightCount is the number of requests that the sender has in flight at a backend server.
type InFlightCount struct {
	Server   string
	InFlight int
	// Long is how many of them are of class long.
	Long int
}

// Demand is the rate at which an organisation sends requests.
type Demand struct {
	Organisation string
	// MilliPerSecond is the rate in thousandths of a request per second.
	MilliPerSecond int64
}

// MaxDemand is the number of organisations whose demand is reported.
const MaxDemand = 16

// Contact is a member that other failure domains may write to.
type Contact struct {
	ID      string
	Address string
}

// DomainSummary represents another failure domain.
type DomainSummary struct {
	FailureDomain string
	Members       int
	Load          int
	Revision      int64
	Contacts      []Contact
	Demand        []Demand
	// Age is the time since the summary was made.
	Age time.Duration
}

// Message is one heartbeat or urgent message.
type Message struct {
	From Record
	// Urgent messages are sent at once; the receiver in another failure domain
	// forwards what is new to its members.
	Urgent            bool
	HeartbeatCounters []HeartbeatCounter
	Records           []Record
	DrainMarkers      []DrainMarker
	Stragglers        []Straggler
	InFlightCounts    []InFlightCount
	Demand            []Demand
	Summaries         []DomainSummary
}

// Output is what the adapter carries out or passes on.
type Output interface{ membershipOutput() }

// Outputs of the state machine.
type (
	// Send asks to send a message to an address.
	Send struct {
		Address string
		Message Message
	}
	// MemberChanged reports a member that joined, is suspected, was removed or left.
	MemberChanged struct{ Record Record }
	// NewRevision reports a configuration revision above all known before.
	NewRevision struct {
		Revision int64
		Address  string
	}
	// NewDrainMarker reports a drain marker that is new here.
	NewDrainMarker struct{ Marker DrainMarker }
	// InFlightCountsReceived reports a peer's requests in flight.
	InFlightCountsReceived struct {
		Instance string
		Counts   []InFlightCount
	}
)

func (Send) membershipOutput()                   {}
func (MemberChanged) membershipOutput()          {}
func (NewRevision) membershipOutput()            {}
func (NewDrainMarker) membershipOutput()         {}
func (InFlightCountsReceived) membershipOutput() {}
