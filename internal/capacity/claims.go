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
	// peakClaimsPerSecond is the rate at the peak expected in two years, when every
	// request is at-most-once.
	peakClaimsPerSecond = 2500
	// simulatedSeconds is how long claims arrive at a rate, finishDelayIntervals
	// the time from a claim to its finish in write intervals.
	simulatedSeconds     = 10
	finishDelayIntervals = 3
	// answerBytes is the length of a stored response.
	answerBytes = 200
	// segmentsPerList is the page size of internal/claims.
	segmentsPerList = 64
	// claimsPerAppend is the number of operations in one append while a shard is
	// filled.
	claimsPerAppend = 100
)

func claimsSweeps() []sweep {
	return []sweep{
		{
			role: RoleClaims, per: "claim/s", sizes: []int{50, 160, 500, 1000, peakClaimsPerSecond}, target: peakClaimsPerSecond,
			setUp: withoutState(measureClaimRate),
		},
		{
			role: RoleClaims, per: "retained claim of a shard", sizes: []int{5_000, 20_000, 60_000, 140_000},
			target: peakClaimsPerSecond * 3600 / claim.Shards, setUp: withoutState(measureTakeover),
		},
		{
			role: RoleClaims, per: "claim through the adapter", sizes: []int{200, 1000, 3000}, target: peakClaimsPerSecond,
			setUp: withoutState(measureAdapter),
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

// storedShard is one shard with its segments in a simulated store.
type storedShard struct {
	shard        *claim.Shard
	segments     map[uint64]claim.Segment
	version      int64
	writes       int
	writtenBytes int
}

func newStoredShard() *storedShard {
	return &storedShard{shard: claim.NewShard(), segments: map[uint64]claim.Segment{}}
}

// append appends operations, with as many writes as the shard needs for them.
func (s *storedShard) append(now time.Time, ops []claim.Op) {
	for len(ops) > 0 {
		write, decisions := s.shard.PrepareAppend(now, ops)
		ops = ops[len(decisions):]
		if write.Records == 0 {
			continue
		}
		s.version++
		s.writes++
		s.writtenBytes += len(write.Segment.Data)
		s.shard.CommitWrite(s.version)
		write.Segment.Version = s.version
		s.segments[write.Segment.Number] = write.Segment
	}
}

func (s *storedShard) storedBytes() (bytes int) {
	for _, segment := range s.segments {
		bytes += len(segment.Data)
	}
	return bytes
}

// measureClaimRate appends claims and their finishes at a rate per second. The
// operations of one write interval on one shard are appended together, as one write.
func measureClaimRate(rate int) ([]figure, error) {
	var shards [claim.Shards]*storedShard
	for i := range shards {
		shards[i] = newStoredShard()
	}
	took, err := processorTime(func() error {
		appendAtRate(shards[:], rate)
		return nil
	})
	writes, writtenBytes, storedBytes := 0, 0, 0
	for _, shard := range shards {
		writes += shard.writes
		writtenBytes += shard.writtenBytes
		storedBytes += shard.storedBytes()
	}
	claimed := float64(rate * simulatedSeconds)
	elapsed := (simulatedSeconds*time.Second + finishDelayIntervals*claims.WriteInterval).Seconds()
	return []figure{
		{"store writes", "1/s", float64(writes) / elapsed},
		{"bytes sent to the store", "B/s", float64(writtenBytes) / elapsed},
		{"bytes stored per claim", "B", float64(storedBytes) / claimed},
		{"processor time of all appenders", "us/s", float64(took.Microseconds()) / elapsed},
	}, err
}

func appendAtRate(shards []*storedShard, rate int) {
	now := simulatedStart
	steps := simulatedSeconds * int(time.Second/claims.WriteInterval)
	first := make([]int, steps+finishDelayIntervals+1) // number of the first claim in each interval
	for step := range first {
		first[step] = min(step, steps) * rate * simulatedSeconds / steps
	}
	for step := range steps + finishDelayIntervals {
		now = now.Add(claims.WriteInterval)
		batches := make([][]claim.Op, len(shards))
		add := func(kind claim.OpKind, from, to int) {
			for n := from; n < to; n++ {
				op := claimOp(kind, n)
				batches[op.ID.Shard()] = append(batches[op.ID.Shard()], op)
			}
		}
		add(claim.OpClaim, first[step], first[step+1])
		if step >= finishDelayIntervals {
			add(claim.OpFinish, first[step-finishDelayIntervals], first[step-finishDelayIntervals+1])
		}
		for i, batch := range batches {
			shards[i].append(now, batch)
		}
	}
}

// measureTakeover measures loading a shard that holds finished claims, as an
// instance does before its first append to the shard.
func measureTakeover(retainedClaims int) ([]figure, error) {
	shard := newStoredShard()
	for from := 0; from < retainedClaims; from += claimsPerAppend {
		for _, kind := range []claim.OpKind{claim.OpClaim, claim.OpFinish} {
			var ops []claim.Op
			for n := from; n < min(from+claimsPerAppend, retainedClaims); n++ {
				ops = append(ops, claimOp(kind, n))
			}
			shard.append(simulatedStart, ops)
		}
	}
	segments := make([]claim.Segment, 0, len(shard.segments))
	for _, segment := range shard.segments {
		segments = append(segments, segment)
	}
	slices.SortFunc(segments, func(a, b claim.Segment) int { return int(a.Number) - int(b.Number) })
	storedBytes := shard.storedBytes()
	shard = nil
	return loadShard(segments, storedBytes)
}

func loadShard(segments []claim.Segment, storedBytes int) ([]figure, error) {
	var took time.Duration
	var allocatedBytes float64
	indexBytes, _, err := retained(func() (shard *claim.Shard, err error) {
		shard = claim.NewShard()
		allocatedBytes, _, err = allocated(func() (err error) {
			took, err = processorTime(func() error { return shard.Load(segments) })
			return err
		})
		return shard, err
	})
	return []figure{
		{"memory of the index", "B", indexBytes},
		{"bytes read by a takeover", "B", float64(storedBytes)},
		{"store reads of a takeover", "calls", float64(len(segments)/segmentsPerList + 1)},
		{"processor time of a takeover", "ms", milliseconds(took)},
		{"memory allocated by a takeover with the bytes read", "B", allocatedBytes + float64(storedBytes)},
	}, err
}

// measureAdapter claims and finishes n operations concurrently through
// internal/claims.
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
			group.Go(func() error { return claimAndFinish(c, i) })
		}
		return group.Wait()
	})
	return []figure{{"processor time", "us", float64(took.Microseconds())}}, err
}

func claimAndFinish(c *claims.Claims, n int) error {
	ctx := context.Background()
	id := claim.NewID("organisation-00001", "pipeline-01", "dispatch-order", fmt.Sprint(n))
	reply := c.Claim(ctx, claims.Request{ID: id, Retention: time.Hour})
	if reply.Grant == nil {
		return fmt.Errorf("claim %d was refused: %d", n, reply.Refusal)
	}
	return reply.Grant.Finish(ctx, "completed", make([]byte, answerBytes))
}
