package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
	"github.com/coltsfootdrift/coltsfootdrift/routing"
)

// timedDecisions is the number of routing decisions that are timed together.
const timedDecisions = 100_000

func routingSweeps() []sweep {
	return []sweep{{
		role: RoleRouting, per: "server", sizes: []int{12, 56, 250, 1000, 2100}, target: 2100,
		setUp: withoutState(measureRouting),
	}}
}

// poolServers returns n servers spread over 18 failure domains in 8 regions.
func poolServers(n int) []routing.Server {
	servers := make([]routing.Server, n)
	for i := range servers {
		where := domainLocation(i % targetDomains)
		servers[i] = routing.Server{ID: fmt.Sprintf("backend-server-%04d", i), Slots: 4, Region: where.Region, FailureDomain: where.FailureDomain}
	}
	return servers
}

func domainLocation(domain int) routing.Location {
	return routing.Location{Region: fmt.Sprintf("region-%d", domain%targetRegions), FailureDomain: domainName(domain)}
}

func domainName(i int) string { return fmt.Sprintf("failure-domain-%02d", i) }

// measureRouting measures decisions of an instance among n servers of a pool.
func measureRouting(n int) ([]figure, error) {
	now := simulatedStart
	servers := poolServers(n)
	stateBytes, pool, _ := retained(func() (*routing.Pool, error) {
		pool := routing.NewPool(domainLocation(0))
		pool.SetServers(servers, now)
		return pool, nil
	})
	withoutPrefix, objects, err := timePicks(pool, routing.Query{AllowRemote: true})
	if err != nil {
		return nil, err
	}
	withPrefix, _, err := timePicks(pool, routing.Query{AllowRemote: true, Prefix: 77})
	if err != nil {
		return nil, err
	}
	counts, _, err := costPerCall(20, func(i int) {
		pool.SetPeerCounts(fmt.Sprint("instance-", i), pool.InFlightCounts(), now)
	})
	return []figure{
		{"processor time of a decision", "ns", withoutPrefix},
		{"processor time of a decision with a prefix", "ns", withPrefix},
		{"allocations of a decision", "objects", objects},
		{"processor time of a peer's counts", "ns", counts},
		{"memory of a pool", "B", stateBytes},
	}, err
}

// timePicks measures a routing decision together with recording the start and the end
// of its call.
func timePicks(pool *routing.Pool, q routing.Query) (nanoseconds, objects float64, err error) {
	random := rand.New(rand.NewPCG(1, 2))
	now := simulatedStart.Add(time.Minute)
	return costPerCall(timedDecisions, func(int) {
		now = now.Add(time.Millisecond)
		i, _ := pool.Pick(now, random, q)
		pool.Started(i, pipeline.ClassNormal, now)
		pool.Finished(i, pipeline.ClassNormal, routing.Result{Latency: time.Millisecond}, now)
	})
}
