package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

var limiterStart = time.Unix(1000, 0)

// Guards against more bytes within any one second than the capacity of the link.
func TestLinkBudgetHoldsInEverySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000.0
		link, now := NewLinkBudget(capacity), limiterStart
		type transfer struct {
			at    time.Time
			bytes int64
		}
		var transfers []transfer
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			bytes := int64(rapid.IntRange(1, 250).Draw(t, "bytes"))
			if ok, _ := link.Reserve(bytes, 1, now); !ok {
				continue
			}
			used := bytes - int64(rapid.IntRange(0, int(bytes)).Draw(t, "unused"))
			link.Settle(LinkUse{}, bytes, used)
			transfers = append(transfers, transfer{now, used})
			var second int64
			for _, s := range transfers {
				if now.Sub(s.at) < time.Second {
					second += s.bytes
				}
			}
			if float64(second) > capacity {
				t.Fatalf("%d bytes in one second", second)
			}
		}
	})
}

// Guards against instances that together allow more than an organisation's rate,
// and against an instance with little demand that keeps an equal share unused.
func TestRateFollowsReportedDemand(t *testing.T) {
	c := qt.New(t)
	busy, quiet := NewRateLimiter(), NewRateLimiter()
	now := limiterStart
	allowed := map[*RateLimiter]int{}
	for step := range 2000 {
		now = now.Add(10 * time.Millisecond)
		if step%100 == 0 {
			busyReport, quietReport := busy.DemandReport(now), quiet.DemandReport(now)
			busy.SetPeers([]DemandReport{quietReport})
			quiet.SetPeers([]DemandReport{busyReport})
		}
		for _, limiter := range []*RateLimiter{busy, quiet} {
			if limiter == quiet && step%9 != 0 {
				continue
			}
			limiter.Observe("acme", 1, now)
			if ok, _ := limiter.Allow("acme", 20, 5, 1, now); ok && step >= 1000 {
				allowed[limiter]++
			}
		}
	}
	total := allowed[busy] + allowed[quiet]
	c.Assert(total >= 180 && total <= 220, qt.IsTrue, qt.Commentf("%d requests in 10 s at 20/s", total))
	c.Assert(allowed[busy] > 4*allowed[quiet], qt.IsTrue)
}

// Guards against memory use that grows with the number of organisations ever seen.
func TestOrganisationsAreBounded(t *testing.T) {
	limiter := NewRateLimiter()
	for i := range 2 * maxOrganisations {
		limiter.Observe(fmt.Sprint(i), 1, limiterStart)
	}
	qt.Assert(t, len(limiter.organisations) <= maxOrganisations, qt.IsTrue)
	qt.Assert(t, limiter.DemandReport(limiterStart).Largest, qt.HasLen, MaxListedOrganisations)
}

func benchmarkRateLimiter(b *testing.B, organisations int) {
	limiter, now := NewRateLimiter(), limiterStart
	names := make([]string, organisations)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
		limiter.Observe(names[i], 1, now)
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		now = now.Add(time.Microsecond)
		limiter.Observe(names[n%len(names)], 1, now)
		limiter.Allow(names[n%len(names)], 100, 10, 1, now)
	}
}

func BenchmarkRateLimiter5(b *testing.B)     { benchmarkRateLimiter(b, 5) }
func BenchmarkRateLimiter19000(b *testing.B) { benchmarkRateLimiter(b, 19000) }

// Guards against a report that lists organisations other than the largest, or in
// the wrong order.
func TestDemandReportListsTheLargest(t *testing.T) {
	c := qt.New(t)
	limiter := NewRateLimiter()
	for i := range 100 {
		limiter.Observe(fmt.Sprintf("o%02d", i), float64(1+i*37%50), limiterStart)
	}
	got := limiter.DemandReport(limiterStart).Largest
	c.Assert(got, qt.HasLen, MaxListedOrganisations)
	for i, demand := range got {
		// Each of the demands 50, 49, ... belongs to two organisations, 50 apart.
		c.Assert(demand.PerSecond, qt.Equals, float64(50-i/2)/demandWindow.Seconds())
		c.Assert(i%2 == 0 || demand.Organisation > got[i-1].Organisation, qt.IsTrue)
	}
}

func benchmarkDemandReport(b *testing.B, organisations int) {
	limiter := NewRateLimiter()
	for i := range organisations {
		limiter.Observe(fmt.Sprint("organisation-", i), float64(1+i%7), limiterStart)
	}
	b.ReportAllocs()
	for b.Loop() {
		limiter.DemandReport(limiterStart)
	}
}

func BenchmarkDemandReport5(b *testing.B)     { benchmarkDemandReport(b, 5) }
func BenchmarkDemandReport19000(b *testing.B) { benchmarkDemandReport(b, 19000) }

// Guards against shares of one rate that add up to more than 1: because a peer's
// list is full and omits the organisation, or because no instance lists it and each
// one grants the whole rate.
func TestSharesOfUnlistedOrganisations(t *testing.T) {
	c := qt.New(t)
	busy, quiet := NewRateLimiter(), NewRateLimiter()
	for range 10 {
		busy.Observe("acme", 1, limiterStart)
	}
	for i := range MaxListedOrganisations {
		quiet.Observe(fmt.Sprint(i), 5, limiterStart)
	}
	quiet.Observe("acme", 4, limiterStart)
	full := quiet.DemandReport(limiterStart)
	full.Incomplete = true
	busy.SetPeers([]DemandReport{full})
	quiet.SetPeers([]DemandReport{busy.DemandReport(limiterStart)})
	sum := func(name string) float64 {
		return busy.share(name, busy.getOrCreate(name, limiterStart), limiterStart) + quiet.share(name, quiet.getOrCreate(name, limiterStart), limiterStart)
	}
	c.Assert(sum("acme") > 0.5 && sum("acme") <= 1, qt.IsTrue, qt.Commentf("%v", sum("acme")))
	c.Assert(sum("idle"), qt.Equals, 1.0)
}
