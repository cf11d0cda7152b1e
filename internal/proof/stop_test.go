package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a graceful stop that aborts a request or ends with an error.
func TestRollingGracefulStop(t *testing.T) {
	f := startLongScenario(t, "graceful-stop")
	l := f.startLoad()
	for _, i := range f.instances {
		l.waitMore(20, idempotent)
		f.Check(i.stop(), qt.IsNil, qt.Commentf("exit of %s", i.settings.Instance))
		i.start()
		f.waitReady(i)
	}
	l.verify("SIGTERM and restart of each instance")
	f.Check(l.interrupted, qt.Equals, 0, qt.Commentf("interrupted requests"))
}
