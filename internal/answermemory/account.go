// Package answermemory bounds the memory that a process holds of the answers it receives:
// their heads, and those parts of their bodies that can't be passed on yet. All answers share
// one account. When it is full, the source that holds most of it loses its largest answer, so
// that a faulty server takes no room from the answers of others.
package answermemory

import (
	"errors"
	"sync"
)

// ErrNoRoom reports an answer that was cut off because the account is full and no other source
// holds more than that of the answer.
var ErrNoRoom = errors.New("no memory is left for the answer")

// Account is the memory for the answers that a process receives. It is safe for concurrent
// use. A nil Account has no bound.
type Account struct {
	size int64

	mu      sync.Mutex
	used    int64
	evicted int64
	sources map[string]*source
}

// source holds the answers of one sender.
type source struct {
	used     int64
	holdings map[*Holding]struct{}
}

// NewAccount returns an account of size bytes.
func NewAccount(size int64) *Account {
	return &Account{size: size, sources: map[string]*source{}}
}

// Usage is what an account holds.
type Usage struct {
	// Bytes are the reserved bytes.
	Bytes int64 `json:"bytes"`
	// Evicted is the number of answers that were cut off because the account was full.
	Evicted int64 `json:"evicted"`
}

// Usage returns what the account holds.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.used, Evicted: a.evicted}
}

// Holding is the memory of one answer. Its methods are safe for concurrent use. A nil Holding
// has no bound.
type Holding struct {
	account *Account
	source  string
	// cut ends the answer. It is called at most once, without a lock, and must not block.
	cut func()

	// The fields below are guarded by the lock of the account.
	bytes  int64
	closed bool
}

// Open returns the empty holding of an answer from a source. cut is called when the answer has
// to make room for others.
func (a *Account) Open(sourceID string, cut func()) *Holding {
	return &Holding{account: a, source: sourceID, cut: cut}
}

func (h *Holding) unbounded() bool { return h == nil || h.account == nil }

// optionalPercent is the part of the account that Offer may fill. The rest stays free for what
// is needed to read an answer at all.
const optionalPercent = 75

// Offer reserves n bytes without which the answer can be read, too. It returns false if they
// are not free.
func (h *Holding) Offer(n int64) bool {
	if h.unbounded() {
		return true
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed || a.used+n > a.size*optionalPercent/100 {
		return false
	}
	h.add(n)
	return true
}

// Reserve reserves n bytes. If they are not free, it cuts off the largest answers of the
// sources that hold most. It returns ErrNoRoom when these would be the holding's own, or when
// the holding has been cut off.
func (h *Holding) Reserve(n int64) error {
	if h.unbounded() || n == 0 {
		return nil
	}
	a := h.account
	a.mu.Lock()
	var evicted []*Holding
	for !h.closed && a.used+n > a.size {
		victim := a.largestBeside(h, n)
		if victim == nil {
			a.evicted++
			a.mu.Unlock()
			cutAll(evicted)
			return ErrNoRoom
		}
		a.evicted++
		victim.release()
		evicted = append(evicted, victim)
	}
	closed := h.closed
	if !closed {
		h.add(n)
	}
	a.mu.Unlock()
	cutAll(evicted)
	if closed {
		return ErrNoRoom
	}
	return nil
}

func cutAll(holdings []*Holding) {
	for _, h := range holdings {
		h.cut()
	}
}

// largestBeside returns the largest holding of the source that holds most, nil if that is the
// source of h with n bytes more.
func (a *Account) largestBeside(h *Holding, n int64) (largest *Holding) {
	most := n
	if own := a.sources[h.source]; own != nil {
		most += own.used
	}
	var biggest *source
	for id, s := range a.sources {
		if id != h.source && s.used > most {
			biggest, most = s, s.used
		}
	}
	if biggest == nil {
		return nil
	}
	for candidate := range biggest.holdings {
		if largest == nil || candidate.bytes > largest.bytes {
			largest = candidate
		}
	}
	return largest
}

// Release gives n bytes back.
func (h *Holding) Release(n int64) {
	if h.unbounded() || n == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.add(-n)
	}
}

// Close gives all bytes back. Reserve and Offer fail from then on.
func (h *Holding) Close() {
	if h.unbounded() {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.release()
}

// add adds n bytes to the holding. It is called with the lock of the account held.
func (h *Holding) add(n int64) {
	a := h.account
	s := a.sources[h.source]
	if s == nil {
		s = &source{holdings: map[*Holding]struct{}{}}
		a.sources[h.source] = s
	}
	h.bytes += n
	s.used += n
	a.used += n
	s.holdings[h] = struct{}{}
}

// release removes the holding from its account. It is called with the lock of the account
// held.
func (h *Holding) release() {
	a := h.account
	if h.closed {
		return
	}
	h.closed = true
	a.used -= h.bytes
	if s := a.sources[h.source]; s != nil {
		s.used -= h.bytes
		delete(s.holdings, h)
		if len(s.holdings) == 0 {
			delete(a.sources, h.source)
		}
	}
	h.bytes = 0
}
