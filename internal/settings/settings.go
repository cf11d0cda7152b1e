// Package settings reads and checks the settings files of entry instances and
// gateways (JSON with comments).
package settings

import (
	"fmt"
	"os"
	"time"
)

// Entry holds the settings of an entry instance.
type Entry struct {
	// Instance is the unique name of the instance.
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress is the address (IP and port) on which the instance serves callers,
	// the clients of its HTTP interface.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address on which the instance serves other instances, with
	// TCP and UDP on the same port.
	PeerAddress string `json:"peer_address"`
	// AdvertiseAddress is the address at which other instances reach this one, if it
	// differs from PeerAddress, for example behind address translation.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// AdminAddress is the address on which the instance serves health, readiness,
	// metrics and status.
	AdminAddress string `json:"admin_address"`
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress string `json:"store_address"`
	// PlatformAddress is the address of the platform's instance list.
	PlatformAddress string `json:"platform_address"`
	// MemoryMB is the memory of the instance in MB, and MaxDescriptors the number of file
	// descriptors that the process may have open. 0 means unknown.
	MemoryMB       float64 `json:"memory_mb,omitempty"`
	MaxDescriptors int     `json:"max_descriptors,omitempty"`
	// Peers lists peer addresses to use before the instance list is known.
	Peers []string `json:"peers,omitempty"`
	// PipelineFiles is the folder of operators' files to use while the store holds no
	// configuration; if empty, the instance waits for a configuration in the store.
	PipelineFiles string `json:"pipeline_files,omitempty"`
	// LinkInstances is the minimum number of entry instances of a region among which
	// the link budget is divided; 0 means DefaultLinkInstances.
	LinkInstances int `json:"link_instances,omitempty"`
	// DrainGraceMS is the time in milliseconds for which a draining instance still
	// accepts requests after it has reported that it is not ready; 0 means
	// DefaultDrainGrace.
	DrainGraceMS int64 `json:"drain_grace_ms,omitempty"`
	// ShutdownDeadlineMS limits the duration of a graceful shutdown in milliseconds;
	// 0 means the longest deadline of all kinds in force, plus a margin.
	ShutdownDeadlineMS int64 `json:"shutdown_deadline_ms,omitempty"`
}

// AdvertisedPeerAddress returns the address at which other instances reach this one.
func (e Entry) AdvertisedPeerAddress() string {
	if e.AdvertiseAddress != "" {
		return e.AdvertiseAddress
	}
	return e.PeerAddress
}

// DefaultDrainGrace is long enough for a load balancer that polls readiness once per
// second to observe that the instance is not ready.
const DefaultDrainGrace = 2 * time.Second

// DrainGrace returns the time for which a draining instance still accepts requests
// after it has reported that it is not ready.
func (e Entry) DrainGrace() time.Duration {
	if e.DrainGraceMS == 0 {
		return DefaultDrainGrace
	}
	return time.Duration(e.DrainGraceMS) * time.Millisecond
}

// ShutdownDeadline returns the time limit of a graceful shutdown, or false when it
// depends on the configuration in force.
func (e Entry) ShutdownDeadline() (time.Duration, bool) {
	return time.Duration(e.ShutdownDeadlineMS) * time.Millisecond, e.ShutdownDeadlineMS != 0
}

// Read reads and checks the settings file of an entry instance. If the file can be
// read but has mistakes, the error is a *MistakesError that lists all of them.
func Read(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// DefaultLinkInstances is large enough for regions of the current size.
const DefaultLinkInstances = 8

// MinLinkInstances returns the minimum number of entry instances of a region among
// which the link budget is divided.
func (e Entry) MinLinkInstances() int {
	if e.LinkInstances <= 0 {
		return DefaultLinkInstances
	}
	return e.LinkInstances
}
