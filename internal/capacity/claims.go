package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/claims"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
)

const (
	// claimRate is the number of claims per second when each request of the
	// two-year peak is at-most-once.
	claimRate = 2500
	// simulatedSeconds is how long a rate is held, finishAfter the time from a
	// claim to its finish in write intervals.
	simulatedSeconds = 10
	finishAfter      = 3
	// answerBytes is the length of a recorded response.
	answerBytes = 200
	// segmentsPerList is the page size of internal/claims.
	segmentsPerList = 64
	// claimBatch is the number of operations of one append of a filled shard.
	claimBatch = 100
)

func claimsSweeps() []sweep {
	return []sweep{
		{
			role: RoleClaims, per: "claim/s", sizes: []int{50, 160, 500, 1000, claimRate}, target: claimRate,
			prepare: fixed(measureClaimRate),
		},
		{
			role: RoleClaims, per: "retained claim of a shard", sizes: []int{5_000, 20_000, 60_000, 140_000},
			target: claimRate * 3600 / claim.Shards, prepare: fixed(measureTakeover),
		},
		{
			role: RoleClaims, per: "claim through the adapter", sizes: []int{200, 1000, 3000}, target: claimRate,
			prepare: fixed(measureAdapter),
		},
	}
}

func claimOp(kind claim.OpKind, n int) claim.Op {
	op := claim.Op{
		Kind: kind, ID: claim.NewID("organisation-00001", "pipeline-01", "dispatch-order", fmt.Sprintf("key-%08d", n)),
		Holder: "entry-instance-001", Retention: time.Hour,
	}
	copy(op.Token[:], fmt.Sprintf("token-%08d", n))
	if kind == claim.OpFinish {
		op.Outcome, op.Answer = "completed", make([]byte, answerBytes)
	}
	return op
}

// shardChain is one shard with its segments in a simulated store.
type shardChain struct {
	shard    *claim.Shard
	segments map[uint64]claim.Segment
	version  int64
	writes   int
	written  int
}

func newShardChain() *shardChain {
	return &shardChain{shard: claim.NewShard(), segments: map[uint64]claim.Segment{}}
}

// append writes operations in one or more writes.
func (s *shardChain) append(now time.Time, ops []claim.Op) {
	for len(ops) > 0 {
		write, decisions := s.shard.PrepareAppend(now, ops)
		ops = ops[len(decisions):]
		if write.Records == 0 {
			continue
		}
		s.version++
		s.writes++
		s.written += len(write.Segment.Data)
		s.shard.CommitWrite(s.version)
		write.Segment.Version = s.version
		s.segments[write.Segment.Number] = write.Segment
	}
}

func (s *shardChain) stored() (bytes int) {
	for _, segment := range s.segments {
		bytes += len(segment.Data)
	}
	return bytes
}

// measureClaimRate appends claims and their finishes at a rate, with one write
// per shard and write interval.
func measureClaimRate(rate int) ([]figure, error) {
	var chains [claim.Shards]*shardChain
	for i := range chains {
		chains[i] = newShardChain()
	}
	took, err := processorTime(func() error {
		holdRate(chains[:], rate)
		return nil
	})
	writes, written, stored := 0, 0, 0
	for _, chain := range chains {
		writes += chain.writes
		written += chain.written
		stored += chain.stored()
	}
	claimed := float64(rate * simulatedSeconds)
	elapsed := (simulatedSeconds*time.Second + finishAfter*claims.WriteInterval).Seconds()
	return []figure{
		{"store writes", "1/s", float64(writes) / elapsed},
		{"bytes sent to the store", "B/s", float64(written) / elapsed},
		{"bytes stored per claim", "B", float64(stored) / claimed},
		{"processor time of all appenders", "us/s", float64(took.Microseconds()) / elapsed},
	}, err
}

func holdRate(chains []*shardChain, rate int) {
	now := simulatedStart
	steps := simulatedSeconds * int(time.Second/claims.WriteInterval)
	first := make([]int, steps+finishAfter+1) // first claim of each interval
	for step := range first {
		first[step] = min(step, steps) * rate * simulatedSeconds / steps
	}
	for step := range steps + finishAfter {
		now = now.Add(claims.WriteInterval)
		batches := make([][]claim.Op, len(chains))
		add := func(kind claim.OpKind, from, to int) {
			for n := from; n < to; n++ {
				op := claimOp(kind, n)
				batches[op.ID.Shard()] = append(batches[op.ID.Shard()], op)
			}
		}
		add(claim.OpClaim, first[step], first[step+1])
		if step >= finishAfter {
			add(claim.OpFinish, first[step-finishAfter], first[step-finishAfter+1])
		}
		for i, batch := range batches {
			chains[i].append(now, batch)
		}
	}
}

// measureTakeover loads a shard with a number of finished claims, as an instance
// does that appends for the first time.
func measureTakeover(retainedClaims int) ([]figure, error) {
	chain := newShardChain()
	for from := 0; from < retainedClaims; from += claimBatch {
		for _, kind := range []claim.OpKind{claim.OpClaim, claim.OpFinish} {
			var ops []claim.Op
			for n := from; n < min(from+claimBatch, retainedClaims); n++ {
				ops = append(ops, claimOp(kind, n))
			}
			chain.append(simulatedStart, ops)
		}
	}
	segments := make([]claim.Segment, 0, len(chain.segments))
	for _, segment := range chain.segments {
		segments = append(segments, segment)
	}
	slices.SortFunc(segments, func(a, b claim.Segment) int { return int(a.Number) - int(b.Number) })
	stored := chain.stored()
	chain = nil
	return loadShard(segments, stored)
}

func loadShard(segments []claim.Segment, stored int) ([]figure, error) {
	var took time.Duration
	var passing float64
	index, _, err := retained(func() (shard *claim.Shard, err error) {
		shard = claim.NewShard()
		passing, _, err = allocated(func() (err error) {
			took, err = processorTime(func() error { return shard.Load(segments) })
			return err
		})
		return shard, err
	})
	return []figure{
		{"memory of the index", "B", index},
		{"bytes read by a takeover", "B", float64(stored)},
		{"store reads of a takeover", "calls", float64(len(segments)/segmentsPerList + 1)},
		{"processor time of a takeover", "ms", milliseconds(took)},
		{"memory allocated by a takeover with the bytes read", "B", passing + float64(stored)},
	}, err
}

// measureAdapter claims and finishes through internal/claims.
func measureAdapter(n int) ([]figure, error) {
	fake := storetest.New()
	c := claims.New(claims.Config{
		Instance: "entry-instance-001", Store: fake, Forwarder: claims.NoPeers{}, Awaiter: claims.NoPeers{},
		BootTime: time.Now, WallTime: time.Now, Scope: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
		WriteInterval: claims.WriteInterval / 10, RecordRetryInterval: time.Second,
	})
	took, err := processorTime(func() error {
		var group errgroup.Group
		for i := range n {
			group.Go(func() error { return claimOnce(c, i) })
		}
		return group.Wait()
	})
	return []figure{{"processor time", "us", float64(took.Microseconds())}}, err
}

func claimOnce(c *claims.Claims, n int) error {
	ctx := context.Background()
	id := claim.NewID("organisation-00001", "pipeline-01", "dispatch-order", fmt.Sprint(n))
	reply := c.Claim(ctx, claims.Request{ID: id, Retention: time.Hour})
	if reply.Grant == nil {
		return fmt.Errorf("claim %d was refused: %d", n, reply.Refusal)
	}
	return reply.Grant.Finish(ctx, "completed", make([]byte, answerBytes))
}
