// Package demo runs the example deployments with stand-ins on loopback, sends them
// requests while it injects faults, and compares the answers that callers got with
// the runs that backend servers recorded.
package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/examples"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

// The demo takes less than 30 s: no request starts after sendPeriod, no request runs
// after demoTimeout, and stopping the instances is limited by shutdownDeadline.
const (
	sendPeriod  = 10 * time.Second
	demoTimeout = 23 * time.Second
)

// callersPerDeployment is the maximum number of concurrent requests, not counting
// repeats that are sent while the request runs.
const callersPerDeployment = 24

// slowdownFactor multiplies the service time of one engine for a while.
const slowdownFactor = 5

// requestOrderSeed seeds the random order of the requests.
const requestOrderSeed = 1

// Run runs all example deployments concurrently and returns the report. When
// a deployment fails, it returns an error and the report of the others.
func Run(ctx context.Context, logger *slog.Logger) (*Report, error) {
	started := time.Now()
	folder, err := os.MkdirTemp("", "coltsfootdrift-demo-")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer os.RemoveAll(folder)
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()

	report := &Report{Kinds: map[string]*traffic.Counts{}}
	var mu sync.Mutex
	var group errgroup.Group
	for _, name := range examples.Deployments() {
		group.Go(func() error {
			d, exchanges, err := runDeployment(ctx, name, folder, logger)
			if err != nil {
				return fmt.Errorf("demo of %s: %w", name, err)
			}
			mu.Lock()
			defer mu.Unlock()
			report.Instances += d.instanceCount
			report.countRequests(d, exchanges)
			return nil
		})
	}
	err = group.Wait()
	report.sumKinds()
	report.Seconds = time.Since(started).Seconds()
	return report, err
}

// runDeployment starts one deployment, sends its requests and stops it. The recorded
// runs are complete once the deployment has stopped.
func runDeployment(ctx context.Context, name, folder string, logger *slog.Logger) (*deployment, []traffic.Exchange, error) {
	folder, err := unpack(name, folder)
	if err != nil {
		return nil, nil, err
	}
	d, err := start(ctx, name, folder, logger)
	if err != nil {
		return nil, nil, err
	}
	exchanges := d.send(ctx, traffic.Plan(d.cluster.Set, rand.New(rand.NewPCG(requestOrderSeed, 1)), ""))
	return d, exchanges, d.stop()
}

// countRequests verifies the requests of a deployment and adds their counts.
func (r *Report) countRequests(d *deployment, exchanges []traffic.Exchange) {
	v := traffic.NewVerifier(d.cluster.Set, d.cluster.Runs())
	for _, e := range exchanges {
		counts := v.Count(e)
		r.countsOf(d.name, e.Kind.Name).Add(counts)
		if counts.Violations() > 0 {
			r.addViolation(d.name, e)
		}
	}
}

// send sends the requests with limited concurrency. After sendPeriod it leaves out
// the rest.
func (d *deployment) send(ctx context.Context, requests []traffic.Request) []traffic.Exchange {
	c := &traffic.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersPerDeployment}}}
	defer c.HTTP.CloseIdleConnections()
	exchanges := make([]traffic.Exchange, len(requests))
	var group errgroup.Group
	group.SetLimit(callersPerDeployment)
	started := time.Now()
	for i, r := range requests {
		if time.Since(started) > sendPeriod {
			exchanges = exchanges[:i]
			break
		}
		d.injectFaults(i, len(requests))
		group.Go(func() error {
			exchanges[i] = traffic.Exchange{Request: r, Answers: d.sendWithRepeats(ctx, c, i, r)}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return exchanges
}

// sendWithRepeats sends a request and its repeats, each to another instance. Requests
// at odd positions are repeated while they run, the others after their answer.
func (d *deployment) sendWithRepeats(ctx context.Context, c *traffic.Client, position int, r traffic.Request) []traffic.Answer {
	answers := make([]traffic.Answer, r.Repeats+1)
	var group errgroup.Group
	if position%2 == 0 {
		group.SetLimit(1)
	}
	for n := range answers {
		address := d.callerAddresses[(position+n)%len(d.callerAddresses)]
		group.Go(func() error {
			answers[n] = c.Send(ctx, address, r)
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

// injectFaults injects faults while requests are sent. After a quarter of them an
// engine becomes slow, one server drains, another one gives single faulty answers,
// and the store loses the answers of two writes. After three quarters the slow engine
// recovers.
func (d *deployment) injectFaults(position, total int) {
	servers := d.cluster.Servers
	switch position {
	case total / 4:
		servers[0].Backend().SetSlowdown(slowdownFactor)
		servers[1].Backend().SetFaults(standin.BackendFaults{Next: map[standin.Fault]int{
			standin.FaultHalf: 1, standin.FaultCrossed: 1, standin.FaultRefuse: 1,
		}})
		servers[len(servers)-1].Backend().SetDraining(true)
		faults := d.cluster.Store.Faults()
		faults.LoseNext = 2
		d.cluster.Store.SetFaults(faults)
	case total * 3 / 4:
		servers[0].Backend().SetSlowdown(1)
	}
}

// ErrViolations reports that a count which must be 0 is not.
var ErrViolations = errors.New("requests were lost, doubled, mixed up, or ran although the caller got the outcome not_run")
