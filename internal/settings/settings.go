// Package settings reads the settings file of an entry instance, JSON with
// comments.
package settings

import (
	"fmt"
	"os"
	"time"
)

// Entry is the settings file of an entry instance.
type Entry struct {
	// Instance is the unique name of the instance.
	Instance      string `json:"instance"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// CallerAddress serves callers, IP number and port.
	CallerAddress string `json:"caller_address"`
	// PeerAddress serves other instances, TCP and UDP on the same port.
	PeerAddress string `json:"peer_address"`
	// AdvertiseAddress is the address at which other instances reach PeerAddress when
	// it is another one, for example behind address translation.
	AdvertiseAddress string `json:"advertise_address,omitempty"`
	// AdminAddress serves health, readiness, metrics and status.
	AdminAddress string `json:"admin_address"`
	// StoreAddress is the platform's key-value service.
	StoreAddress string `json:"store_address"`
	// PlatformAddress is the platform's instance list.
	PlatformAddress string `json:"platform_address"`
	// Peers lists peer addresses that are tried before the instance list is known.
	Peers []string `json:"peers,omitempty"`
	// PipelineFiles is a folder of operators' files that is used until the store
	// holds a configuration; empty to wait for the store.
	PipelineFiles string `json:"pipeline_files,omitempty"`
	// LinkInstances is the number of entry instances of a region among which the
	// link budget is divided, at the least; 0 means DefaultLinkInstances.
	LinkInstances int `json:"link_instances,omitempty"`
	// DrainGraceMS is the time in milliseconds between the withdrawal of readiness and
	// the end of new work; 0 means DefaultDrainGrace.
	DrainGraceMS int64 `json:"drain_grace_ms,omitempty"`
	// ShutdownDeadlineMS bounds a graceful shutdown in milliseconds; 0 means the
	// longest deadline of any kind in force and a margin.
	ShutdownDeadlineMS int64 `json:"shutdown_deadline_ms,omitempty"`
}

// AdvertisedPeerAddress returns the address that other instances are told.
func (e Entry) AdvertisedPeerAddress() string {
	if e.AdvertiseAddress != "" {
		return e.AdvertiseAddress
	}
	return e.PeerAddress
}

// DefaultDrainGrace lets a balancer that polls readiness every second see it withdrawn.
const DefaultDrainGrace = 2 * time.Second

// DrainGrace returns the time between the withdrawal of readiness and the end of new work.
func (e Entry) DrainGrace() time.Duration {
	if e.DrainGraceMS == 0 {
		return DefaultDrainGrace
	}
	return time.Duration(e.DrainGraceMS) * time.Millisecond
}

// ShutdownDeadline returns the bound on a graceful shutdown, or false when the
// configuration in force determines it.
func (e Entry) ShutdownDeadline() (time.Duration, bool) {
	return time.Duration(e.ShutdownDeadlineMS) * time.Millisecond, e.ShutdownDeadlineMS != 0
}

// Read reads and checks a settings file. It returns a *MistakesError that lists
// every mistake when the file can be read.
func Read(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// DefaultLinkInstances is enough for regions of the current size.
const DefaultLinkInstances = 8

// MinLinkInstances returns the least number of instances that share the link.
func (e Entry) MinLinkInstances() int {
	if e.LinkInstances <= 0 {
		return DefaultLinkInstances
	}
	return e.LinkInstances
}
