// Package membership implements gossip membership: the live members of the own
// failure domain, summaries of the other failure domains, drain markers of backend
// servers, and the load that peers report. It is a state machine without I/O; its
// adapter, package internal/peer, sends the messages that it returns.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxMessageBytes bounds an encoded message, so that it fits into one datagram on
// every network path.
const MaxMessageBytes = 1200

// MaxNameBytes bounds each ID, name and address in a message.
const MaxNameBytes = 64

// MemberState is the state of a member in the view of its failure domain. Alive and
// suspected members are called live: they still receive heartbeats.
type MemberState int

// States of a member. A higher state of the same incarnation replaces a lower one.
const (
	Alive MemberState = iota
	Suspected
	Removed
	Left
)

func (s MemberState) String() string {
	return [...]string{"alive", "suspected", "removed", "left"}[s]
}

// Record describes one member of a failure domain.
type Record struct {
	ID            string
	FailureDomain string
	// Address is the IP address and port of the peer service.
	Address string
	// Incarnation increases with each restart and with each refuted suspicion.
	Incarnation uint64
	// Counter is the number of ticks since the start. It orders the loads that a member
	// reports.
	Counter  uint64
	State    MemberState
	Capacity Capacity
	// Load is the number of requests in flight.
	Load int
	// Revision is the configuration revision in force. A gateway sets it to the store
	// version of its view.
	Revision int64
}

// newer reports whether r was created later than other.
func (r Record) newer(other Record) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Counter > other.Counter
}

func hashID(id string) uint64 {
	return xxhash.Sum64String(id)
}

// DrainMarker reports that a backend server is draining or, with Cleared, that it
// has restarted with a new incarnation.
type DrainMarker struct {
	Server string
	// Incarnation is that of the backend server.
	Incarnation int64
	Cleared     bool
	// Remaining is the time until the marker expires.
	Remaining time.Duration
}

// Straggler reports that a backend server is slow for the sender.
type Straggler struct {
	Server string
	// Remaining is the time until the report expires.
	Remaining time.Duration
}

// InFlightCount is the number of requests that the sender has in flight at a
// backend server.
type InFlightCount struct {
	Server   string
	InFlight int
	// Long is how many of these requests are of the class long.
	Long int
}

// Demand is the rate at which an organisation sends requests.
type Demand struct {
	Organisation string
	// MilliPerSecond is the rate in thousandths of a request per second.
	MilliPerSecond int64
}

// MaxDemand bounds the number of organisations in a list of demand.
const MaxDemand = 16

// Contact is a member to which instances of other failure domains send messages.
type Contact struct {
	ID      string
	Address string
}

// DomainSummary describes a failure domain to the others.
type DomainSummary struct {
	FailureDomain string
	// Members is the number of live members.
	Members int
	// Load is the number of requests that the members have in flight.
	Load int
	// Revision is the highest configuration revision in force at a member.
	Revision int64
	Contacts []Contact
	Demand   []Demand
	// Age is the time since the summary was created.
	Age time.Duration
}

// Message is one heartbeat or urgent message.
type Message struct {
	From Record
	// Urgent is set on a message that is sent at once instead of with the next
	// heartbeat. A receiver in another failure domain forwards what is new in it to
	// its members: drain markers and the leave of the sender.
	Urgent bool
	// WantsAnswer is set on a probe: the receiver answers with a heartbeat at once.
	WantsAnswer bool
	// ProbeMember is the ID of a member that the receiver probes on behalf of the
	// sender; empty for none.
	ProbeMember string
	// StoreContact is set when the sender has just reached the store, and has its newest
	// changes.
	StoreContact bool
	// StoreStateAge is how long before the message was made, with StoreContact, the store
	// was known to have nothing newer than the sender.
	StoreStateAge time.Duration
	// StoreReceiving is set when an answer of the store is on its way to the sender.
	StoreReceiving bool
	// Sent is when the adapter sent the message, by the clock of the sender.
	Sent ProcessTime
	// LiveMembers is the number of live members that the sender knows, itself
	// included.
	LiveMembers int
	SyncRequest *SyncRequest
	SyncReply   *SyncReply

	Records        []Record
	DrainMarkers   []DrainMarker
	Stragglers     []Straggler
	InFlightCounts []InFlightCount
	ServerLimits   []ServerLimit
	Demand         []Demand
	Summaries      []DomainSummary
}

// Output is an action or event for the adapter.
type Output interface{ membershipOutput() }

// Outputs of the state machine.
type (
	// Send requests that a message is sent to an address.
	Send struct {
		Address string
		Message Message
	}
	// MemberChanged reports a member that joined, is suspected, is alive again, was
	// removed, left, or has a new address or capacity.
	MemberChanged struct{ Record Record }
	// IsolationChanged reports that this instance receives nothing from the other
	// members of its failure domain any longer, or that it does again.
	IsolationChanged struct{ Isolated bool }
	// StoreContact reports that another member of the failure domain has reached the
	// store, and the configuration revision that it has. Age is how long ago the store was
	// known to have nothing newer. It includes Waited, the estimated time that the message
	// waited on its way. Receiving is true when an answer of the store is on its way to the
	// member.
	StoreContact struct {
		Revision    int64
		Address     string
		Age, Waited time.Duration
		Receiving   bool
	}
	// NewRevision reports a configuration revision that is higher than all known
	// before, with the address of an instance that has it.
	NewRevision struct {
		Revision int64
		Address  string
	}
	// NewDrainMarker reports a drain marker that is new at this instance.
	NewDrainMarker struct{ Marker DrainMarker }
	// ServerLimitsReceived reports limits of backend servers that another instance knows.
	// Local is true when it is of the own failure domain.
	ServerLimitsReceived struct {
		Limits []ServerLimit
		Local  bool
	}
	// InFlightCountsReceived reports counts that another instance sent.
	InFlightCountsReceived struct {
		Instance string
		Counts   []InFlightCount
	}
)

func (Send) membershipOutput()                   {}
func (MemberChanged) membershipOutput()          {}
func (IsolationChanged) membershipOutput()       {}
func (StoreContact) membershipOutput()           {}
func (NewRevision) membershipOutput()            {}
func (NewDrainMarker) membershipOutput()         {}
func (ServerLimitsReceived) membershipOutput()   {}
func (InFlightCountsReceived) membershipOutput() {}
