package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/gateway"
	"github.com/coltsfootdrift/coltsfootdrift/internal/simnet"
	"github.com/coltsfootdrift/coltsfootdrift/internal/transfer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/internal/viewfleet"
)

// Fleet of the experiment views, and the bound on the time until a change is in force.
const (
	bytesPerMbit   = 1e6 / 8
	viewRegions    = 2
	viewStrong     = 3 // of each region
	viewWeak       = 13
	viewStartTime  = 9 * time.Second
	viewBound      = 4.0 // s
	viewTimeLimit  = 12 * time.Second
	routeBytes     = 280
	randomBytes    = 8
	viewFaultDelay = 100 * time.Millisecond

	policyEachReads  = "each reads the store"
	policyNoStandbys = "no standbys"
)

var viewPolicies = []string{PolicyColtsfootdrift, policyEachReads, policyNoStandbys}

// viewVariant is one state of the network in which a configuration is written.
type viewVariant struct {
	name   string
	routes int
	// weakMbits is the bandwidth of the weak instances.
	weakMbits float64
	disturb   func(*viewfleet.Fleet)
}

func nothing(*viewfleet.Fleet) {}

// firstRanks returns the instances of all regions whose rank as readers is below n.
func firstRanks(f *viewfleet.Fleet, n int) (all []*viewfleet.Instance) {
	for region := range viewRegions {
		for rank := range n {
			if i := f.Reader(region, rank); i != nil {
				all = append(all, i)
			}
		}
	}
	return all
}

var viewVariants = []viewVariant{
	{"1400 routes", 1400, 10, nothing},
	{"5600 routes", 5600, 10, nothing},
	{"full links", 4200, 1, nothing},
	{"slow readers", 4200, 10, func(f *viewfleet.Fleet) {
		for _, i := range firstRanks(f, 2) {
			i.Host.Down.SetRate(2 * bytesPerMbit)
		}
	}},
	{"very slow readers", 10, 10, func(f *viewfleet.Fleet) {
		for _, i := range firstRanks(f, 1) {
			i.Host.Down.SetRate(0.05 * bytesPerMbit)
			i.Host.Up.SetRate(0.05 * bytesPerMbit)
		}
	}},
	{"silent connections", 4200, 10, func(f *viewfleet.Fleet) {
		f.StoreHost.Silence()
		for _, i := range f.Instances {
			i.Host.Silence()
		}
	}},
	{"readers cut off", 4200, 10, func(f *viewfleet.Fleet) {
		for _, i := range firstRanks(f, 2) {
			f.CutOff(i)
		}
	}},
}

// views measures how long a configuration and the mark of a leaving server take to the last
// instance of two regions, whose weak instances have a small link.
var views = scenario{
	policies: viewPolicies,
	figures:  viewFigureNames(),
	goals: []Goal{
		{Figure: "in force s worst", Bound: viewBound}, {Figure: "draining s worst", Bound: viewBound},
	},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		if !slices.Contains(viewPolicies, policy) {
			return nil, fmt.Errorf("policy %q does not exist", policy)
		}
		figures := map[string]float64{}
		var mu sync.Mutex
		var running sync.WaitGroup
		for i, v := range viewVariants {
			running.Go(func() {
				result := v.run(policy, rand.New(rand.NewPCG(seed, uint64(i))))
				mu.Lock()
				defer mu.Unlock()
				figures[viewFigure("in force s", v.name)] = result.inForce.Seconds()
				figures[viewFigure("MB between regions", v.name)] = float64(result.crossingBytes) / 1e6
				figures["in force s worst"] = max(figures["in force s worst"], result.inForce.Seconds())
				figures["draining s worst"] = max(figures["draining s worst"], result.draining.Seconds())
			})
		}
		running.Wait()
		return figures, nil
	},
}

func viewFigure(name, variant string) string { return name + " " + variant }

func viewFigureNames() (names []string) {
	for _, name := range []string{"in force s", "MB between regions"} {
		for _, v := range viewVariants {
			names = append(names, viewFigure(name, v.name))
		}
	}
	return append(names, "in force s worst", "draining s worst")
}

