// Package hangup keeps a process alive that gets SIGHUP before it is ready for it.
// SIGHUP asks for the settings to be read again; without a handler it ends the
// process. Import it for its side effect.
package hangup

import (
	"os/signal"
	"syscall"
)

// A later signal.Notify takes the signal over. The settings are read after this, so
// that ignoring it until then loses nothing.
func init() { signal.Ignore(syscall.SIGHUP) }
