package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

const (
	ttl    = 10 * time.Second
	margin = 3 * time.Second
)

// Guards against a holder that acts although the store may have given its lease
// to another one: after pauses, with late, lost and reordered answers.
func TestHolderStopsBeforeTheLeaseLapses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		holder := NewHolder(ttl, margin)
		// storeExpiry is when the store drops each lease; it starts at the call.
		storeExpiry := map[ID]time.Time{}
		numbers := map[int64]ID{}
		next := ID(1)
		var late []Input
		var highest int64
		var outputs []Output
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			for _, output := range outputs {
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "call")) * time.Millisecond)
				switch out := output.(type) {
				case Grant:
					storeExpiry[next] = asked.Add(ttl)
					late = append(late, Granted{Lease: next, RequestedAt: asked})
					next++
				case WriteKey:
					if asked.Before(storeExpiry[out.Lease]) {
						numbers[int64(next)] = out.Lease
						late = append(late, KeyWritten{Lease: out.Lease, FencingToken: int64(next)})
						next++
					}
				case KeepAlive:
					if asked.Before(storeExpiry[out.Lease]) {
						storeExpiry[out.Lease] = asked.Add(ttl)
						late = append(late, Extended{Lease: out.Lease, RequestedAt: asked})
					}
				}
			}
			input := Input(Tick{})
			if len(late) > 0 && rapid.Bool().Draw(t, "deliver") {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				input, late = late[i], append(late[:i:i], late[i+1:]...)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			outputs = holder.Step(now, input)
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			number, ok := holder.Valid(now)
			if !ok {
				continue
			}
			if left := storeExpiry[numbers[number]].Sub(now); left < margin {
				t.Fatalf("holder acts under number %d with %v left", number, left)
			}
			if number < highest {
				t.Fatalf("fencing number fell from %d to %d", highest, number)
			}
			highest = number
		}
	})
}
