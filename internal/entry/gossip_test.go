package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Guards against instances that each enforce the full rate of an organisation, so
// that together they exceed it, and against a share that stays with idle instances.
// The instances use one simulated clock.
func TestOrganisationRateHoldsOverAllInstances(t *testing.T) {
	const rate, burst, seconds, warmUp = 90, 30, 60, 40
	cases := map[string][]int{"through one": {200, 0, 0}, "through all": {70, 70, 70}, "uneven": {150, 30, 6}}
	for name, offered := range cases {
		t.Run(name, func(t *testing.T) {
			fleet := newSimulatedFleet(len(offered))
			granted := 0
			for second := range warmUp + seconds {
				n := fleet.simulateSecond(offered, rate, burst)
				if second >= warmUp {
					granted += n
				}
			}
			qt.Check(t, granted <= rate*seconds+burst, qt.IsTrue, qt.Commentf("granted %d", granted))
			qt.Check(t, granted >= rate*seconds*95/100, qt.IsTrue, qt.Commentf("granted %d", granted))
			// The traffic moves to the last instance, which has to get the share of
			// the first one.
			last := make([]int, len(offered))
			last[len(last)-1] = 2 * rate
			for range warmUp {
				fleet.simulateSecond(last, rate, burst)
			}
			moved := fleet.simulateSecond(last, rate, burst)
			qt.Check(t, moved >= rate-2 && moved <= 2*rate, qt.IsTrue, qt.Commentf("granted %d", moved))
		})
	}
}

// simulatedFleet simulates the instances of one failure domain without sockets.
type simulatedFleet struct {
	now      time.Time
	limiters []*quota.RateLimiter
	states   []*membership.State
}

func newSimulatedFleet(n int) *simulatedFleet {
	f := &simulatedFleet{now: time.Unix(1000, 0)}
	for i := range n {
		id := string(rune('a' + i))
		f.limiters = append(f.limiters, quota.NewRateLimiter())
		f.states = append(f.states, membership.New(membership.Identity{ID: id, FailureDomain: "d", Address: id, Incarnation: 1}, rand.New(rand.NewPCG(uint64(i), 1)), f.now))
		f.states[i].SetCandidates([]membership.Candidate{{FailureDomain: "d", Address: "a"}})
	}
	return f
}

// simulateSecond offers requests that are spread evenly over one second, exchanges
// heartbeats and returns the number of admitted requests.
func (f *simulatedFleet) simulateSecond(offered []int, rate float64, burst int) (granted int) {
	for i, limiter := range f.limiters {
		for k := range offered[i] {
			at := f.now.Add(time.Duration(k) * time.Second / time.Duration(offered[i]))
			limiter.Observe("acme", 1, at)
			if ok, _ := limiter.Allow("acme", rate, burst, 1, at); ok {
				granted++
			}
		}
	}
	f.now = f.now.Add(time.Second)
	for i, state := range f.states {
		state.SetDemand(membershipDemand(f.limiters[i].DemandReport(f.now)))
		f.deliver(state.Tick(f.now))
		var peers []quota.DemandReport
		for _, report := range state.PeerDemand(f.now) {
			peers = append(peers, quotaDemandReport(report))
		}
		f.limiters[i].SetPeers(peers)
	}
	return granted
}

func (f *simulatedFleet) deliver(outputs []membership.Output) {
	for _, output := range outputs {
		if send, ok := output.(membership.Send); ok {
			f.deliver(f.states[send.Address[0]-'a'].Receive(f.now, send.Message))
		}
	}
}

// Guards against demand and straggler markers that are not sent to the other
// instances: these would grant the full rate once more, and would send calls to
// the slow server until they have samples of their own.
func TestDemandAndStragglersReachOtherInstances(t *testing.T) {
	c := qt.New(t)
	list := &standin.InstanceList{}
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		list.Put(platform.Member{ID: id, Role: platform.RoleBackend, Address: "127.0.0.1:1", Pool: "p", Region: "r", FailureDomain: "a", State: platform.StateLive})
	}
	address := startServer(c, list.Handler())
	first, second := controlSettings(c, address, "a"), controlSettings(c, address, "a")
	second.Instance, second.Peers = "entry-2", []string{first.PeerAddress}
	var busy, other *AdmissionControl
	var servers, others *Servers
	startControl(c, first, fx.Populate(&busy, &servers))
	startControl(c, second, fx.Populate(&other, &others))
	waitForStatus(c, first, func(s controlStatus) bool { return len(s.Peers.Members) == 2 && servers.findPool("p") != nil })
	request := &Request{Organisation: pipeline.Organisation{Name: "acme", RequestsPerSecond: 0.001, Burst: 2}}
	waitForStatus(c, second, func(controlStatus) bool {
		busy.checkRate(request, time.Now())
		servers.recordUnreachable("p", "e1")
		shares := other.status().Organisations
		return len(shares) == 1 && shares[0].Share < 1 && slices.ContainsFunc(others.findPool("p").status(), func(s serverStatus) bool {
			return s.ID == "e1" && s.Reported
		})
	})
}

// recordUnreachable records a call that did not reach the server.
func (s *Servers) recordUnreachable(pool, id string) {
	p := s.findPool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	index, _ := p.pool.Index(id)
	p.pool.Started(index, pipeline.ClassNormal, time.Now())
	p.pool.Finished(index, pipeline.ClassNormal, routing.Result{Outcome: routing.Unreachable}, time.Now())
}
