package order

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

var start = time.Unix(1000, 0)

func leaderAt(since time.Time) Leadership {
	return Leadership{Held: true, FencingToken: 7, Since: since, Until: since.Add(time.Hour)}
}

// Guards against a new leader that sends an order to an engine that ignores
// fencing tokens while an order of the earlier leader has not expired.
func TestNewLeaderDelaysOrdersToEnginesThatIgnoreFencingTokens(t *testing.T) {
	c := qt.New(t)
	r := NewReconciler(Config{LoadsPerMinute: 600, LoadBurst: 10})
	r.SetDesired([]Desired{
		{Server: "fenced", Pool: "a", Models: []string{"m"}, FencesOrders: true},
		{Server: "unfenced", Pool: "b", Models: []string{"m"}},
	})
	r.Observe(Observed{Server: "fenced"})
	r.Observe(Observed{Server: "unfenced"})

	orders := r.Step(start, leaderAt(start))
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, "fenced")
	r.Observe(Observed{Server: "fenced", Models: []string{"m"}})
	c.Assert(r.Step(start.Add(TakeoverWait-time.Millisecond), leaderAt(start)), qt.HasLen, 0)
	orders = r.Step(start.Add(TakeoverWait), leaderAt(start))
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Server, qt.Equals, "unfenced")
}

// Guards against orders of a leader whose lease is about to expire.
func TestLeaderSendsNoOrderNearTheEndOfItsLease(t *testing.T) {
	c := qt.New(t)
	leadership := Leadership{Held: true, FencingToken: 1, Since: start.Add(-time.Minute), Until: start.Add(StopMargin)}
	c.Assert(leadership.MaySendOrder(start.Add(-time.Millisecond), true), qt.IsTrue)
	c.Assert(leadership.MaySendOrder(start, true), qt.IsFalse)
	leadership.Held = false
	c.Assert(leadership.MaySendOrder(start.Add(-time.Minute), true), qt.IsFalse)
}

// Guards against a change of version that unloads the old version first, which
// leaves the engine without a model.
func TestNewVersionIsLoadedBeforeTheOldOneIsUnloaded(t *testing.T) {
	c := qt.New(t)
	r := NewReconciler(Config{LoadsPerMinute: 600, LoadBurst: 10})
	r.SetDesired([]Desired{{Server: "e", Models: []string{"m@2"}, FencesOrders: true}})
	r.Observe(Observed{Server: "e", Models: []string{"m@1"}})
	orders := r.Step(start, leaderAt(start))
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Action, qt.Equals, ActionLoad)

	r.Observe(Observed{Server: "e", Models: []string{"m@1", "m@2"}})
	orders = r.Step(start.Add(time.Second), leaderAt(start))
	c.Assert(orders, qt.HasLen, 1)
	c.Assert(orders[0].Action, qt.Equals, ActionUnload)
	c.Assert(orders[0].Target, qt.Equals, "m@1")
}

// Guards against an order that was lost in transit and is never sent again.
func TestLostOrderIsRepeatedAfterItsTTL(t *testing.T) {
	c := qt.New(t)
	r := NewReconciler(Config{LoadsPerMinute: 600, LoadBurst: 10})
	r.SetDesired([]Desired{{Server: "e", Models: []string{"m"}, FencesOrders: true}})
	r.Observe(Observed{Server: "e"})
	first := r.Step(start, leaderAt(start))
	c.Assert(first, qt.HasLen, 1)
	c.Assert(r.Step(start.Add(OrderTTL), leaderAt(start)), qt.HasLen, 0)
	again := r.Step(start.Add(OrderTTL+time.Millisecond), leaderAt(start))
	c.Assert(again, qt.HasLen, 1)
	c.Assert(again[0].ID, qt.Not(qt.Equals), first[0].ID)
}

// Guards against loads that exceed the weight store's rate limit or occupy too
// much of a pool, and against engines that never reach the desired state. The
// simulated engines carry orders out late, lose some of them and restart.
func TestLoadsStayWithinLimitsAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const loadsPerMinute, burst = 120, 2
		size := rapid.IntRange(1, 12).Draw(t, "size")
		r := NewReconciler(Config{LoadsPerMinute: loadsPerMinute, LoadBurst: burst})
		engines := newEngines(r, size)
		sent := 0
		for step := range 400 {
			now := start.Add(time.Duration(step) * 500 * time.Millisecond)
			lossy := step < 100
			for _, order := range r.Step(now, leaderAt(start)) {
				sent++
				if lossy && rapid.Bool().Draw(t, "lost") {
					continue
				}
				engines[order.Server].accept(order)
			}
			limit := burst + loadsPerMinute*step/120 + 1
			if sent > limit {
				t.Fatalf("%d loads after %d steps, limit %d", sent, step, limit)
			}
			if loading := countLoadingEngines(engines); float64(loading) > max(1, maxPoolShare*float64(size)) {
				t.Fatalf("%d of %d engines are loading at once", loading, size)
			}
			for _, e := range engines {
				e.advance(lossy && rapid.IntRange(0, 30).Draw(t, "restart") == 0)
				r.Observe(e.state)
			}
		}
		for name, e := range engines {
			if !slices.Equal(e.state.Models, []string{"m"}) {
				t.Fatalf("engine %s has loaded %v at the end", name, e.state.Models)
			}
		}
	})
}

// engine simulates an engine that carries out an accepted order after a few steps.
type engine struct {
	state     Observed
	stepsLeft int
	order     Order
}

func newEngines(r *Reconciler, size int) map[string]*engine {
	engines := map[string]*engine{}
	var desired []Desired
	for i := range size {
		name := string(rune('a' + i))
		engines[name] = &engine{state: Observed{Server: name, Incarnation: 1}}
		desired = append(desired, Desired{Server: name, Pool: "p", Models: []string{"m"}, FencesOrders: true})
	}
	r.SetDesired(desired)
	for _, e := range engines {
		r.Observe(e.state)
	}
	return engines
}

func (e *engine) accept(order Order) {
	e.order, e.stepsLeft, e.state.Loading = order, 3, true
}

func (e *engine) advance(restart bool) {
	if restart {
		e.state = Observed{Server: e.state.Server, Incarnation: e.state.Incarnation + 1}
		e.stepsLeft = 0
		return
	}
	if e.stepsLeft == 0 {
		return
	}
	if e.stepsLeft--; e.stepsLeft == 0 {
		e.state.Loading = false
		e.state.Models = append(e.state.Models, e.order.Target)
	}
}

func countLoadingEngines(engines map[string]*engine) int {
	loading := 0
	for _, e := range engines {
		if e.state.Loading {
			loading++
		}
	}
	return loading
}
