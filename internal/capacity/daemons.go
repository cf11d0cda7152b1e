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
	// daemonWarmUp is the time until all daemons know each other and one leads.
	daemonWarmUp = 8 * time.Second
	// daemonWindow is the time over which an idle fleet is measured.
	daemonWindow = 10 * time.Second
	// daemonEngines is the number of engines that the daemons know.
	daemonEngines = 12
	daemonRegion  = "region"
	daemonPool    = "engines"
)

// daemonDomains are the failure domains of the daemons, as many as a deployment
// has today.
var daemonDomains = []string{"domain-a", "domain-b", "domain-c"}

func daemonSweeps() []sweep {
	return []sweep{{
		role: RoleControl, per: "instance of an idle fleet", sizes: []int{3, 9, 30, 60}, target: targetInstances, once: true,
		prepare: fixed(measureDaemons),
	}}
}

// daemons is a fleet of entry instances in this process with its stand-ins.
type daemons struct {
	keys         *standin.Store
	list         *standin.Platform
	storeBytes   *byteCounter
	storeAddress string
	listAddress  string
	servers      []*httptest.Server
	entries      []settings.Entry
	apps         []*fx.App
}

// measureDaemons measures what idle instances do for control. Calls to the store
// are summed up, because they follow the failure domains and not the instances.
func measureDaemons(n int) (figures []figure, err error) {
	d, err := startDaemons(n)
	defer func() { err = errors.Join(err, d.stop()) }()
	if err != nil {
		return nil, err
	}
	time.Sleep(daemonWarmUp)
	before, err := d.count()
	if err != nil {
		return nil, err
	}
	took, err := processorTime(func() error {
		time.Sleep(daemonWindow)
		return nil
	})
	after, countErr := d.count()
	fleet := func(difference float64) float64 { return difference / daemonWindow.Seconds() }
	per := func(difference float64) float64 { return fleet(difference) / float64(n) }
	return []figure{
		{"heartbeats sent by an instance", "1/s", per(after.heartbeats - before.heartbeats)},
		{"bytes of heartbeats sent by an instance", "B/s", per(after.heartbeatBytes - before.heartbeatBytes)},
		{"store reads by the fleet", "1/s", fleet(after.reads - before.reads)},
		{"store writes by the fleet", "1/s", fleet(after.writes - before.writes)},
		{"watches that wait at the store", "watches", after.watches},
		{"bytes between the fleet and the store", "B/s", fleet(after.storeBytes - before.storeBytes)},
		{"processor time of an instance with its stand-ins", "us/s", per(float64(took.Microseconds()))},
	}, errors.Join(err, countErr)
}

func startDaemons(n int) (*daemons, error) {
	d := &daemons{keys: standin.NewStore(), list: &standin.Platform{}, storeBytes: &byteCounter{}}
	d.storeAddress = d.serve(d.keys.Handler(), d.storeBytes)
	d.listAddress = d.serve(d.list.Handler(), nil)
	engine := d.serve(standin.NewBackend(standin.BackendConfig{
		ID: "engine", Slots: 8, Engine: standin.EngineConfig{FencesOrders: true, Models: []string{"model"}},
	}).Handler(), nil)
	for i := range daemonEngines {
		d.list.Put(platform.Member{
			ID: fmt.Sprintf("engine-%02d", i), Role: platform.RoleBackend, Address: engine, Pool: daemonPool,
			Region: daemonRegion, FailureDomain: daemonDomains[i%len(daemonDomains)], State: platform.StateLive,
		})
	}
	request := config.Request{Author: "capacity", Set: daemonSet()}
	if _, err := configuration.Publish(context.Background(), store.NewHTTP(d.storeAddress), request, false); err != nil {
		return d, err
	}
	return d, d.startEntries(n)
}

func daemonSet() *pipeline.Set {
	return &pipeline.Set{Deployment: pipeline.Deployment{
		Name:    "capacity",
		Regions: []pipeline.Region{{Name: daemonRegion, FailureDomains: daemonDomains}},
		Pools:   []pipeline.Pool{{Name: daemonPool, Type: pipeline.StageGenerate, Slots: 8, Models: []string{"model"}, FencesOrders: true}},
	}}
}

// serve serves a stand-in and counts the bytes of its connections.
func (d *daemons) serve(handler http.Handler, counter *byteCounter) string {
	server := httptest.NewUnstartedServer(handler)
	if counter != nil {
		server.Listener = countedListener{server.Listener, counter}
	}
	server.Start()
	d.servers = append(d.servers, server)
	return server.Listener.Addr().String()
}

type countedListener struct {
	net.Listener
	counter *byteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.counter}, nil
}

func (d *daemons) startEntries(n int) error {
	port := standin.FreePorts()
	for i := range n {
		e := settings.Entry{
			Instance: fmt.Sprintf("entry-%03d", i), Region: daemonRegion, FailureDomain: daemonDomains[i%len(daemonDomains)],
			StoreAddress: d.storeAddress, PlatformAddress: d.listAddress, DrainGraceMS: 1,
		}
		for _, address := range []*string{&e.CallerAddress, &e.PeerAddress, &e.AdminAddress} {
			number, err := port()
			if err != nil {
				return err
			}
			*address = net.JoinHostPort(standin.Host, strconv.Itoa(number))
		}
		d.list.Put(platform.Member{
			ID: e.Instance, Role: platform.RoleEntry, Address: e.PeerAddress, Region: e.Region,
			FailureDomain: e.FailureDomain, State: platform.StateLive,
		})
		d.entries = append(d.entries, e)
	}
	for _, e := range d.entries {
		app := entry.New(e, slog.New(slog.DiscardHandler))
		if err := app.Start(context.Background()); err != nil {
			return err
		}
		d.apps = append(d.apps, app)
	}
	return nil
}

func (d *daemons) stop() error {
	var errs []error
	for _, app := range d.apps {
		errs = append(errs, app.Stop(context.Background()))
	}
	for _, server := range d.servers {
		server.CloseClientConnections()
		server.Close()
	}
	return errors.Join(errs...)
}

// daemonCounts are sums over all instances.
type daemonCounts struct {
	heartbeats, heartbeatBytes, reads, writes, watches, storeBytes float64
}

// count reads the counters of the instances and of the store.
func (d *daemons) count() (daemonCounts, error) {
	counts := daemonCounts{
		watches:    float64(d.keys.Counts().WaitingWatches),
		storeBytes: float64(d.storeBytes.sent.Load() + d.storeBytes.received.Load()),
	}
	sums := map[string]*float64{
		"coltsfootdrift_heartbeats_sent": &counts.heartbeats, "coltsfootdrift_heartbeat_bytes_sent": &counts.heartbeatBytes,
		"coltsfootdrift_store_reads": &counts.reads, "coltsfootdrift_store_writes": &counts.writes,
	}
	for _, e := range d.entries {
		if err := scrape(e.AdminAddress, sums); err != nil {
			return counts, err
		}
	}
	return counts, nil
}

// scrape adds the metrics of an instance that are named in sums.
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
