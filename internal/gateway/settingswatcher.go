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
func (w *settingsWatcher) check(always bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	data, err := os.ReadFile(w.path)
	if err == nil && bytes.Equal(data, w.data) && !always {
		return
	}
	var next settings.Gateway
	if err == nil {
		w.data = data
		next, err = settings.ParseGateway(w.path, data)
	}
	if err != nil {
		events.SettingsInvalid.Log(context.Background(), w.logger, slog.Any("error", err))
		return
	}
	restart := next.ClientAddress != w.current.ClientAddress || next.ReadyAddress != w.current.ReadyAddress ||
		next.PeerAddress != w.current.PeerAddress || next.StoreAddress != w.current.StoreAddress
	w.current = next
	events.SettingsReloaded.Log(context.Background(), w.logger, slog.Bool("restart_needed", restart))
}
