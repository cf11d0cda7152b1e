// Package demo serves requests of the example deployments with stand-ins on
// loopback and compares what callers got with what backend servers recorded.
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

// The demo stays under 30 s: no request starts after sendLimit, none runs longer
// than timeLimit, and the stop of the instances has a deadline of its own.
const (
	sendPeriod  = 10 * time.Second
	demoTimeout = 23 * time.Second
)

// callersPerDeployment is the number of requests on their way at once.
const callersPerDeployment = 24

// slowdown is the factor by which one engine is slow for a while.
const slowdownFactor = 5

// seed is that of the order of requests.
const requestOrderSeed = 1

// Run serves the requests of all example deployments.
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
			d, results, err := runDeployment(ctx, name, folder, logger)
			if err != nil {
				return fmt.Errorf("demo of %s: %w", name, err)
			}
			mu.Lock()
			defer mu.Unlock()
			report.Instances += d.instanceCount
			report.countRequests(d, results)
			return nil
		})
	}
	err = group.Wait()
	report.sumKinds()
	report.Seconds = time.Since(started).Seconds()
	return report, err
}

// serve starts one deployment, sends its requests and stops it. The records are
// complete once the deployment has stopped.
func runDeployment(ctx context.Context, name, folder string, logger *slog.Logger) (*deployment, []traffic.Exchange, error) {
	folder, err := unpack(name, folder)
	if err != nil {
		return nil, nil, err
	}
	d, err := start(ctx, name, folder, logger)
	if err != nil {
		return nil, nil, err
	}
	results := d.send(ctx, traffic.Plan(d.cluster.Set, rand.New(rand.NewPCG(requestOrderSeed, 1)), ""))
	return d, results, d.stop()
}

// collect counts the requests of a deployment.
func (r *Report) countRequests(d *deployment, results []traffic.Exchange) {
	v := traffic.NewVerifier(d.cluster.Set, d.cluster.Runs())
	for _, s := range results {
		counts := v.Count(s)
		r.countsOf(d.name, s.Kind.Name).Add(counts)
		if counts.Violations() > 0 {
			r.addViolation(d.name, s)
		}
	}
}

// send sends all requests with a bounded number at once.
func (d *deployment) send(ctx context.Context, requests []traffic.Request) []traffic.Exchange {
	c := &traffic.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callersPerDeployment}}}
	defer c.HTTP.CloseIdleConnections()
	results := make([]traffic.Exchange, len(requests))
	var group errgroup.Group
	group.SetLimit(callersPerDeployment)
	started := time.Now()
	for i, r := range requests {
		if time.Since(started) > sendPeriod {
			results = results[:i]
			break
		}
		d.injectFaults(i, len(requests))
		group.Go(func() error {
			results[i] = traffic.Exchange{Request: r, Answers: d.sendWithRepeats(ctx, c, i, r)}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return results
}

// sendAll sends a request and its repeats. Every other traffic.Request is repeated while
// it runs, the rest after its answer; each time at another instance.
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

// disturb makes stand-ins misbehave while requests are sent: at a quarter of them
// an engine becomes slow, a server leaves and single answers go wrong, at three
// quarters the slow engine recovers.
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

// ErrViolations reports a demo with a count that must be 0 and isn't.
var ErrViolations = errors.New("requests were lost, doubled, mixed up, or ran although the caller was told not_run")
