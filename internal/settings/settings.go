// Package settings reads the settings file of an entry instance, JSON with
// comments.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
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
	// DrainGraceMS is the time in milliseconds between the withdrawal of readiness and
	// the end of new work; 0 means DefaultDrainGrace.
	DrainGraceMS int64 `json:"drain_grace_ms,omitempty"`
	// ShutdownDeadlineMS bounds a graceful shutdown in milliseconds; 0 means
	// DefaultShutdownDeadline.
	ShutdownDeadlineMS int64 `json:"shutdown_deadline_ms,omitempty"`
}

// Defaults of a shutdown. The grace lets a balancer that polls readiness every
// second see it withdrawn.
const (
	DefaultDrainGrace       = 2 * time.Second
	DefaultShutdownDeadline = 30 * time.Second
)

// DrainGrace returns the time between the withdrawal of readiness and the end of new work.
func (e Entry) DrainGrace() time.Duration {
	return millisOr(e.DrainGraceMS, DefaultDrainGrace)
}

// ShutdownDeadline returns the bound on a graceful shutdown.
func (e Entry) ShutdownDeadline() time.Duration {
	return millisOr(e.ShutdownDeadlineMS, DefaultShutdownDeadline)
}

func millisOr(ms int64, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// Read reads a settings file. Unknown fields are mistakes.
func Read(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Entry{}, fmt.Errorf("settings %s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var entry Entry
	if err := decoder.Decode(&entry); err != nil {
		return Entry{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return entry, nil
}
