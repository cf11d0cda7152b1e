package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// storeCall is the type of a call to the key-value service.
type storeCall int

const (
	callGet storeCall = iota
	callList
	callWatch
	callWrite
	callDelete
	callGrant
	callKeepAlive
	callRevoke
)

// writes reports whether the call counts towards the rate limit of writes.
func (c storeCall) writes() bool { return c >= callWrite }

// StoreFaults configures the faults and the rate limits of the key-value service.
type StoreFaults struct {
	// Outage makes every call fail with status 503 and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMS is added to every call, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseShare is the fraction of writes that take effect but get no answer, 0 to 1.
	LoseShare float64 `json:"lose_share"`
	// LoseNext is the number of following writes that take effect but get no answer.
	LoseNext int `json:"lose_next"`
	// StaleShare is the fraction of reads that return past values, 0 to 1.
	StaleShare float64 `json:"stale_share"`
	// StaleMS is the age of the values that stale reads return, in milliseconds.
	StaleMS int64 `json:"stale_ms"`
	// WritesPerSecond and ReadsPerSecond are the rate limits of calls.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
}

func (f StoreFaults) delay() time.Duration {
	return time.Duration(f.DelayMS) * time.Millisecond
}

// Rate limits of the platform's key-value service, in calls per second.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// burstSeconds is the burst size of the rate limits, in seconds of calls at the full
// rate.
const burstSeconds = 0.5

// StoreCounts counts the calls that were carried out, by type, and those that were
// not.
type StoreCounts struct {
	Gets       int64 `json:"gets"`
	Lists      int64 `json:"lists"`
	Watches    int64 `json:"watches"`
	Writes     int64 `json:"writes"`
	Deletes    int64 `json:"deletes"`
	Grants     int64 `json:"grants"`
	KeepAlives int64 `json:"keep_alives"`
	Revokes    int64 `json:"revokes"`
	// OverRate counts calls answered with 429.
	OverRate int64 `json:"over_rate"`
	// Unavailable counts calls answered with 503.
	Unavailable int64 `json:"unavailable"`
	// Lost counts writes that took effect but got no answer.
	Lost           int64 `json:"lost"`
	WaitingWatches int   `json:"waiting_watches"`
}

func (c *StoreCounts) counter(call storeCall) *int64 {
	return [...]*int64{&c.Gets, &c.Lists, &c.Watches, &c.Writes, &c.Deletes, &c.Grants, &c.KeepAlives, &c.Revokes}[call]
}

// storeFaultInjector applies the rate limits and chooses the fault of each call.
type storeFaultInjector struct {
	mu            sync.Mutex
	faults        StoreFaults
	counts        StoreCounts
	writes, reads *rate.Limiter
	random        *rand.Rand
	outage        chan struct{} // closed while there is an outage
}

func newStoreFaultInjector() *storeFaultInjector {
	f := &storeFaultInjector{random: rand.New(rand.NewPCG(1, 2)), outage: make(chan struct{})}
	f.set(StoreFaults{WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond})
	return f
}

func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

func (f *storeFaultInjector) get() StoreFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

func (f *storeFaultInjector) set(faults StoreFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if faults.WritesPerSecond != f.faults.WritesPerSecond {
		f.writes = newLimiter(faults.WritesPerSecond)
	}
	if faults.ReadsPerSecond != f.faults.ReadsPerSecond {
		f.reads = newLimiter(faults.ReadsPerSecond)
	}
	switch {
	case faults.Outage && !f.faults.Outage:
		close(f.outage)
	case !faults.Outage && f.faults.Outage:
		f.outage = make(chan struct{})
	}
	f.faults = faults
}

func (f *storeFaultInjector) copyCounts() StoreCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

func (f *storeFaultInjector) outageStarted() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outage
}

// begin counts a call. It returns status 200 when the call is to be carried out, and
// otherwise the status to answer with.
func (f *storeFaultInjector) begin(call storeCall) (StoreFaults, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limiter := f.reads
	if call.writes() {
		limiter = f.writes
	}
	switch {
	case f.faults.Outage:
		f.counts.Unavailable++
		return f.faults, http.StatusServiceUnavailable
	case !limiter.Allow():
		f.counts.OverRate++
		return f.faults, http.StatusTooManyRequests
	}
	*f.counts.counter(call)++
	return f.faults, http.StatusOK
}

// losesAnswer reports whether the answer of a write is to be dropped, and counts it.
func (f *storeFaultInjector) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.faults.LoseNext > 0:
		f.faults.LoseNext--
	case f.random.Float64() >= f.faults.LoseShare:
		return false
	}
	f.counts.Lost++
	return true
}

// readTime returns the time whose values a read returns: a past one for a stale read.
func (f *storeFaultInjector) readTime() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.random.Float64() < f.faults.StaleShare {
		return now.Add(-time.Duration(f.faults.StaleMS) * time.Millisecond)
	}
	return now
}
