package claims

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/quota"
)

const (
	benchRequestsPerSecond = 2500 // of all instances together
	benchDuration          = 4 * time.Second
	benchAnswerBytes       = 200
	storeDelay             = 5 * time.Millisecond
)

// fleet is a network in which every instance may be an appender.
type fleet struct {
	*network
	names []string
}

func (f *fleet) Appenders() []string { return f.names }

// BenchmarkFleet sends 2,500 requests/s, each with a claim and a finish, to instances
// whose store takes 5 ms per call.
func BenchmarkFleet(b *testing.B) {
	for _, instances := range []int{3, 9, 40} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				runLoad(b, instances, false)
			}
		})
	}
}

// BenchmarkConflictingAppenders sends the same load to instances each of which acts as
// the appender of every shard.
func BenchmarkConflictingAppenders(b *testing.B) {
	for _, instances := range []int{3, 9} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			for b.Loop() {
				runLoad(b, instances, true)
			}
		})
	}
}

// soloDirectory is a directory with a single instance.
type soloDirectory struct {
	*fleet
	name string
}

func (d soloDirectory) Appenders() []string { return []string{d.name} }

func runLoad(b *testing.B, instances int, disagree bool) {
	fake := storetest.New()
	fake.Before = func(context.Context, storetest.Op, string) error {
		time.Sleep(storeDelay)
		return nil
	}
	f := &fleet{network: &network{instances: map[string]*Claims{}}}
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		f.names = append(f.names, name)
		peers := Peers{Client: f, Directory: f}
		if disagree {
			peers.Directory = soloDirectory{f, name}
		}
		budget := quota.NewStoreBudget(quota.DefaultStoreLimits, instances, time.Now())
		f.instances[name] = New(Config{
			Instance: name, Store: store.NewBudgeted(fake, budget, time.Now, tally.NoopScope), Forwarder: peers, Awaiter: peers, BootTime: time.Now, WallTime: time.Now,
			Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler), WriteInterval: WriteInterval, RecordRetryInterval: time.Second,
		})
	}
	var done atomic.Int64
	var mu sync.Mutex
	var waits []time.Duration
	var group sync.WaitGroup
	begin := time.Now()
	offered := 0
	for n := 0; time.Since(begin) < benchDuration; n++ {
		offered++
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / benchRequestsPerSecond)))
		group.Go(func() {
			requestedAt := time.Now()
			request := Request{ID: claim.NewID("acme", "p", "k", fmt.Sprint(n)), Retention: time.Hour}
			reply := f.instances[f.names[n%instances]].Claim(context.Background(), request)
			waited := time.Since(requestedAt)
			if reply.Grant == nil || reply.Grant.Finish(context.Background(), "completed", make([]byte, benchAnswerBytes)) != nil {
				return
			}
			done.Add(1)
			mu.Lock()
			waits = append(waits, waited)
			mu.Unlock()
		})
	}
	group.Wait()
	elapsed := time.Since(begin).Seconds()
	slices.Sort(waits)
	claims, writes := float64(done.Load()), float64(fake.Count(storetest.Swap))
	b.ReportMetric(claims/elapsed, "claims/s")
	b.ReportMetric(writes/elapsed, "writes/s")
	b.ReportMetric(float64(offered)/benchDuration.Seconds(), "offered/s")
	b.ReportMetric(claims/float64(offered)*100, "%served")
	b.ReportMetric(claims/writes, "claims/write")
	b.ReportMetric(float64(waits[len(waits)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(waits[len(waits)*99/100].Milliseconds()), "p99-ms")
	b.ReportMetric(float64(fake.Bytes(claim.Prefix))/claims, "stored-B/claim")
}

// BenchmarkIndex reports the memory of a shard's index.
func BenchmarkIndex(b *testing.B) {
	const batch, batches = 500, 400
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		shard, now := claim.NewShard(), time.Now()
		for i := range batches {
			ops := make([]claim.Op, batch)
			for j := range ops {
				n := fmt.Sprint(i*batch + j)
				ops[j] = claim.Op{Kind: claim.OpClaim, ID: claim.NewID("acme", "p", "k", n), Holder: "i1", Retention: time.Hour}
			}
			shard.PrepareAppend(now, ops)
			shard.CommitWrite(int64(i) + 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(shard.Len()), "index-B/claim")
	}
}
