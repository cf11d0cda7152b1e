// Package hangup ignores SIGHUP until the process has installed its handler. SIGHUP
// requests that the settings are read again; without a handler it ends the process.
// Import the package for its side effect.
package hangup

import (
	"os/signal"
	"syscall"
)

// A later signal.Notify replaces this. The process first reads its settings after this
// init, so an ignored signal loses no change of the settings.
func init() { signal.Ignore(syscall.SIGHUP) }
