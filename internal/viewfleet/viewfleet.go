// Package viewfleet runs the views of a fleet of instances over a simulated network: the
// real clients of the store and of peers, membership, and the choice of readers, without
// the requests of clients. Experiments and tests measure with it how long a change in the
// store takes to all instances.
package viewfleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/gateway"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/simnet"
	"github.com/coltsfootdrift/coltsfootdrift/internal/transfer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Config describes a fleet.
type Config struct {
	Regions int
	// Strong and Weak are the numbers of instances of each region by their links.
	Strong, Weak         int
	StrongLink, WeakLink simnet.Link
	// RegionRate is the bandwidth between two regions in bytes per second and direction.
	RegionRate float64
	StoreLink  simnet.Link
	// StoreHandler serves the store, which is in the first region.
	StoreHandler http.Handler
	// NewStore returns a client of the store at an address.
	NewStore func(address string, dial transfer.DialFunc) gateway.Store
	Decoder  view.Decoder
	// Peers returns the view of an instance on the others; nil for its Cluster.
	Peers func(*gateway.Cluster) view.Peers
	// Logger receives the log of all instances; nil discards it.
	Logger *slog.Logger
}

// Fleet is a running fleet.
type Fleet struct {
	Network *simnet.Network
	// StoreHost is the host of the store.
	StoreHost *simnet.Host
	Instances []*Instance
	// Between holds the bandwidth from one region to another by their numbers.
	Between map[[2]int]*simnet.Bandwidth

	config  Config
	regions map[*simnet.Host]int
	running sync.WaitGroup
	cancel  context.CancelFunc
	servers []*http.Server
}

// Instance is one instance of a fleet.
type Instance struct {
	ID      string
	Region  int
	Strong  bool
	Host    *simnet.Host
	Cluster *gateway.Cluster
	Views   *view.Sync

	node *peer.Node
	// cut is true for an instance that was cut off.
	cut bool
}

const (
	storeAddress = "10.255.0.1:80"
	peerPort     = 81
	// capacity of strong and weak instances, as they announce it.
	strongMbits, strongProcessorMillis = 200, 800
	weakMbits, weakProcessorMillis     = 10, 192
)

// Start starts the store and the instances. Stop ends them.
func Start(ctx context.Context, config Config) *Fleet {
	ctx, cancel := context.WithCancel(ctx)
	if config.Logger == nil {
		config.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	f := &Fleet{Network: &simnet.Network{}, Between: map[[2]int]*simnet.Bandwidth{}, config: config, regions: map[*simnet.Host]int{}, cancel: cancel}
	for from := range config.Regions {
		for to := range config.Regions {
			if from != to {
				f.Between[[2]int{from, to}] = simnet.NewBandwidth(config.RegionRate)
			}
		}
	}
	f.Network.Shared = func(from, to *simnet.Host) *simnet.Bandwidth {
		return f.Between[[2]int{f.regions[from], f.regions[to]}]
	}
	f.StoreHost = f.Network.AddHost("10.255.0.1", config.StoreLink)
	f.regions[f.StoreHost] = 0
	f.serve(f.StoreHost, storeAddress, config.StoreHandler)
	for region := range config.Regions {
		for i := range config.Strong + config.Weak {
			f.add(region, i)
		}
	}
	for _, i := range f.Instances {
		f.run(ctx, i)
	}
	return f
}

func (f *Fleet) serve(host *simnet.Host, address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	f.servers = append(f.servers, server)
	listener := host.Listen(address)
	f.running.Go(func() { _ = server.Serve(listener) }) // it ends when the server is closed
}

// add adds an instance without starting it.
func (f *Fleet) add(region, number int) {
	ip := fmt.Sprintf("10.%d.%d.%d", region, number/250, number%250+1)
	address := fmt.Sprintf("%s:%d", ip, peerPort)
	i := &Instance{ID: fmt.Sprintf("i%d-%d", region, number), Region: region, Strong: number < f.config.Strong}
	s := settings.Gateway{
		Instance: i.ID, Region: fmt.Sprint("region-", region), PeerAddress: address,
		LinkMbits: weakMbits, Processor: weakProcessorMillis / 1000.0,
	}
	link := f.config.WeakLink
	if i.Strong {
		link = f.config.StrongLink
		s.LinkMbits, s.Processor = strongMbits, strongProcessorMillis/1000.0
	}
	i.Host = f.Network.AddHost(ip, link)
	f.regions[i.Host] = region
	identity := membership.Identity{ID: i.ID, FailureDomain: s.Region, Address: address, Incarnation: uint64(time.Now().Unix()), Capacity: s.Capacity()}
	store := f.config.NewStore(storeAddress, i.Host.Dial)
	i.node = peer.NewNode(i.Host.ListenPacket(address), identity, f.config.Logger.With("instance", i.ID), tally.NoopScope)
	i.Cluster = gateway.NewCluster(s, i.node, peer.NewClientWithDial(i.Host.Dial, nil), store, f.config.Logger)
	peers := view.Peers(i.Cluster)
	if f.config.Peers != nil {
		peers = f.config.Peers(i.Cluster)
	}
	i.Views = view.NewSync(store, peers, f.config.Decoder, f.config.Logger.With("instance", i.ID), tally.NoopScope)
	f.Instances = append(f.Instances, i)
}

func (f *Fleet) run(ctx context.Context, i *Instance) {
	i.Views.Observe(i.Cluster.ObserveView)
	gateway.ObserveVersions(i.node, i.Views)
	peerServer := peer.NewServer(i.node)
	peerServer.HandleViews(i.Views)
	f.serve(i.Host, i.Cluster.Address(), peerServer.Handler())
	f.running.Go(func() { i.node.Run(ctx) })
	f.running.Go(func() { i.Views.Run(ctx) })
	f.running.Go(func() { i.Cluster.Register(ctx) })
}

// maxDialTime is more than the timeout of clients that open a connection.
const maxDialTime = time.Second

// Stop ends all instances and the store.
func (f *Fleet) Stop() {
	f.cancel()
	for _, server := range f.servers {
		_ = server.Close() // it closes the listener
	}
	f.Network.Close()
	time.Sleep(maxDialTime)
	f.running.Wait()
}

// CutOff cuts an instance off from all others and from the store. Await does not check it
// any more.
func (f *Fleet) CutOff(i *Instance) {
	i.cut = true
	i.Host.SetCut(true)
}

// Reader returns the instance of a region with a rank among its readers, nil when there is
// none.
func (f *Fleet) Reader(region, rank int) *Instance {
	for _, i := range f.Instances {
		if i.Region == region && i.Cluster.ReaderRank() == rank {
			return i
		}
	}
	return nil
}

// pollInterval is how often Await checks its condition.
const pollInterval = 10 * time.Millisecond

// Await waits until a condition holds for the views of all instances. It returns the time
// that it took, the last instances for which it began to hold, and false if it does not hold
// for these at the limit.
func (f *Fleet) Await(limit time.Duration, holds func(*view.View) bool) (took time.Duration, last []*Instance, ok bool) {
	started := time.Now()
	for {
		var late []*Instance
		for _, i := range f.Instances {
			if v := i.Views.Current(); !i.cut && (v == nil || !holds(v)) {
				late = append(late, i)
			}
		}
		took = time.Since(started)
		if len(late) == 0 {
			return took, last, true
		}
		last = late
		if took >= limit {
			return took, last, false
		}
		time.Sleep(pollInterval)
	}
}
