package proof

import (
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// revisionWatch polls all instances and records those whose configuration revision
// decreases.
type revisionWatch struct {
	f       *fleet
	stopped chan struct{}
	once    sync.Once
	running sync.WaitGroup
	// regressions holds the instances whose revision decreased.
	regressions []string
}

func (f *fleet) watchRevisions() *revisionWatch {
	w := &revisionWatch{f: f, stopped: make(chan struct{})}
	w.running.Go(w.run)
	f.Cleanup(w.stop)
	return w
}

func (w *revisionWatch) run() {
	highest := map[*instance]int64{}
	for {
		for _, i := range w.f.instances {
			now := i.status().Configuration.Revision
			// The revision is 0 while a process starts or does not answer.
			if now != 0 && now < highest[i] {
				w.regressions = append(w.regressions, i.settings.Instance)
			}
			highest[i] = max(highest[i], now)
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(pollInterval):
		}
	}
}

func (w *revisionWatch) stop() {
	w.once.Do(func() { close(w.stopped) })
	w.running.Wait()
}

// check ends the watch and fails the test if a revision decreased.
func (w *revisionWatch) check() {
	w.f.Helper()
	w.stop()
	w.f.Check(w.regressions, qt.HasLen, 0)
}
