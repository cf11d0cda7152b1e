package proof

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

// readinessTimeout is the timeout of a readiness check by the load balancer.
const readinessTimeout = 500 * time.Millisecond

// instance is an entry process.
type instance struct {
	*qt.C
	settings settings.Entry
	path     string

	mu      sync.Mutex
	command *exec.Cmd
	log     lockedBuffer
}

// start starts the process.
func (i *instance) start() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command = exec.Command(binary, "entry", "--settings", i.path)
	i.command.Stderr = &i.log
	i.Assert(i.command.Start(), qt.IsNil)
}

// kill ends the process with SIGKILL, which works on a paused process too.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	_ = i.command.Process.Kill() // the process may have ended already
	_ = i.command.Wait()
	i.command = nil
}

// stop ends the process with SIGTERM and returns an error if its exit code is not 0.
func (i *instance) stop() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Assert(i.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	err := i.command.Wait()
	i.command = nil
	return err
}

// signal sends a signal to the process: SIGSTOP to pause it, SIGCONT to resume it.
func (i *instance) signal(signal os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Assert(i.command.Process.Signal(signal), qt.IsNil)
}

// logTailBytes is how much of each instance's log is shown when a scenario fails.
const logTailBytes = 2000

// killAndShowLog kills the process, and shows the end of its log if the scenario
// failed.
func (i *instance) killAndShowLog() {
	i.kill()
	if log := i.log.String(); i.Failed() {
		i.Logf("%s:\n%s", i.settings.Instance, log[max(0, len(log)-logTailBytes):])
	}
}

// lockedBuffer is a buffer that can be read while a process writes to it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func replaceOnce(c *qt.C, text, old, replacement string) string {
	c.Assert(strings.Count(text, old), qt.Equals, 1)
	return strings.Replace(text, old, replacement, 1)
}
