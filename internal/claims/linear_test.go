package claims

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/claim"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
)

// keyState is the state of one key in the sequential model.
type keyState struct {
	token    claim.Token
	finished bool
}

// output is the result of an operation. An unresolved operation may have taken effect.
type output struct {
	decision   claim.Decision
	unresolved bool
}

var claimModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{keyState{}} },
	Step:  stepKey,
	Equal: func(a, b any) bool { return a == b },
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := map[claim.ID][]porcupine.Operation{}
		for _, operation := range history {
			id := operation.Input.(claim.Op).ID
			keys[id] = append(keys[id], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
}

func stepKey(state, input, out any) []any {
	before, op, got := state.(keyState), input.(claim.Op), out.(output)
	after, want := before, claim.Verdict(0)
	own := before.token == op.Token
	switch {
	case op.Kind == claim.OpClaim && before == keyState{}:
		after, want = keyState{token: op.Token}, claim.Granted
	case op.Kind == claim.OpClaim && before.finished:
		want = claim.AlreadyFinished
	case op.Kind == claim.OpClaim:
		want = claim.Running
	case op.Kind == claim.OpFinish && own:
		after, want = keyState{token: op.Token, finished: true}, claim.Done
	case op.Kind == claim.OpRelease && own:
		after, want = keyState{}, claim.Done
	case op.Kind == claim.OpRelease:
		want = claim.Done
	}
	if got.unresolved {
		return []any{before, after}
	}
	if got.decision.Verdict != want {
		return nil
	}
	seen := want == claim.Running || want == claim.AlreadyFinished
	if seen && got.decision.Token != before.token {
		return nil
	}
	return []any{after}
}

// slowStore delays every write whose number is a multiple of every until others have
// written, so that the write is based on an old state. 0 delays none.
type slowStore struct {
	*storetest.Fake
	every int64
	swaps atomic.Int64
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, expect store.Version, value []byte, lease store.LeaseID) (store.Version, error) {
	if s.every > 0 && s.swaps.Add(1)%s.every == 0 {
		until := s.Count(storetest.Swap) + 5
		for wait := 0; wait < 100 && s.Count(storetest.Swap) < until; wait++ {
			time.Sleep(50 * time.Microsecond)
		}
	}
	return s.Fake.CompareAndSwap(ctx, key, expect, value, lease)
}

// Guards against a history of claims that is not linearizable: a key that is granted
// twice, a lost record, or a token that holds the key again after its release. Several
// appenders write concurrently, one of them is paused, and responses to writes are lost.
func TestClaimHistoryIsLinearizable(t *testing.T) {
	const appenders, rounds, keys = 4, 60, 6
	c := qt.New(t)
	fake := storetest.New()
	random := rand.New(rand.NewPCG(7, 8))
	var mu sync.Mutex
	fake.After = func(_ context.Context, op storetest.Op, _ string) error {
		mu.Lock()
		defer mu.Unlock()
		if op == storetest.Swap && random.IntN(4) == 0 {
			return store.ErrUnknownOutcome
		}
		return nil
	}
	var history []porcupine.Operation
	begin := time.Now()
	record := func(client int, op claim.Op, call time.Duration, decision claim.Decision, err error) {
		mu.Lock()
		defer mu.Unlock()
		if errors.Is(err, ErrNotAppended) {
			return
		}
		end := int64(time.Since(begin))
		if err != nil {
			end = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			ClientId: client, Input: op, Call: int64(call), Output: output{decision, err != nil}, Return: end,
		})
	}
	var group sync.WaitGroup
	for client := range appenders {
		slow := &slowStore{Fake: fake}
		if client == 0 {
			slow.every = 3
		}
		appender := newTestAppender(slow)
		choose := rand.New(rand.NewPCG(uint64(client), 1))
		group.Go(func() {
			for round := range rounds {
				op := claim.Op{
					Kind: claim.OpClaim, ID: claim.ID{0, byte(choose.IntN(keys))}, Retention: time.Hour,
					Token: claim.Token{byte(client + 1), byte(round)}, Holder: "a",
				}
				call := time.Since(begin)
				decision, err := appender.Append(context.Background(), op, false)
				record(client, op, call, decision, err)
				if err == nil && decision.Verdict != claim.Granted {
					continue
				}
				if op.Kind = claim.OpRelease; err == nil && choose.IntN(8) == 0 {
					op.Kind, op.Outcome = claim.OpFinish, "completed"
				}
				call = time.Since(begin)
				decision, err = appender.Append(context.Background(), op, false)
				record(client, op, call, decision, err)
			}
		})
	}
	group.Wait()
	result := porcupine.CheckOperationsTimeout(claimModel.ToModel(), history, time.Minute)
	c.Assert(result, qt.Equals, porcupine.Ok)
	c.Logf("%d operations, %d swaps", len(history), fake.Count(storetest.Swap))
}
