package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

// settingsWatcher watches the settings file. A process keeps its addresses and names
// until it ends, so a change of them is logged and takes effect after a restart.
type settingsWatcher struct {
	path   string
	logger *slog.Logger

	mu      sync.Mutex
	data    []byte
	current settings.Gateway
}

func newSettingsWatcher(path string, s settings.Gateway, logger *slog.Logger) *settingsWatcher {
	data, err := os.ReadFile(path)
	if err != nil {
		events.SettingsInvalid.Log(context.Background(), logger, slog.Any("error", err))
	}
	return &settingsWatcher{path: path, logger: logger, data: data, current: s}
}

// check reads the file again and logs a change. With always it logs an unchanged file
// too.
func (r *settingsWatcher) check(always bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := os.ReadFile(r.path)
	if err == nil && bytes.Equal(data, r.data) && !always {
		return
	}
	var next settings.Gateway
	if err == nil {
		r.data = data
		next, err = settings.ParseGateway(r.path, data)
	}
	if err != nil {
		events.SettingsInvalid.Log(context.Background(), r.logger, slog.Any("error", err))
		return
	}
	restart := next.ClientAddress != r.current.ClientAddress || next.ReadyAddress != r.current.ReadyAddress ||
		next.PeerAddress != r.current.PeerAddress || next.StoreAddress != r.current.StoreAddress
	r.current = next
	events.SettingsReloaded.Log(context.Background(), r.logger, slog.Bool("restart_needed", restart))
}