// viewResult is what one variant showed.
type viewResult struct {
	// inForce and draining are the times until the configuration was in force, and until the
	// server was known to be draining, at the last instance.
	inForce, draining time.Duration
	// crossingBytes is what the link to the region without the store carried.
	crossingBytes int64
}

// run starts a fleet, disturbs it, and writes a configuration and a server that leaves.
func (v viewVariant) run(policy string, random *rand.Rand) viewResult {
	st := newViewStore()
	st.put(viewConfigurationKey, newViewConfiguration(1, 10, random))
	st.put(viewServerPrefix+"s", newViewServer(false))
	fleet := viewfleet.Start(context.Background(), viewfleet.Config{
		Regions: viewRegions, Strong: viewStrong, Weak: viewWeak,
		StrongLink: simnet.Link{BytesPerSecond: 200 * bytesPerMbit, Delay: 500 * time.Microsecond},
		WeakLink:   simnet.Link{BytesPerSecond: v.weakMbits * bytesPerMbit, Delay: 500 * time.Microsecond},
		RegionRate: 60 * bytesPerMbit, StoreLink: simnet.Link{BytesPerSecond: 1000 * bytesPerMbit, Delay: 2 * time.Millisecond},
		StoreHandler: st, Decoder: viewDecoder{}, Peers: rankPolicy(policy),
		NewStore: func(address string, dial transfer.DialFunc) gateway.Store { return newViewStoreClient(address, dial) },
	})
	defer fleet.Stop()
	time.Sleep(viewStartTime)
	v.disturb(fleet)
	time.Sleep(viewFaultDelay)
	crossing := fleet.Between[[2]int{0, 1}]
	before, written := crossing.Total(), time.Now()
	st.put(viewConfigurationKey, newViewConfiguration(2, v.routes, random))
	st.put(viewServerPrefix+"s", newViewServer(true))
	draining, _, _ := fleet.Await(viewTimeLimit, func(v *view.View) bool {
		server, known := v.ByID("s")
		return known && server.Draining
	})
	fleet.Await(viewTimeLimit-draining, func(v *view.View) bool { return v.Table != nil && v.Table.Version == 2 })
	return viewResult{inForce: time.Since(written), draining: draining, crossingBytes: crossing.Total() - before}
}

// newViewConfiguration returns a configuration of the size of one with a number of routes,
// which compresses as well.
func newViewConfiguration(version int64, routes int, random *rand.Rand) []byte {
	c := viewConfiguration{Version: version, Routes: make([]string, routes)}
	for i := range c.Routes {
		name := make([]byte, routeBytes)
		for j := range name {
			name[j] = 'a'
		}
		copy(name, fmt.Sprintf("%0*x", 2*randomBytes, random.Uint64()))
		c.Routes[i] = string(name)
	}
	data, _ := json.Marshal(c) // strings and numbers do not fail
	return data
}

func newViewServer(draining bool) []byte {
	data, _ := json.Marshal(view.Server{ID: "s", Service: "s", Address: "10.9.0.1:80", Slots: 1, Draining: draining, Incarnation: 1})
	return data
}

// rankedCluster gives an instance another rank among the readers.
type rankedCluster struct {
	*gateway.Cluster
	rank func(int) int
}

// ReaderRank implements view.Peers.
func (c rankedCluster) ReaderRank() int { return c.rank(c.Cluster.ReaderRank()) }

// rankPolicy returns who reads the store by a policy, nil for the one of the product.
func rankPolicy(policy string) func(*gateway.Cluster) view.Peers {
	const last = 1 << 10
	ranks := map[string]func(int) int{
		policyEachReads:  func(int) int { return 0 },
		policyNoStandbys: func(rank int) int { return map[bool]int{true: rank, false: last}[rank <= 1] },
	}
	rank, changed := ranks[policy]
	if !changed {
		return nil
	}
	return func(c *gateway.Cluster) view.Peers { return rankedCluster{c, rank} }
}
