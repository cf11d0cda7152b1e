package experiment

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
)

// Range and precision (significant decimal digits) of latency histograms.
const (
	histogramMaxMicroseconds = int64(time.Minute / time.Microsecond)
	histogramDigits          = 3
)

// requestResult is the result of one arrival.
type requestResult struct {
	// duration is the time from the intended send time to the end of the answer.
	duration time.Duration
	outcome  entry.Outcome
	onTime   bool
}

// results holds the result of each arrival of a run.
type results struct {
	kinds    []kind
	arrivals []arrival
	// requests has the same order as arrivals.
	requests []requestResult
}

// runLoad sends each arrival at its intended time, whether earlier ones were answered
// or not, and waits for all answers. Each function in events runs at its key, counted
// from the start of the run.
func (f *fleet) runLoad(arrivals []arrival, events map[time.Duration]func()) *results {
	r := &results{f.kinds, arrivals, make([]requestResult, len(arrivals))}
	start := time.Now()
	for at, event := range events {
		defer time.AfterFunc(at, event).Stop()
	}
	var sent sync.WaitGroup
	for i, a := range arrivals {
		time.Sleep(time.Until(start.Add(a.at)))
		sent.Go(func() { r.requests[i] = f.send(a, start.Add(a.at)) })
	}
	sent.Wait()
	return r
}

// send posts one request and cancels it at twice the deadline of its kind.
func (f *fleet) send(a arrival, intended time.Time) requestResult {
	k := f.kinds[a.kind]
	ctx, cancel := context.WithDeadline(context.Background(), intended.Add(2*k.deadline))
	defer cancel()
	outcome := f.post(ctx, a, k)
	took := time.Since(intended)
	return requestResult{took, outcome, outcome == entry.OutcomeCompleted && took <= k.deadline}
}

func (f *fleet) post(ctx context.Context, a arrival, k kind) entry.Outcome {
	instances := f.urls[a.region]
	url := instances[int(a.pick)%len(instances)] + "/v1/organisations/" + organisationName +
		"/pipelines/" + pipelineName + "/kinds/" + k.name
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(k.body))
	if err != nil {
		return entry.OutcomeFailed
	}
	response, err := f.client.Do(request)
	if err != nil {
		return entry.OutcomeFailed
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return entry.OutcomeFailed
	}
	return entry.Outcome(response.Header.Get(entry.HeaderOutcome))
}

// selection selects the arrivals of one kind and one phase; -1 selects all.
type selection struct{ kind, phase int }

func (s selection) matches(a arrival) bool {
	return (s.kind < 0 || s.kind == a.kind) && (s.phase < 0 || s.phase == a.phase)
}

// latency returns the histogram of the latency of completed requests in microseconds,
// without requests whose intended send time is before from.
func (r *results) latency(s selection, from time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits)
	for i, a := range r.arrivals {
		if s.matches(a) && a.at >= from && r.requests[i].outcome == entry.OutcomeCompleted {
			_ = h.RecordValue(max(1, r.requests[i].duration.Microseconds()))
		}
	}
	return h
}

// onTimeShare returns the share of requests that were answered by their deadline,
// without requests whose intended send time is before from.
func (r *results) onTimeShare(s selection, from time.Duration) float64 {
	total, onTime := 0, 0
	for i, a := range r.arrivals {
		if s.matches(a) && a.at >= from {
			total++
			if r.requests[i].onTime {
				onTime++
			}
		}
	}
	return float64(onTime) / float64(max(1, total))
}

// onTimeRate returns the answers per second that ended within a window and were on
// time.
func (r *results) onTimeRate(from, to time.Duration) float64 {
	count := 0
	for i, a := range r.arrivals {
		if end := a.at + r.requests[i].duration; r.requests[i].onTime && end >= from && end < to {
			count++
		}
	}
	return float64(count) / (to - from).Seconds()
}
