package proof

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// Guards against two concurrent publications that both succeed, and against a later
// revert of the one that succeeded.
func TestConcurrentPublish(t *testing.T) {
	f := startScenario(t, "operators-race")
	watch := f.watchRevisions()
	l := f.startLoad()
	f.storeFaults(func(faults *standin.StoreFaults) { faults.DelayMS = 20 })
	folders := []string{f.withLinkCapacity(40), f.withLinkCapacity(50)}
	results := make(chan error, len(folders))
	for _, folder := range folders {
		go func() { results <- f.publish(folder, folder, "--base", "1") }()
	}
	var conflicts int
	for range folders {
		if err := <-results; err != nil {
			conflicts++
			f.Check(strings.Contains(err.Error(), "came first"), qt.IsTrue, qt.Commentf("%v", err))
		}
	}
	f.Check(conflicts, qt.Equals, 1)
	f.waitRevision(2, f.instances...)
	l.waitMore(50, idempotent)
	l.verify("2 publish commands at once")
	watch.check()
	f.waitRevision(2, f.instances...)
}

func (f *fleet) storeFaults(change func(*standin.StoreFaults)) {
	faults := f.cluster.Store.Faults()
	change(&faults)
	f.cluster.Store.SetFaults(faults)
}
