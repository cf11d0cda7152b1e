package engine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// overdueShare is the share of a run's age that is assumed to remain once the run has
	// lasted longer than expected. Lengths of streams have long tails.
	overdueShare = 0.125
	// runExpiryFactor and runExpiryMargin bound how long a run without a report of its end is
	// counted, relative to its expected duration. They cover callers that ended without a report.
	runExpiryFactor = 4
	runExpiryMargin = 2 * time.Second
	// maxRunsPerSlot bounds the runs that are recorded for a server. Those that are expected
	// to end first are dropped.
	maxRunsPerSlot = 8
)

// Run describes what a request needs of a model server beside its prompt.
type Run struct {
	// ID is the ID of the request. A run without one counts until it is expected to end.
	ID string
	// Kind is the kind of the request. Requests of a kind have similar lengths.
	Kind string
	// OutputTokens is the expected number of output tokens; 0 when unknown.
	OutputTokens int
	// Priority orders the requests that wait at a server; 0 is the first.
	Priority int
}

// activeRun is one run at a server.
type activeRun struct {
	began, ends time.Time
	// shared holds the shared parts of the prompt. Their memory is counted once for all runs
	// of a server.
	shared []Part
	// ownTokens is the memory that only this run uses: the last part of the prompt and the
	// output.
	ownTokens int
	// work is the time that the server needs before the first event, and workEnds when it is
	// expected to have spent it. answered is true once the first event was reported.
	work     time.Duration
	workEnds time.Time
	answered bool
	// priority is Run.Priority. A run that only the server reported has priority 0.
	priority int
	// foreign is true for a run whose end is not reported: one that only the server named, or
	// one without an ID. It is counted until it is expected to end.
	foreign bool
}

// remaining returns the time until a run is expected to end.
func (r *activeRun) remaining(now time.Time) time.Duration {
	overdue := time.Duration(overdueShare * float64(now.Sub(r.began)))
	return max(r.ends.Sub(now), overdue, 0)
}

// expired reports whether a run is no longer counted although its end was not reported.
func (r *activeRun) expired(now time.Time) bool {
	if r.foreign {
		return now.After(r.ends)
	}
	return now.After(r.began.Add(runExpiryFactor*r.ends.Sub(r.began) + runExpiryMargin))
}

// sharedUse is the memory of a shared part and the number of runs that use it.
type sharedUse struct{ tokens, runs int }

// ledger holds the runs at one server. It is a view by placements and reports, which lags
// behind the server. The zero value is empty.
type ledger struct {
	runs   map[string]*activeRun
	shared map[string]sharedUse
	// tokens is the memory that the runs use.
	tokens int
	// unnamed numbers the runs without an ID and those that only the server reported.
	unnamed int
}

// add records a run. One with the same ID is replaced.
func (l *ledger) add(id string, r *activeRun) {
	if l.runs == nil {
		l.runs, l.shared = map[string]*activeRun{}, map[string]sharedUse{}
	}
	if id == "" {
		id = l.nextUnnamed()
	}
	l.remove(id)
	l.runs[id] = r
	l.tokens += r.ownTokens
	for _, part := range r.shared {
		use := l.shared[part.ID]
		if use.runs == 0 {
			use.tokens = part.Tokens
			l.tokens += part.Tokens
		}
		use.runs++
		l.shared[part.ID] = use
	}
}

// unnamedPrefix begins the keys of runs without an ID. No ID of a request contains a space.
const unnamedPrefix = "unnamed "

func (l *ledger) nextUnnamed() string {
	l.unnamed++
	return fmt.Sprint(unnamedPrefix, l.unnamed)
}

// remove ends a run, and returns false when none with the ID is recorded.
func (l *ledger) remove(id string) bool {
	r, ok := l.runs[id]
	if !ok {
		return false
	}
	delete(l.runs, id)
	l.tokens -= r.ownTokens
	for _, part := range r.shared {
		use := l.shared[part.ID]
		if use.runs--; use.runs > 0 {
			l.shared[part.ID] = use
			continue
		}
		l.tokens -= use.tokens
		delete(l.shared, part.ID)
	}
	return true
}

// markAnswered records that a run has had its first event.
func (l *ledger) markAnswered(id string) {
	if r, ok := l.runs[id]; ok {
		r.answered = true
	}
}

// expire drops the runs that have ended without a report, and the first to end beyond a limit.
func (l *ledger) expire(now time.Time, limit int) {
	for id, r := range l.runs {
		if r.expired(now) {
			l.remove(id)
		}
	}
	for len(l.runs) > limit {
		l.remove(l.firstToEnd(func(string, *activeRun) bool { return true }))
	}
}

// firstToEnd returns the ID of the run that ends first among those that match; empty without.
func (l *ledger) firstToEnd(match func(id string, r *activeRun) bool) string {
	first := ""
	for id, r := range l.runs {
		if match(id, r) && (first == "" || r.ends.Before(l.runs[first].ends)) {
			first = id
		}
	}
	return first
}

// ending is the expected end of a run and the memory that it frees.
type ending struct {
	in     time.Duration
	tokens int
}

// wait returns the time until a slot and memory for a prompt are expected to be free. Memory
// counts as freed only for what a run has alone, and not at all when the capacity is unknown.
func (l *ledger) wait(now time.Time, slots, capacity int, prompt []Part, run Run) time.Duration {
	excessRuns := len(l.runs) + 1 - slots
	excessTokens := 0
	if capacity > 0 {
		excessTokens = l.tokens + l.tokensFor(prompt, run.outputTokens()) - capacity
	}
	if excessRuns <= 0 && excessTokens <= 0 {
		return 0
	}
	overtaken, tokens := l.overtakenBy(run, slots)
	excessRuns -= overtaken
	excessTokens -= tokens
	endings := make([]ending, 0, len(l.runs))
	for _, r := range l.runs {
		endings = append(endings, ending{r.remaining(now), r.ownTokens})
	}
	slices.SortFunc(endings, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	wait := time.Duration(0)
	for _, e := range endings {
		if excessRuns <= 0 && excessTokens <= 0 {
			break
		}
		wait = e.in
		excessRuns--
		excessTokens -= e.tokens
	}
	return wait
}

// overtakenBy returns the number of the runs that wait at the server and start after a new one
// with a higher priority, and their memory. The runs that began last are those that wait.
func (l *ledger) overtakenBy(run Run, slots int) (runs, tokens int) {
	if len(l.runs) <= slots {
		return 0, 0
	}
	byAge := slices.SortedFunc(maps.Values(l.runs), func(a, b *activeRun) int { return a.began.Compare(b.began) })
	for _, r := range byAge[slots:] {
		if r.priority > run.Priority {
			runs++
			tokens += r.ownTokens
		}
	}
	return runs, tokens
}

// tokensFor returns the memory that a prompt and its output need beside that of the runs.
func (l *ledger) tokensFor(prompt []Part, outputTokens int) int {
	tokens := outputTokens
	for i, part := range prompt {
		if _, used := l.shared[part.ID]; i == len(prompt)-1 || !used {
			tokens += part.Tokens
		}
	}
	return tokens
}

// newActiveRun returns a run of a prompt that begins now.
func newActiveRun(now time.Time, prompt []Part, run Run, duration time.Duration) *activeRun {
	r := &activeRun{began: now, ends: now.Add(duration), ownTokens: run.outputTokens(), priority: run.Priority, foreign: run.ID == ""}
	if n := len(prompt); n > 0 {
		r.shared = slices.Clone(prompt[:n-1])
		r.ownTokens += prompt[n-1].Tokens
	}
	return r
}
