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

// Guards against a holder that acts although its lease has expired in the store
// and another holder may have one. Responses of the store are late, lost
// and reordered, and the process is paused at any time.
func TestHolderStopsBeforeLeaseExpires(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		holder := NewHolder(ttl, margin)
		// storeExpiry is when the store ends each lease. Its TTL starts when the call
		// is sent, the earliest possible time.
		storeExpiry := map[ID]time.Time{}
		leaseByToken := map[int64]ID{}
		next := ID(1)
		var undelivered []Input
		var highestToken int64
		var outputs []Output
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			for _, output := range outputs {
				requestedAt := now
				now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "call")) * time.Millisecond)
				switch out := output.(type) {
				case Grant:
					storeExpiry[next] = requestedAt.Add(ttl)
					undelivered = append(undelivered, Granted{Lease: next, RequestedAt: requestedAt})
					next++
				case WriteKey:
					if requestedAt.Before(storeExpiry[out.Lease]) {
						leaseByToken[int64(next)] = out.Lease
						undelivered = append(undelivered, KeyWritten{Lease: out.Lease, FencingToken: int64(next)})
						next++
					}
				case KeepAlive:
					if requestedAt.Before(storeExpiry[out.Lease]) {
						storeExpiry[out.Lease] = requestedAt.Add(ttl)
						undelivered = append(undelivered, Extended{Lease: out.Lease, RequestedAt: requestedAt})
					}
				}
			}
			input := Input(Tick{})
			if len(undelivered) > 0 && rapid.Bool().Draw(t, "deliver") {
				i := rapid.IntRange(0, len(undelivered)-1).Draw(t, "which")
				input, undelivered = undelivered[i], append(undelivered[:i:i], undelivered[i+1:]...)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			outputs = holder.Step(now, input)
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "pause")) * time.Millisecond)
			token, ok := holder.Valid(now)
			if !ok {
				continue
			}
			if left := storeExpiry[leaseByToken[token]].Sub(now); left < margin {
				t.Fatalf("holder acts under fencing token %d with %v left", token, left)
			}
			if token < highestToken {
				t.Fatalf("fencing token decreased from %d to %d", highestToken, token)
			}
			highestToken = token
		}
	})
}
