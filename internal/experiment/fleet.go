package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// Names of the only pool, pipeline and organisation of an experiment.
const (
	poolName         = "pool"
	pipelineName     = "work"
	organisationName = "acme"
)

// layout describes the servers, instances and request kinds of an experiment.
type layout struct {
	regions            int
	serversPerRegion   int
	instancesPerRegion int
	slots              int
	serviceTime        time.Duration
	stage              pipeline.StageType
	kinds              []kind
}

const (
	// heartbeatInterval is the interval at which instances exchange the counts that
	// heartbeats carry.
	heartbeatInterval = time.Second
	// reportInterval is the interval at which baselines read load reports, reportLag
	// the age of the load that a report shows.
	reportInterval    = 250 * time.Millisecond
	reportLag         = 500 * time.Millisecond
	admissionInterval = 20 * time.Millisecond
	linkMbits         = 30
	answerBytes       = 2048
	// callerConnections is more than the number of requests that run at the same time.
	callerConnections = 4096
)

// fleet holds the running servers and instances of one run.
type fleet struct {
	layout
	backends []*standin.Backend
	servers  []backend.Server
	// urls holds the URLs of the instances by region.
	urls   [][]string
	link   *linkCounter
	client *http.Client
	close  []func()
}

func startFleet(l layout, policy string, seed uint64) *fleet {
	f := &fleet{layout: l, link: &linkCounter{}, urls: make([][]string, l.regions)}
	f.client = &http.Client{Transport: fleetNetwork.transport()}
	if httpTransport, ok := f.client.Transport.(*http.Transport); ok {
		httpTransport.MaxIdleConnsPerHost = callerConnections
	}
	for region := range l.regions {
		for i := range l.serversPerRegion {
			f.startServer(region, i)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.close = append(f.close, cancel)
	var peers []*entry.Servers
	for region := range l.regions {
		for i := range l.instancesPerRegion {
			id := fmt.Sprintf("i%d-%d", region, i)
			if policy == PolicyColtsfootdrift {
				peers = append(peers, f.startInstance(ctx, region, id))
				continue
			}
			f.startBaselineInstance(ctx, policy, region, seed+uint64(i))
		}
	}
	go exchangeCounts(ctx, peers)
	go repeatEvery(ctx, stragglerInterval, func() { exchangeStragglers(peers) })
	return f
}

// stop stops all servers and instances.
func (f *fleet) stop() {
	f.client.CloseIdleConnections()
	for i := len(f.close) - 1; i >= 0; i-- {
		f.close[i]()
	}
}

func regionName(region int) string { return fmt.Sprintf("region-%d", region) }

func (f *fleet) startServer(region, i int) {
	id := fmt.Sprintf("s%d-%d", region, i)
	b := standin.NewBackend(standin.BackendConfig{
		ID: id, Pool: poolName, Slots: f.slots, ServiceTime: f.serviceTime,
		AnswerBytes: answerBytes, ChunkBytes: answerBytes, LoadLag: reportLag,
	})
	address, stop := fleetNetwork.serve(b.Handler())
	f.close = append(f.close, stop)
	f.backends = append(f.backends, b)
	f.servers = append(f.servers, backend.Server{
		ID: id, Address: address, Pool: poolName,
		Region: regionName(region), FailureDomain: regionName(region),
	})
}

// set returns the configuration of the experiment.
func (f *fleet) set() *pipeline.Set {
	kinds := make([]pipeline.Kind, len(f.kinds))
	for i, k := range f.kinds {
		kinds[i] = pipeline.Kind{
			Name: k.name, Repeat: pipeline.RepeatIdempotent, Class: pipeline.Class(k.class),
			MaxWaitMS: k.deadline.Milliseconds(), Cost: pipeline.Cost{LinkBytes: k.linkBytes},
		}
	}
	return &pipeline.Set{
		Deployment: pipeline.Deployment{
			Pools:         []pipeline.Pool{{Name: poolName, Type: f.stage, Slots: f.slots}},
			LinkMbits:     linkMbits,
			Organisations: []pipeline.Organisation{{Name: organisationName}},
		},
		Pipelines: []pipeline.Pipeline{{
			Name:   pipelineName,
			Stages: []pipeline.Stage{{Name: "run", Type: f.stage, Pool: poolName}},
			Kinds:  kinds,
		}},
	}
}

func (f *fleet) members() []platform.Member {
	var members []platform.Member
	for _, s := range f.servers {
		members = append(members, platform.Member{
			ID: s.ID, Role: platform.RoleBackend, Address: s.Address, Pool: s.Pool,
			Region: s.Region, FailureDomain: s.FailureDomain, State: platform.StateLive,
		})
	}
	for region := range f.regions {
		for i := range f.instancesPerRegion {
			members = append(members, platform.Member{
				ID: fmt.Sprintf("i%d-%d", region, i), Role: platform.RoleEntry,
				Region: regionName(region), FailureDomain: regionName(region), State: platform.StateLive,
			})
		}
	}
	return members
}

// serve starts an instance around an executor.
func (f *fleet) serve(region int, executor *entry.Executor, control entry.Admission) {
	handler := &entry.Handler{
		Configuration: fixedConfiguration{f.set()}, Executor: executor, Admission: control, Now: time.Now,
	}
	address, stop := fleetNetwork.serve(handler.Router())
	f.close = append(f.close, stop)
	f.urls[region] = append(f.urls[region], "http://"+address)
}

func (f *fleet) caller(region int) backend.Caller {
	return &linkCaller{
		Caller: backend.NewHTTPCaller(fleetNetwork.transport(), nil), region: regionName(region), counter: f.link,
	}
}

func (f *fleet) startInstance(ctx context.Context, region int, id string) *entry.Servers {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	location := routing.Location{Region: regionName(region), FailureDomain: regionName(region)}
	servers := entry.NewServers(id, location, f.instancesPerRegion, logger, time.Now)
	servers.Update(f.members(), f.set())
	control := entry.NewAdmissionControl(servers, entry.NewAdmissionMetrics(tally.NoopScope), logger, time.Now)
	executor := entry.NewExecutor(f.caller(region), servers, time.Now)
	executor.Hedges, executor.Budgets = servers, servers
	f.serve(region, executor, control)
	go servers.PollLoad(ctx, &backend.HTTPLoadReader{Client: f.client})
	go repeatEvery(ctx, admissionInterval, control.Tick)
	return servers
}

func (f *fleet) startBaselineInstance(ctx context.Context, policy string, region int, seed uint64) {
	picker := newBaseline(policy, f.servers, seed)
	f.serve(region, entry.NewExecutor(f.caller(region), picker, time.Now), nil)
	if policy != PolicyTwoChoices {
		return
	}
	reader := &backend.HTTPLoadReader{Client: f.client}
	go repeatEvery(ctx, reportInterval, func() {
		for i, server := range f.servers {
			if report, err := reader.Load(ctx, server); err == nil {
				picker.report(i, report)
			}
		}
	})
}

// exchangeCounts passes the counts of each instance to all others. It stands for
// heartbeats, which take some rounds to reach all instances.
func exchangeCounts(ctx context.Context, peers []*entry.Servers) {
	repeatEvery(ctx, heartbeatInterval, func() {
		for from, sender := range peers {
			counts := sender.InFlightCounts()[poolName]
			for to, receiver := range peers {
				if to != from {
					receiver.SetPeerCounts(fmt.Sprint(from), poolName, counts)
				}
			}
		}
	})
}

// stragglerInterval is the time after which a newly detected straggler is known to the
// other instances, as with the gossip of real instances.
const stragglerInterval = 100 * time.Millisecond

func exchangeStragglers(peers []*entry.Servers) {
	reported := make([][]string, len(peers))
	for i, peer := range peers {
		reported[i] = peer.Stragglers()
	}
	for to, receiver := range peers {
		reports := map[string]int{}
		for from, ids := range reported {
			for _, id := range ids {
				if from != to {
					reports[id]++
				}
			}
		}
		receiver.SetPeerStragglers(reports)
	}
}

func repeatEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
