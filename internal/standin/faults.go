package standin

import (
	"math/rand/v2"
	"sync"
)

// Fault is a way in which a backend server mishandles one request.
type Fault string

// Faults of one request. With FaultRefuse the request does not run; with all others
// it does.
const (
	FaultNone    Fault = ""
	FaultRefuse  Fault = "refuse"
	FaultError   Fault = "error"    // status 500 although the request ran
	FaultHalf    Fault = "half"     // the connection is closed in the middle of the answer
	FaultGarbage Fault = "garbage"  // bytes that cannot be decoded as an answer
	FaultTooMuch Fault = "too_much" // an oversized answer of oversizedAnswerBytes
	FaultCrossed Fault = "crossed"  // an answer with the attempt ID of another request
	FaultHang    Fault = "hang"     // no answer until the caller disconnects
	// FaultCloseDelimited is a part of an answer with neither a length nor chunks, after
	// which the connection is closed in order.
	FaultCloseDelimited Fault = "close_delimited"
)

// allFaults lists the faults in the order in which the next one is chosen.
var allFaults = []Fault{FaultRefuse, FaultError, FaultHalf, FaultGarbage, FaultTooMuch, FaultCrossed, FaultHang, FaultCloseDelimited}

// BackendFaults configures the faults of a backend server.
type BackendFaults struct {
	// Slowdown multiplies the service time; 0 and 1 mean none.
	Slowdown float64 `json:"slowdown"`
	// Draining refuses new requests, as a draining server does.
	Draining bool `json:"draining"`
	// Share is the fraction of requests that each fault affects, 0 to 1.
	Share map[Fault]float64 `json:"share,omitempty"`
	// Next is the number of following requests that each fault affects.
	Next map[Fault]int `json:"next,omitempty"`
}

// backendFaultInjector chooses the fault of each request.
type backendFaultInjector struct {
	mu     sync.Mutex
	faults BackendFaults
	random *rand.Rand
}

func (f *backendFaultInjector) get() BackendFaults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.clone()
}

// clone copies the maps, so that no reader shares them with draw, which changes them.
func (f BackendFaults) clone() BackendFaults {
	share, next := map[Fault]float64{}, map[Fault]int{}
	for fault, value := range f.Share {
		share[fault] = value
	}
	for fault, value := range f.Next {
		next[fault] = value
	}
	f.Share, f.Next = share, next
	return f
}

func (f *backendFaultInjector) change(change func(*BackendFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = f.faults.clone()
	change(&f.faults)
}

// slowdown returns the factor by which service times are multiplied.
func (f *backendFaultInjector) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.Slowdown == 0 {
		return 1
	}
	return f.faults.Slowdown
}

// draw returns the fault of the next request: one with a count in Next, or else a
// random one by Share.
func (f *backendFaultInjector) draw() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range allFaults {
		if f.faults.Next[fault] > 0 {
			f.faults.Next[fault]--
			return fault
		}
	}
	drawn := f.random.Float64()
	for _, fault := range allFaults {
		drawn -= f.faults.Share[fault]
		if drawn < 0 {
			return fault
		}
	}
	return FaultNone
}
