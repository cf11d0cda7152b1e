package gateway

import (
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/doors"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

const (
	bytesPerMB = 1 << 20
	// fallbackDescriptors is used when the system does not tell how many there are.
	fallbackDescriptors = 1024
)

// Limits of the doors for readiness, metrics and peers. Callers there are the platform and
// other instances, whose heads have a few hundred bytes.
const (
	maxDoorHeadBytes = 16 << 10
	// doorReadTimeout bounds reading a whole request: a peer sends at most 1 MB, which is
	// 0.8 s of the slowest links.
	doorReadTimeout = 10 * time.Second
	doorIdleTimeout = time.Minute
	// maxPeerBodyBytes is the size that the peer service accepts.
	maxPeerBodyBytes = 1 << 20
)

// machinePlan returns how the machine of the settings is divided.
func machinePlan(s settings.Gateway) memorybudget.Plan {
	descriptors := s.MaxDescriptors
	if descriptors == 0 {
		descriptors = availableDescriptors()
	}
	return memorybudget.NewPlan(memorybudget.Machine{MemoryBytes: int64(s.MemoryMB * bytesPerMB), Descriptors: descriptors})
}

// availableDescriptors returns how many descriptors the system lets the process open.
func availableDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<20 {
		return fallbackDescriptors
	}
	return int(limit.Cur)
}

// clientDoor is the door of the clients with the memory for their answers.
type clientDoor struct {
	door    *doors.Door
	answers *doors.Memory
}

// limitMachine sets the memory limit of the runtime if the settings name the machine's memory,
// and returns the plan.
func limitMachine(s settings.Gateway) memorybudget.Plan {
	plan := machinePlan(s)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(plan.RuntimeBytes)
	}
	return plan
}

func newClientDoor(plan memorybudget.Plan, logger *slog.Logger, scope tally.Scope) clientDoor {
	return clientDoor{doors.New("clients", plan.Clients, logger, scope), doors.NewMemory(plan.AnswerBytes)}
}

// serviceDoor is a door that serves no clients.
type serviceDoor struct {
	address string
	handler http.Handler
	door    *doors.Door
}

func (s serviceDoor) server() *http.Server {
	return &http.Server{
		Handler: s.handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: doorReadTimeout, IdleTimeout: doorIdleTimeout,
		MaxHeaderBytes: maxDoorHeadBytes, ConnState: doors.ConnState, ConnContext: doors.ConnContext,
	}
}

func (s serviceDoor) wrap(l net.Listener) net.Listener { return s.door.Listener(l) }
