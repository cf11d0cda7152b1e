package experiment

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const smallBody = `{"text":"lot 4711"}`

// allRequests selects the requests of all kinds and phases.
var allRequests = selection{-1, -1}

// straggler slows two of twelve servers down by a factor of ten in the middle of the
// run.
var straggler = scenario{
	policies: Policies,
	figures:  []string{"p99 before ms", "p99 slowed ms", "p99 ratio", "in time"},
	goals:    []Goal{{Figure: "p99 ratio", Bound: 1.5}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		f := startFleet(layout{
			regions: 1, serversPerRegion: 12, instancesPerRegion: 9, slots: 4, serviceTime: 20 * time.Millisecond, stage: pipeline.StageRerank,
			kinds: []kind{{name: "lookup", class: "interactive", deadline: time.Second, body: smallBody}},
		}, policy, seed)
		defer f.stop()
		const warm, before, slowed = 500 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second
		lookups := []flow{{perSecond: 700}}
		arrivals := schedule([]phase{{before, lookups}, {slowed, lookups}}, seed)
		r := f.runLoad(arrivals, map[time.Duration]func(){before: func() {
			f.backends[0].SetSlowdown(10)
			f.backends[1].SetSlowdown(10)
		}})
		baseP99, slowedP99 := r.p99(selection{-1, 0}, warm), r.p99(selection{-1, 1}, 0)
		return map[string]float64{"p99 before ms": baseP99, "p99 slowed ms": slowedP99, "p99 ratio": slowedP99 / baseP99, "in time": r.onTimeShare(allRequests, 0)}, nil
	},
}

// headOfLine sends short requests alone, long requests alone, and then both together.
var headOfLine = scenario{
	policies: Policies,
	figures:  []string{"short p99 alone ms", "short p99 ratio", "long mean alone ms", "long mean ratio", "in time"},
	goals:    []Goal{{Figure: "short p99 ratio", Bound: 1.2}, {Figure: "long mean ratio", Bound: 1.3}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		f := startFleet(layout{
			regions: 1, serversPerRegion: 8, instancesPerRegion: 4, slots: 5, serviceTime: 20 * time.Millisecond, stage: pipeline.StageGenerate,
			kinds: []kind{
				{name: "check", class: "interactive", deadline: 500 * time.Millisecond, body: smallBody},
				{name: "dossier", class: "long", deadline: 10 * time.Second, body: `{"answer_bytes":40960}`},
			},
		}, policy, seed)
		defer f.stop()
		const short, long = 0, 1
		checks, dossiers := flow{kind: short, perSecond: 450}, flow{kind: long, perSecond: 45}
		arrivals := schedule([]phase{
			{1200 * time.Millisecond, []flow{checks}},
			{1200 * time.Millisecond, []flow{dossiers}},
			{600 * time.Millisecond, nil},
			{1600 * time.Millisecond, []flow{checks, dossiers}},
		}, seed)
		r := f.runLoad(arrivals, nil)
		shortAlone, shortBoth := r.p99(selection{short, 0}, 200*time.Millisecond), r.p99(selection{short, 3}, 0)
		longAlone := r.latency(selection{long, 1}, 0).Mean() / 1000
		longBoth := r.latency(selection{long, 3}, 0).Mean() / 1000
		return map[string]float64{
			"short p99 alone ms": shortAlone, "short p99 ratio": shortBoth / shortAlone,
			"long mean alone ms": longAlone, "long mean ratio": longBoth / longAlone, "in time": r.onTimeShare(allRequests, 0),
		}, nil
	},
}

// swing raises the load by a factor of five, to twice the capacity, and lowers it again.
// The interactive load alone always stays within the capacity.
var swing = scenario{
	policies: Policies,
	figures:  []string{"capacity per s", "delivered share", "interactive in time", "normal in time", "in time after"},
	goals: []Goal{
		{Figure: "delivered share", AtLeast: true, Bound: 0.95},
		{Figure: "interactive in time", AtLeast: true, Bound: 0.99},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		l := layout{
			regions: 1, serversPerRegion: 12, instancesPerRegion: 9, slots: 4, serviceTime: 80 * time.Millisecond, stage: pipeline.StageRerank,
			kinds: []kind{
				{name: "read", class: "interactive", deadline: 400 * time.Millisecond, body: smallBody},
				{name: "draft", class: "normal", deadline: time.Second, body: smallBody},
			},
		}
		f := startFleet(l, policy, seed)
		defer f.stop()
		capacity := f.measureCapacity(capacityMeasureTime)
		const base, peak, after = 600 * time.Millisecond, 1600 * time.Millisecond, 600 * time.Millisecond
		flows := func(load float64) []flow {
			return []flow{{kind: 0, perSecond: 0.4 * load * capacity}, {kind: 1, perSecond: 0.6 * load * capacity}}
		}
		arrivals := schedule([]phase{{base, flows(0.4)}, {peak, flows(2)}, {after, flows(0.4)}}, seed)
		r := f.runLoad(arrivals, nil)
		return map[string]float64{
			"capacity per s":      capacity,
			"delivered share":     r.onTimeRate(base+l.serviceTime, base+peak) / capacity,
			"interactive in time": r.onTimeShare(selection{0, -1}, 0),
			"normal in time":      r.onTimeShare(selection{1, -1}, 0),
			"in time after":       r.onTimeShare(selection{-1, 2}, 0),
		}, nil
	},
}

