package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// losingStore makes a share of the writes take effect without an answer.
func (f *fleet) losingStore(share float64) {
	f.storeFaults(func(faults *standin.StoreFaults) { faults.LoseShare = share })
}

// restart kills an instance, lets others serve and starts it again.
func (f *fleet) restart(l *load, victim *instance) {
	f.Helper()
	victim.kill()
	l.waitMore(20, idempotent)
	victim.start()
	f.waitReady(victim)
}

// Guards against requests that are lost, or run twice, when their instance dies.
func TestKillUnderLoad(t *testing.T) {
	f := begin(t, "kill")
	l := f.startLoad()
	for range 4 {
		l.waitMore(30, atMostOnce)
		f.restart(l, f.any())
	}
	l.verify("4 SIGKILL and restart")
}

// Guards against an instance that goes on with work that is no longer its own
// after a pause: keys that it had claimed are repeated elsewhere meanwhile.
func TestPauseLongerThanLease(t *testing.T) {
	f := beginLong(t, "pause")
	f.cluster.Servers[0].Backend().SetSlowdown(5)
	l := f.startLoad()
	l.waitMore(30, atMostOnce)
	victim := f.any()
	first := l.keyed(40)
	running := l.startAt(victim, first)
	f.wait("claims of the victim", func() bool { return f.ran(first) > 0 })
	victim.signal(syscall.SIGSTOP)
	paused := time.Now()
	l.repeatElsewhere(first)
	// The pause itself is the fault: it outlasts the grant and the leases of 10 s.
	f.wait("end of the pause", func() bool { return time.Since(paused) > claims.GrantLifetime+time.Second })
	victim.signal(syscall.SIGCONT)
	running.Wait()
	l.join(first)
	f.waitReady(victim)
	l.waitMore(30, atMostOnce)
	l.verify("SIGSTOP for 11 s", "40 keys repeated elsewhere")
}

// Guards against keys that run twice, or are told not_run although they ran, when
// the store carries out a write and its answer is lost.
func TestStoreAnswersLost(t *testing.T) {
	f := begin(t, "answers-lost")
	l := f.startLoad()
	f.losingStore(0.3)
	f.wait("30 lost answers", func() bool { return f.cluster.Store.Counts().Lost >= 30 })
	l.waitMore(50, atMostOnce)
	f.losingStore(0)
	l.waitMore(30, atMostOnce)
	l.verify("30 % of write answers lost")
}

// Guards against the combination of a lost answer with the death of the instance
// that would have read it back.
func TestAnswersLostAndKill(t *testing.T) {
	f := beginLong(t, "answers-lost+kill")
	l := f.startLoad()
	f.losingStore(0.3)
	for range 3 {
		l.waitMore(20, atMostOnce)
		f.restart(l, f.any())
	}
	f.losingStore(0)
	l.waitMore(20, atMostOnce)
	l.verify("30 % of write answers lost", "3 SIGKILL and restart")
}
