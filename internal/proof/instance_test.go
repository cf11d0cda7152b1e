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

// readinessTimeout is how long the load balancer waits for a readiness answer.
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

// kill ends the process with SIGKILL, also when it is paused.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil {
		return
	}
	_ = i.command.Process.Kill() // it may have ended
	_ = i.command.Wait()
	i.command = nil
}

// stop ends the process with SIGTERM and returns its error.
func (i *instance) stop() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Assert(i.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	err := i.command.Wait()
	i.command = nil
	return err
}

// signal sends SIGSTOP or SIGCONT.
func (i *instance) signal(signal os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Assert(i.command.Process.Signal(signal), qt.IsNil)
}

// logTail is how many bytes of its log an instance of a failed scenario shows.
const logTailBytes = 2000

// end kills the process and shows what it logged last when the scenario failed.
func (i *instance) killAndShowLog() {
	i.kill()
	if log := i.log.String(); i.Failed() {
		i.Logf("%s:\n%s", i.settings.Instance, log[max(0, len(log)-logTailBytes):])
	}
}

// lockedBuffer is a buffer that is read while a process writes to it.
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