// capacityMeasureTime is 20 service times, so that the cold connections at the start
// hardly affect the result. Two repetitions of all policies still end within a minute.
const capacityMeasureTime = 1600 * time.Millisecond

// measureCapacity returns the answers per second of all servers while every slot is
// busy.
func (f *fleet) measureCapacity(duration time.Duration) float64 {
	caller := backend.NewHTTPCaller(fleetNetwork.transport(), nil)
	var answers atomic.Int64
	var workers sync.WaitGroup
	end := time.Now().Add(duration)
	started := time.Now()
	for _, server := range f.servers {
		for range f.slots {
			workers.Go(func() {
				for time.Now().Before(end) {
					stream, err := caller.Call(context.Background(), server, backend.StageRequest{
						Type: f.stage, Input: []byte(smallBody), Timeout: time.Minute, MaxAnswerBytes: 1 << 20,
					})
					if err == nil {
						_, _ = stream.Next()
						_ = stream.Close()
						answers.Add(1)
					}
				}
			})
		}
	}
	workers.Wait()
	return float64(answers.Load()) / time.Since(started).Seconds()
}

// regions loads one region above its capacity for a while; the other one is nearly
// idle. The baselines ignore regions: the figures with "blind" in their names compare
// with the least-requests policy.
var regions = scenario{
	policies: Policies,
	figures:  []string{"in time", "link MB", "link share of blind", "busiest second share of budget"},
	goals: []Goal{
		{Figure: "link share of blind", Bound: 0.1},
		{Figure: "busiest second share of budget", Bound: 1},
		{Figure: "in time less blind", AtLeast: true, Bound: 0},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		f := startFleet(layout{
			regions: 2, serversPerRegion: 6, instancesPerRegion: 4, slots: 4, serviceTime: 40 * time.Millisecond, stage: pipeline.StageRerank,
			kinds: []kind{{
				name: "label", class: "interactive", deadline: 300 * time.Millisecond, linkBytes: 8 << 10,
				body: `{"text":"` + strings.Repeat("lot 4711 ", 200) + `"}`,
			}},
		}, policy, seed)
		defer f.stop()
		quiet := flow{region: 1, perSecond: 120}
		const warm = 500 * time.Millisecond
		arrivals := schedule([]phase{
			{warm, []flow{{region: 0, perSecond: 200}, quiet}},
			{1400 * time.Millisecond, []flow{{region: 0, perSecond: 350}, quiet}},
			{400 * time.Millisecond, []flow{{region: 0, perSecond: 700}, quiet}},
			{1200 * time.Millisecond, []flow{{region: 0, perSecond: 350}, quiet}},
		}, seed)
		r := f.runLoad(arrivals, nil)
		total, busiest := f.link.totals()
		return map[string]float64{
			"in time": r.onTimeShare(allRequests, warm), "link MB": float64(total) / 1e6,
			"busiest second share of budget": float64(busiest) / (linkMbits * 1e6 / 8),
		}, nil
	},
	derive: func(byPolicy map[string]map[string]float64) {
		system, leastRequests := byPolicy[PolicyColtsfootdrift], byPolicy[PolicyLeastRequests]
		system["link share of blind"] = system["link MB"] / leastRequests["link MB"]
		system["in time less blind"] = system["in time"] - leastRequests["in time"]
	},
}

// overheadRequests is the number of requests on each path of one repetition.
const overheadRequests = 3000

// overhead measures the processor time that an instance adds to one relayed request.
var overhead = scenario{
	policies: []string{PolicyColtsfootdrift},
	figures:  []string{"direct us", "relay us", "entry us", "added ratio"},
	goals:    []Goal{{Figure: "added ratio", Bound: 1.5}},
	trial: func(string, uint64) (map[string]float64, error) {
		o, err := MeasureOverhead(overheadRequests)
		return map[string]float64{
			"direct us": float64(o.Direct.Microseconds()), "relay us": float64(o.Relay.Microseconds()),
			"entry us": float64(o.Entry.Microseconds()), "added ratio": o.AddedRatio(),
		}, err
	},
}
