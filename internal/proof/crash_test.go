package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// loseWriteAnswers makes a fraction of the store writes take effect without an answer.
func (f *fleet) loseWriteAnswers(share float64) {
	f.storeFaults(func(faults *standin.StoreFaults) { faults.LoseShare = share })
}

// restart kills an instance, waits until the others have served requests, and starts
// it again.
func (f *fleet) restart(l *load, victim *instance) {
	f.Helper()
	victim.kill()
	l.waitMore(20, idempotent)
	victim.start()
	f.waitReady(victim)
}

// Guards against requests that are lost or run twice when their instance is killed.
func TestKillUnderLoad(t *testing.T) {
	f := startScenario(t, "kill")
	l := f.startLoad()
	for range 4 {
		l.waitMore(30, atMostOnce)
		f.restart(l, f.randomInstance())
	}
	l.verify("4 SIGKILL and restart")
}

// Guards against an instance that continues with requests whose claims it no longer
// holds. The instance is paused for longer than its leases, and meanwhile the keys that
// it had claimed are sent to other instances again.
func TestPauseLongerThanLease(t *testing.T) {
	f := startLongScenario(t, "pause")
	f.cluster.Servers[0].Backend().SetSlowdown(5)
	l := f.startLoad()
	l.waitMore(30, atMostOnce)
	victim := f.randomInstance()
	keyed := l.newKeyedBurst(40)
	running := l.sendTo(victim, keyed)
	f.waitUntil("claims of the victim", func() bool { return f.runsOf(keyed) > 0 })
	victim.signal(syscall.SIGSTOP)
	pausedAt := time.Now()
	l.resend(keyed)
	// The pause lasts longer than the grant and the leases of 10 s.
	f.waitUntil("end of the pause", func() bool { return time.Since(pausedAt) > claims.GrantLifetime+time.Second })
	victim.signal(syscall.SIGCONT)
	running.Wait()
	l.addBurst(keyed)
	f.waitReady(victim)
	l.waitMore(30, atMostOnce)
	l.verify("SIGSTOP for 11 s", "40 keys repeated elsewhere")
}

// Guards against keyed requests that run twice, or get the outcome not_run although
// they ran, when a write to the store takes effect but its answer is lost.
func TestStoreAnswersLost(t *testing.T) {
	f := startScenario(t, "answers-lost")
	l := f.startLoad()
	f.loseWriteAnswers(0.3)
	f.waitUntil("30 lost answers", func() bool { return f.cluster.Store.Counts().Lost >= 30 })
	l.waitMore(50, atMostOnce)
	f.loseWriteAnswers(0)
	l.waitMore(30, atMostOnce)
	l.verify("30 % of write answers lost")
}

// Guards against requests that are lost or run twice when the answer of a write is
// lost and the instance is killed before it reads the written value back.
func TestAnswersLostAndKill(t *testing.T) {
	f := startLongScenario(t, "answers-lost+kill")
	l := f.startLoad()
	f.loseWriteAnswers(0.3)
	for range 3 {
		l.waitMore(20, atMostOnce)
		f.restart(l, f.randomInstance())
	}
	f.loseWriteAnswers(0)
	l.waitMore(20, atMostOnce)
	l.verify("30 % of write answers lost", "3 SIGKILL and restart")
}
