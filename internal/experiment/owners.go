package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/membership"
	"github.com/coltsfootdrift/coltsfootdrift/rendezvous"
)

// Load of the owners of stage services, which receives the stages of all requests of a
// region over its link.
const (
	ownedServices = 3
	// requestsPerInstance is the rate per instance and second outside the burst, and
	// burstFactor the factor by which a burst raises it.
	requestsPerInstance = 2.7
	burstFactor         = 3
	// stageMessageBytes is the size of the messages of one stage of one request, of its
	// polls and of the frees of its results.
	stageMessageBytes = 6_000
	ownerLoadPeriod   = 12 * time.Second
	burstFrom         = 4 * time.Second
	burstUntil        = 8 * time.Second
	// strongInterval is the number of instances among which one is strong.
	strongInterval = 16
	ownerShards    = 4
)

var (
	strongInstance = membership.Capacity{LinkMbits: 200, ProcessorMillis: 800}
	weakInstance   = membership.Capacity{LinkMbits: 20, ProcessorMillis: 192}
	ownerFleets    = []int{30, 100, 300, 1000}
)

// owners sends the stages of requests to the owners of their services, in regions of
// several sizes in which most instances have a small link, and measures how long messages
// wait for the owner's link.
var owners = scenario{
	policies: []string{PolicyColtsfootdrift, "any instance", "sharded"},
	figures:  ownerFigureNames(),
	goals:    []Goal{{Figure: "wait ms p99 300", Bound: 10}},
	trial: func(policy string, seed uint64) (map[string]float64, error) {
		figures := map[string]float64{}
		for _, size := range ownerFleets {
			fleet := newOwnerFleet(size)
			owner, err := fleet.ownerOf(policy)
			if err != nil {
				return nil, err
			}
			wait, busiest := fleet.simulate(owner, seed)
			figures[ownerFigure("wait ms p99", size)] = wait
			figures[ownerFigure("busiest link", size)] = busiest
		}
		return figures, nil
	},
}

func ownerFigure(name string, size int) string { return fmt.Sprint(name, " ", size) }

func ownerFigureNames() (names []string) {
	for _, name := range []string{"wait ms p99", "busiest link"} {
		for _, size := range ownerFleets {
			names = append(names, ownerFigure(name, size))
		}
	}
	return names
}

// ownerFleet is the instances of one region.
type ownerFleet struct {
	records      []membership.Record
	strong, weak []string
	linkMbits    map[string]int
}

func newOwnerFleet(size int) *ownerFleet {
	f := &ownerFleet{linkMbits: map[string]int{}}
	for i := range size {
		record := membership.Record{ID: "instance-" + strconv.Itoa(i), Capacity: weakInstance}
		if i%strongInterval == 0 {
			record.Capacity = strongInstance
		}
		f.records = append(f.records, record)
		f.linkMbits[record.ID] = record.Capacity.LinkMbits
	}
	f.strong, f.weak = membership.SplitByCapacity(f.records)
	return f
}

// ownerOf returns the function by which a policy chooses the owner of a service for a
// request.
func (f *ownerFleet) ownerOf(policy string) (func(service, request int) string, error) {
	members, shards := f.strong, 1
	switch policy {
	case PolicyColtsfootdrift:
	case "any instance":
		members = append(slices.Clone(f.strong), f.weak...)
	case "sharded":
		members, shards = append(slices.Clone(f.strong), f.weak...), ownerShards
	default:
		return nil, fmt.Errorf("policy %q does not exist", policy)
	}
	chosen := make([]string, ownedServices*shards)
	for i := range chosen {
		chosen[i] = rendezvous.Choose("shard "+strconv.Itoa(i), members)
	}
	return func(service, request int) string { return chosen[service*shards+request%shards] }, nil
}

// simulate returns the 99th percentile of the time in milliseconds that messages wait for
// the link of their owner, and the share of time for which the busiest link is in use.
func (f *ownerFleet) simulate(owner func(service, request int) string, seed uint64) (waitMS, busiest float64) {
	random := rand.New(rand.NewPCG(seed, uint64(len(f.records))))
	freeAt, busy := map[string]time.Duration{}, map[string]time.Duration{}
	var waits []float64
	now, request := time.Duration(0), 0
	for now < ownerLoadPeriod {
		rate := requestsPerInstance * float64(len(f.records))
		if now >= burstFrom && now < burstUntil {
			rate *= burstFactor
		}
		now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		request++
		for service := range ownedServices {
			id := owner(service, request)
			took := time.Duration(stageMessageBytes * 8 * int64(time.Second) / int64(f.linkMbits[id]*1_000_000))
			start := max(now, freeAt[id])
			waits = append(waits, (start-now).Seconds()*1000)
			freeAt[id] = start + took
			busy[id] += took
			busiest = max(busiest, busy[id].Seconds()/ownerLoadPeriod.Seconds())
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100], busiest
}
