package doors

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpserve"
	"github.com/coltsfootdrift/coltsfootdrift/memorybudget"
)

const (
	bytesPerMB = 1 << 20
	// fallbackDescriptors is used when the system reports no limit.
	fallbackDescriptors = 1024
	// mostDescriptors is used for higher limits, which mean that there is none: the kernel's
	// own default limit for one process.
	mostDescriptors = 1 << 20
)

// DivideMachine returns how a machine is divided, and sets the memory limit of the runtime if
// its memory is known. 0 means unknown.
func DivideMachine(memoryMB float64, descriptors int) memorybudget.Plan {
	if descriptors == 0 {
		descriptors = availableDescriptors()
	}
	plan := memorybudget.NewPlan(memorybudget.Machine{MemoryBytes: int64(memoryMB * bytesPerMB), Descriptors: descriptors})
	if memoryMB > 0 {
		debug.SetMemoryLimit(plan.RuntimeBytes)
	}
	return plan
}

// availableDescriptors returns how many descriptors the system lets the process open.
func availableDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fallbackDescriptors
	}
	return usableDescriptors(limit.Cur)
}

// usableDescriptors returns the descriptors to count on under a limit of the system.
func usableDescriptors(limit uint64) int { return int(min(limit, mostDescriptors)) }

// Limits of the doors for readiness, metrics and peers. Callers there are the platform and
// other instances, whose heads have a few hundred bytes.
const (
	maxServiceHeadBytes = 16 << 10
	serviceHeadTimeout  = 5 * time.Second
	serviceIdleTimeout  = time.Minute
	maxPeerBodyBytes    = 1 << 20
	// serviceReadTimeout bounds reading a whole request: a peer sends at most 1 MB, which is
	// 0.8 s of the slowest links.
	serviceReadTimeout = 10 * time.Second
)

// NewServiceServer returns a server for callers other than clients. It is started by Start.
func NewServiceServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: serviceHeadTimeout, ReadTimeout: serviceReadTimeout, IdleTimeout: serviceIdleTimeout,
		MaxHeaderBytes: maxServiceHeadBytes,
	}
}

// NewPeerServer returns a server for the calls of other instances.
func (d *Door) NewPeerServer(handler http.Handler) *http.Server {
	return NewServiceServer(d.HoldBodies(handler, maxPeerBodyBytes))
}

// Start starts a server on an address whose connections the door bounds.
func (d *Door) Start(ctx context.Context, server *http.Server, address string, logger *slog.Logger) error {
	server.ConnState, server.ConnContext = ConnState, ConnContext
	return httpserve.StartWrapped(ctx, server, address, d.listener, logger)
}
