package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

// Guards against a retry storm: more retries than the ratio of requests plus the
// constant rate allow, for any order of requests, retries and clock steps.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(0, 0)
		now := start
		latest := now
		budget := NewRetryBudget(DefaultRetryBudget, now)
		var requests, retries float64
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 20).Draw(t, "ms")) * time.Millisecond)
			if now.After(latest) {
				latest = now
			}
			if rapid.Bool().Draw(t, "request") {
				budget.CountRequest(now)
				requests++
				continue
			}
			if budget.Allow(now) {
				retries++
			}
			bound := requests*DefaultRetryBudget.Ratio + latest.Sub(start).Seconds()*DefaultRetryBudget.PerSecond
			if retries > bound+1e-9 {
				t.Fatalf("%v retries, at most %v allowed", retries, bound)
			}
		}
	})
}

// Guards against a retry storm with the budget that accumulated while the instance
// was idle, such as overnight.
func TestRetryBudgetBurst(t *testing.T) {
	budget := NewRetryBudget(DefaultRetryBudget, time.Unix(0, 0))
	now := time.Unix(0, 0).Add(time.Hour)
	allowed := 0
	for budget.Allow(now) {
		allowed++
	}
	if allowed != int(DefaultRetryBudget.Burst) {
		t.Fatalf("%d retries after an idle hour, want %v", allowed, DefaultRetryBudget.Burst)
	}
}
