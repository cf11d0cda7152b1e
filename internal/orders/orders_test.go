package orders

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/order"
)

var start = time.Unix(1000, 0)

// fakeLeader returns a leadership that the test sets.
type fakeLeader struct{ held order.Leadership }

func (f *fakeLeader) Leadership(time.Time) order.Leadership { return f.held }

// startEngine starts a stand-in engine and returns its address.
func startEngine(c *qt.C, fences bool) string {
	server := httptest.NewServer(standin.NewBackend(standin.BackendConfig{
		ID: "e", Slots: 1, Incarnation: 1, Engine: standin.EngineConfig{FencesOrders: fences, Models: []string{"m@1"}},
	}).Handler())
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newLoop(leader Leader, engines backend.Engines, now *time.Time, desired ...order.Desired) *Loop {
	return &Loop{
		Leader: leader, Engines: engines, Logger: slog.New(slog.DiscardHandler),
		Desired:  func() []order.Desired { return desired },
		LoadRate: func() float64 { return 0 },
		BootTime: func() time.Time { return *now },
	}
}

// Guards against a loop that stops before the engine has the desired models, or that
// still sends orders when it has them.
func TestLoopBringsEngineToDesiredModels(t *testing.T) {
	c := qt.New(t)
	now := start
	engines := &countingEngines{Engines: &backend.HTTPEngines{Client: http.DefaultClient}}
	leader := &fakeLeader{order.Leadership{Held: true, FencingToken: 3, Since: start, Until: start.Add(time.Hour)}}
	address := startEngine(c, true)
	loop := newLoop(leader, engines, &now, order.Desired{Server: "e", Address: address, Models: []string{"m@2"}, FencesOrders: true})
	for range 200 {
		loop.Step(c.Context())
		now = now.Add(ReconcileInterval)
		time.Sleep(time.Millisecond) // so that the stand-in can finish its load
	}
	observed, err := engines.State(c.Context(), "e", address)
	c.Assert(err, qt.IsNil)
	c.Assert(observed.Models, qt.DeepEquals, []string{"m@2"})
	c.Assert(engines.sent.Load(), qt.Equals, int64(2))
}

// Guards against an order of a paused leader that an engine with a check of fencing
// tokens carries out after an order of the next leader.
func TestEngineRefusesOrderOfEarlierLeader(t *testing.T) {
	c := qt.New(t)
	engines := &backend.HTTPEngines{Client: http.DefaultClient}
	address := startEngine(c, true)
	role := order.Order{ID: "2-1", Address: address, Action: order.ActionRole, Target: "decode", FencingToken: 2, TTL: order.OrderTTL}
	c.Assert(engines.Send(c.Context(), role), qt.IsNil)
	role.ID, role.FencingToken, role.Target = "1-1", 1, "prefill"
	err := engines.Send(c.Context(), role)
	c.Assert(errors.Is(err, backend.ErrOrderRefused), qt.IsTrue)
	observed, err := engines.State(c.Context(), "e", address)
	c.Assert(err, qt.IsNil)
	c.Assert(observed.Role, qt.Equals, "decode")
}

// Guards against orders that are sent although the lease expired while the engines
// were read, for example because the process was paused.
func TestNoOrderAfterTheLeaseEnded(t *testing.T) {
	c := qt.New(t)
	now := start
	leader := &fakeLeader{order.Leadership{Held: true, FencingToken: 1, Since: start.Add(-time.Hour), Until: start.Add(10 * time.Second)}}
	engines := &countingEngines{Engines: &backend.HTTPEngines{Client: http.DefaultClient}}
	engines.onState = func() { now = now.Add(8 * time.Second) }
	loop := newLoop(leader, engines, &now, order.Desired{Server: "e", Address: startEngine(c, false), Models: []string{"m@2"}})
	loop.Step(c.Context())
	c.Assert(engines.sent.Load(), qt.Equals, int64(0))
}

// Guards against a leader that reads every engine in each period, and against an
// engine that has lost its model and is not corrected within ConvergedReadPeriods.
func TestConvergedEnginesAreReadInTurn(t *testing.T) {
	c := qt.New(t)
	now := start
	leader := &fakeLeader{order.Leadership{Held: true, FencingToken: 1, Since: start.Add(-time.Hour), Until: start.Add(time.Hour)}}
	engines := &countingEngines{Engines: &backend.HTTPEngines{Client: http.DefaultClient}}
	address := startEngine(c, true)
	var desired []order.Desired
	for i := range 20 {
		desired = append(desired, order.Desired{Server: string(rune('a' + i)), Address: address, Models: []string{"m@1"}, FencesOrders: true})
	}
	loop := newLoop(leader, engines, &now, desired...)
	loop.Step(c.Context())
	c.Assert(engines.reads.Load(), qt.Equals, int64(20))
	for range ConvergedReadPeriods {
		loop.Step(c.Context())
	}
	c.Assert(engines.reads.Load(), qt.Equals, int64(40))

	unload := order.Order{ID: "drift", Address: address, Action: order.ActionUnload, Target: "m@1", FencingToken: 1, TTL: order.OrderTTL}
	c.Assert(engines.Engines.Send(c.Context(), unload), qt.IsNil)
	for range ConvergedReadPeriods {
		loop.Step(c.Context())
	}
	c.Assert(engines.sent.Load() > 0, qt.IsTrue)
}

// countingEngines counts the calls and runs onState, unless nil, during each read of
// a state.
type countingEngines struct {
	backend.Engines
	reads   atomic.Int64
	sent    atomic.Int64
	onState func()
}

func (e *countingEngines) State(ctx context.Context, server, address string) (order.Observed, error) {
	e.reads.Add(1)
	if e.onState != nil {
		e.onState()
	}
	return e.Engines.State(ctx, server, address)
}

func (e *countingEngines) Send(ctx context.Context, o order.Order) error {
	e.sent.Add(1)
	return e.Engines.Send(ctx, o)
}
