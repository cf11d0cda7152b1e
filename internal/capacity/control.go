package capacity

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const (
	// fleetWarmUp is enough time for all instances to discover each other and for
	// one to become leader.
	fleetWarmUp = 8 * time.Second
	// fleetWindow is the time over which an idle fleet is measured.
	fleetWindow = 10 * time.Second
	// fleetEngines is the number of engines in the instance list.
	fleetEngines = 12
	fleetRegion  = "region"
	fleetPool    = "engines"
)

// fleetDomains are the failure domains of the instances, as many as a deployment
// has today.
var fleetDomains = []string{"domain-a", "domain-b", "domain-c"}

func controlSweeps() []sweep {
	return []sweep{{
		role: RoleControl, per: "instance of an idle fleet", sizes: []int{3, 9, 30, 60}, target: targetInstances, singleRun: true,
		setUp: withoutState(measureIdleFleet),
	}}
}

// idleFleet is a fleet of entry instances without requests. The instances and the
// stand-ins that they use run in this process.
type idleFleet struct {
	keyStore        *standin.Store
	instanceList    *standin.InstanceList
	storeBytes      *byteCounter
	storeAddress    string
	platformAddress string
	servers         []*httptest.Server
	entries         []settings.Entry
	apps            []*fx.App
}

// measureIdleFleet measures the control traffic of n idle instances. Calls to the
// store are reported for the whole fleet, because their number depends on the
// failure domains and not on the instances.
func measureIdleFleet(n int) (figures []figure, err error) {
	f, err := startIdleFleet(n)
	defer func() { err = errors.Join(err, f.stop()) }()
	if err != nil {
		return nil, err
	}
	time.Sleep(fleetWarmUp)
	before, err := f.count()
	if err != nil {
		return nil, err
	}
	took, err := processorTime(func() error {
		time.Sleep(fleetWindow)
		return nil
	})
	after, countErr := f.count()
	perSecond := func(difference float64) float64 { return difference / fleetWindow.Seconds() }
	perInstance := func(difference float64) float64 { return perSecond(difference) / float64(n) }
	return []figure{
		{"heartbeats sent by an instance", "1/s", perInstance(after.heartbeats - before.heartbeats)},
		{"bytes of heartbeats sent by an instance", "B/s", perInstance(after.heartbeatBytes - before.heartbeatBytes)},
		{"store reads by the fleet", "1/s", perSecond(after.reads - before.reads)},
		{"store writes by the fleet", "1/s", perSecond(after.writes - before.writes)},
		{"watches that wait at the store", "watches", after.watches},
		{"bytes between the fleet and the store", "B/s", perSecond(after.storeBytes - before.storeBytes)},
		{"processor time of an instance with its stand-ins", "us/s", perInstance(float64(took.Microseconds()))},
	}, errors.Join(err, countErr)
}

func startIdleFleet(n int) (*idleFleet, error) {
	f := &idleFleet{keyStore: standin.NewStore(), instanceList: &standin.InstanceList{}, storeBytes: &byteCounter{}}
	f.storeAddress = f.serve(f.keyStore.Handler(), f.storeBytes)
	f.platformAddress = f.serve(f.instanceList.Handler(), nil)
	engine := f.serve(standin.NewBackend(standin.BackendConfig{
		ID: "engine", Slots: 8, Engine: standin.EngineConfig{FencesOrders: true, Models: []string{"model"}},
	}).Handler(), nil)
	for i := range fleetEngines {
		f.instanceList.Put(platform.Member{
			ID: fmt.Sprintf("engine-%02d", i), Role: platform.RoleBackend, Address: engine, Pool: fleetPool,
			Region: fleetRegion, FailureDomain: fleetDomains[i%len(fleetDomains)], State: platform.StateLive,
		})
	}
	request := config.Request{Author: "capacity", Set: fleetSet()}
	if _, err := configuration.Publish(context.Background(), store.NewHTTP(f.storeAddress), request, false); err != nil {
		return f, err
	}
	return f, f.startEntries(n)
}

func fleetSet() *pipeline.Set {
	return &pipeline.Set{Deployment: pipeline.Deployment{
		Name:    "capacity",
		Regions: []pipeline.Region{{Name: fleetRegion, FailureDomains: fleetDomains}},
		Pools:   []pipeline.Pool{{Name: fleetPool, Type: pipeline.StageGenerate, Slots: 8, Models: []string{"model"}, FencesOrders: true}},
	}}
}

// serve starts the HTTP server of a stand-in and returns its address. The bytes of
// its connections are counted unless counter is nil.
func (f *idleFleet) serve(handler http.Handler, counter *byteCounter) string {
	server := httptest.NewUnstartedServer(handler)
	if counter != nil {
		server.Listener = byteCountingListener{server.Listener, counter}
	}
	server.Start()
	f.servers = append(f.servers, server)
	return server.Listener.Addr().String()
}

type byteCountingListener struct {
	net.Listener
	counter *byteCounter
}

func (l byteCountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return byteCountingConn{conn, l.counter}, nil
}

func (f *idleFleet) startEntries(n int) error {
	port := standin.FreePorts()
	for i := range n {
		e := settings.Entry{
			Instance: fmt.Sprintf("entry-%03d", i), Region: fleetRegion, FailureDomain: fleetDomains[i%len(fleetDomains)],
			StoreAddress: f.storeAddress, PlatformAddress: f.platformAddress, DrainGraceMS: 1,
		}
		for _, address := range []*string{&e.CallerAddress, &e.PeerAddress, &e.AdminAddress} {
			number, err := port()
			if err != nil {
				return err
			}
			*address = net.JoinHostPort(standin.Host, strconv.Itoa(number))
		}
		f.instanceList.Put(platform.Member{
			ID: e.Instance, Role: platform.RoleEntry, Address: e.PeerAddress, Region: e.Region,
			FailureDomain: e.FailureDomain, State: platform.StateLive,
		})
		f.entries = append(f.entries, e)
	}
	for _, e := range f.entries {
		app := entry.New(e, slog.New(slog.DiscardHandler))
		if err := app.Start(context.Background()); err != nil {
			return err
		}
		f.apps = append(f.apps, app)
	}
	return nil
}

func (f *idleFleet) stop() error {
	var errs []error
	for _, app := range f.apps {
		errs = append(errs, app.Stop(context.Background()))
	}
	for _, server := range f.servers {
		server.CloseClientConnections()
		server.Close()
	}
	return errors.Join(errs...)
}

// fleetCounts holds sums over all instances.
type fleetCounts struct {
	heartbeats, heartbeatBytes, reads, writes, watches, storeBytes float64
}

// count reads the counters of the instances and of the store.
func (f *idleFleet) count() (fleetCounts, error) {
	counts := fleetCounts{
		watches:    float64(f.keyStore.Counts().WaitingWatches),
		storeBytes: float64(f.storeBytes.sent.Load() + f.storeBytes.received.Load()),
	}
	sums := map[string]*float64{
		"coltsfootdrift_heartbeats_sent": &counts.heartbeats, "coltsfootdrift_heartbeat_bytes_sent": &counts.heartbeatBytes,
		"coltsfootdrift_store_reads": &counts.reads, "coltsfootdrift_store_writes": &counts.writes,
	}
	for _, e := range f.entries {
		if err := scrape(e.AdminAddress, sums); err != nil {
			return counts, err
		}
	}
	return counts, nil
}

// scrape reads the metrics of an instance from its admin address and adds those
// named in sums.
func scrape(admin string, sums map[string]*float64) error {
	response, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		sum, ok := sums[name]
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("metric %s: %w", name, err)
		}
		*sum += number
	}
	return lines.Err()
}
