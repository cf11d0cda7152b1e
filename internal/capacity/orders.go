package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/orders"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/order"
)

func ordersSweeps() []sweep {
	return []sweep{{
		role: RoleOrders, per: "engine of a leader", sizes: []int{12, 56, targetAccelerators / targetDomains, 500, targetAccelerators},
		target: targetAccelerators, setUp: setUpOrders,
	}}
}

// byteCounter counts the bytes of connections in both directions, and the dials.
type byteCounter struct{ sent, received, dials atomic.Int64 }

type byteCountingConn struct {
	net.Conn
	counter *byteCounter
}

func (c byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

func (b *byteCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	b.dials.Add(1)
	return byteCountingConn{conn, b}, err
}

// permanentLeader is an orders.Leader that always holds the leadership.
type permanentLeader struct{}

// Leadership implements orders.Leader.
func (permanentLeader) Leadership(now time.Time) order.Leadership {
	return order.Leadership{Held: true, FencingToken: 1, Since: now.Add(-time.Minute), Until: now.Add(time.Minute)}
}

// setUpOrders starts one stand-in whose address is used for all engines.
func setUpOrders() (func(int) ([]figure, error), func(), error) {
	engine := standin.NewBackend(standin.BackendConfig{ID: "engine", Engine: standin.EngineConfig{Models: []string{"model-01"}, Role: "decode"}})
	server := httptest.NewServer(engine.Handler())
	counter := &byteCounter{}
	client := &http.Client{Transport: &http.Transport{DialContext: counter.dial, MaxIdleConnsPerHost: 64}}
	measure := func(engines int) ([]figure, error) {
		return measureOrders(engines, server.Listener.Addr().String(), client, counter)
	}
	tearDown := func() {
		client.CloseIdleConnections()
		server.Close()
	}
	return measure, tearDown, nil
}

func desiredEngines(n int, address string) []order.Desired {
	desired := make([]order.Desired, n)
	for i := range desired {
		desired[i] = order.Desired{
			Server: fmt.Sprintf("engine-%04d", i), Address: address, Pool: "engines", Models: []string{"model-01"}, Role: "decode",
		}
	}
	return desired
}

// measureOrders runs the control loop over engines that are already in the desired
// state, for as many periods as it takes to read each of them once. Figures are means
// for one period.
func measureOrders(engines int, address string, client *http.Client, counter *byteCounter) ([]figure, error) {
	desired := desiredEngines(engines, address)
	loop := &orders.Loop{
		Leader: permanentLeader{}, Engines: &backend.HTTPEngines{Client: client}, BootTime: time.Now, Logger: slog.New(slog.DiscardHandler),
		Desired:  func() []order.Desired { return desired },
		LoadRate: func() float64 { return 1 },
	}
	loop.Step(context.Background())
	sent, received := counter.sent.Load(), counter.received.Load()
	elapsed := stopwatch()
	took, err := processorTime(func() error {
		for range orders.ConvergedReadPeriods {
			loop.Step(context.Background())
		}
		return nil
	})
	return []figure{
		{"engine calls of a loop", "calls", float64(engines) / orders.ConvergedReadPeriods},
		{"bytes sent by a loop", "B", float64(counter.sent.Load()-sent) / orders.ConvergedReadPeriods},
		{"bytes received by a loop", "B", float64(counter.received.Load()-received) / orders.ConvergedReadPeriods},
		{"processor time of a loop with the engines' side", "us", float64(took.Microseconds()) / orders.ConvergedReadPeriods},
		{"duration of a loop on loopback", "ms", milliseconds(elapsed()) / orders.ConvergedReadPeriods},
	}, err
}
