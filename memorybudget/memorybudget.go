// Package memorybudget divides the memory and the descriptors of a machine among the doors
// of a process and the purposes that clients can make it use memory for. It does no I/O.
package memorybudget

const (
	kb = 1 << 10
	mb = 1 << 20
)

const (
	// DefaultMemoryBytes is used without a setting: the memory of the smallest instances.
	DefaultMemoryBytes = 192 * mb
	// baseBytes is what the process needs without clients: the program, the configuration, the
	// servers and the peers.
	baseBytes = 24 * mb
	// unmanagedBytes is the resident memory that the runtime's limit does not count: the
	// program's code and data.
	unmanagedBytes = 16 * mb
	// marginPercent is the part of the memory that stays unused. Without it, misbehaving clients at
	// all doors of a machine of 136 MB made the process take 123 MB.
	marginPercent = 8
	// collectorFactor is how much memory the garbage collector takes for each byte in use:
	// with its default target, the heap grows to twice the bytes in use.
	collectorFactor = 2
	// ConnectionBytes is the memory of an open connection without a request: buffers for
	// reading and writing, a stack and the states of the connection.
	ConnectionBytes = 20 * kb
	// baseDescriptors are those for listeners, the log, the store and calls to peers.
	baseDescriptors = 50
	// minClientBytes is the least memory that is divided, also on a machine that is too small.
	minClientBytes = 8 * mb
)

// Shares of the memory for clients, in percent. Together they are 100.
const (
	connectionShare  = 36
	headShare        = 14
	bodyShare        = 26
	answerShare      = 14
	peerBodyShare    = 4
	peerHeadShare    = 4
	operatorShare    = 1 // for the heads at each of the ready and the metrics door
	percent          = 100
	descriptorsParts = 20
	// stageAnswerPart is the part of the runtime's memory that answers of stages take at most.
	stageAnswerPart = 4
)

// Limits of connections at the doors that serve no clients.
const (
	maxReadyConnections   = 64
	maxMetricsConnections = 16
	minPeerConnections    = 32
	// maxPeerConnections bounds the memory of the connections of peers, of which each instance
	// needs one: 20 MB on a machine with very many descriptors.
	maxPeerConnections = 1024
	// readyDescriptorsPart is the part of the descriptors that readiness takes at most.
	readyDescriptorsPart = 8
)

// Machine is what a process may use.
type Machine struct {
	// MemoryBytes is 0 for the default.
	MemoryBytes int64
	Descriptors int
}

// Door holds the limits of one door.
type Door struct {
	Connections int `json:"connections"`
	// HeadBytes and BodyBytes bound the memory of the heads and bodies of all requests.
	HeadBytes int64 `json:"head_bytes"`
	BodyBytes int64 `json:"body_bytes"`
}

// Plan is how the memory and descriptors of a machine are divided.
type Plan struct {
	// RuntimeBytes is the memory limit of the Go runtime.
	RuntimeBytes int64 `json:"runtime_bytes"`
	Clients      Door  `json:"clients"`
	Ready        Door  `json:"ready"`
	Metrics      Door  `json:"metrics"`
	Peers        Door  `json:"peers"`
	// AnswerBytes bounds the answers that a gateway receives.
	AnswerBytes int64 `json:"answer_bytes"`
	// StageAnswerBytes bounds the answers of stages that an entry instance reads at a time. It
	// is beyond the shares of the doors, because one answer may have 16 MB.
	StageAnswerBytes int64 `json:"stage_answer_bytes"`
}

// NewPlan divides a machine.
func NewPlan(m Machine) Plan {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = DefaultMemoryBytes
	}
	memory := max(minClientBytes, (m.MemoryBytes-baseBytes)/collectorFactor)
	share := func(s int64) int64 { return memory * s / percent }
	part := max(1, (m.Descriptors-baseDescriptors)/descriptorsParts)
	p := Plan{
		RuntimeBytes: max(m.MemoryBytes*(percent-marginPercent)/percent-unmanagedBytes, m.MemoryBytes/2),
		Ready:        Door{Connections: min(maxReadyConnections, max(1, m.Descriptors/readyDescriptorsPart)), HeadBytes: share(operatorShare)},
		Metrics:      Door{Connections: min(maxMetricsConnections, part), HeadBytes: share(operatorShare)},
		Peers:        Door{Connections: min(maxPeerConnections, max(minPeerConnections, 3*part)), HeadBytes: share(peerHeadShare), BodyBytes: share(peerBodyShare)},
		Clients:      Door{HeadBytes: share(headShare), BodyBytes: share(bodyShare)},
		AnswerBytes:  share(answerShare),
	}
	p.StageAnswerBytes = p.RuntimeBytes / stageAnswerPart
	// Each request of a client may need a connection to a server.
	rest := m.Descriptors - baseDescriptors - p.Ready.Connections - p.Metrics.Connections - p.Peers.Connections
	p.Clients.Connections = max(1, min(rest*2/5, int(share(connectionShare)/ConnectionBytes)))
	return p
}

const (
	// headByteCost is the memory for each byte of a head: the line and the strings made of it.
	headByteCost = 2
	// fieldCost is the memory of a field beside its bytes: its entry in the map of fields,
	// which grows by doubling, and the copy that is sent to a server.
	fieldCost = 96
)

// HeadBytes returns the memory that a part of a request head takes, given its size and its
// number of lines. A field costs far more than its bytes on the wire.
func HeadBytes(size, lines int) int64 { return int64(size*headByteCost + lines*fieldCost) }
