package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"

	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/membership"
)

// Large answers to PullView are served a few at a time, so that those who have one pass it on
// before the others have all waited for one link.
const (
	// minViewPulls and maxViewPulls bound the large answers that are sent at the same time.
	// Callers whose pull is refused try another peer.
	minViewPulls = 4
	maxViewPulls = 64
	// mbitsPerPull is the bandwidth of the link for each of them.
	mbitsPerPull = 5
	// minCompressedBytes is the size from which an answer is large, and compressed.
	minCompressedBytes = 8 << 10
	// maxSharedAnswers bounds the large answers that are kept, which differ by the version
	// that the caller has.
	maxSharedAnswers = 4
)

// viewPulls serves PullView. An instance that has a new version is asked by many others at
// once, most of which have the same version: an answer is made once for all of them.
type viewPulls struct {
	next http.Handler
	// version returns the version that this instance has.
	version func() store.Version
	slots   *semaphore.Weighted

	mu sync.Mutex
	// answers holds the large answers of the version madeAt by their requests.
	answers map[string]*sharedAnswer
	madeAt  store.Version
}

// newViewPulls returns a handler that has next make the answers.
func newViewPulls(next http.Handler, version func() store.Version, slots int64) *viewPulls {
	return &viewPulls{next: next, version: version, slots: semaphore.NewWeighted(slots), answers: map[string]*sharedAnswer{}}
}

// viewPullSlots returns how many large answers an instance may send at the same time.
func viewPullSlots(node *Node) int64 {
	mbits := 0
	if node != nil {
		node.View(func(s *membership.State) { mbits = s.Self().Capacity.LinkMbits })
	}
	return int64(min(maxViewPulls, max(minViewPulls, mbits/mbitsPerPull)))
}

// ServeHTTP implements http.Handler.
func (p *viewPulls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	compress := strings.Contains(r.Header.Get("Accept-Encoding"), "gzip")
	answer := p.answer(r, body, compress)
	if answer.large {
		if !p.slots.TryAcquire(1) {
			_ = twirp.WriteError(w, toTwirp(ErrBusy)) // the caller may be gone
			return
		}
		defer p.slots.Release(1)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body) // the caller may be gone
}

// answer returns the answer to a request, which is shared with other callers if it is large.
func (p *viewPulls) answer(r *http.Request, body []byte, compress bool) *sharedAnswer {
	key := strconv.FormatBool(compress) + string(body)
	p.mu.Lock()
	if version := p.version(); version != p.madeAt {
		p.madeAt = version
		clear(p.answers)
	}
	if known, ok := p.answers[key]; ok {
		p.mu.Unlock()
		<-known.made
		return known
	}
	a := &sharedAnswer{made: make(chan struct{}), header: http.Header{}, status: http.StatusInternalServerError}
	if len(p.answers) < maxSharedAnswers {
		p.answers[key] = a
	}
	p.mu.Unlock()
	defer close(a.made)
	// Other callers wait for the answer, too, so it is made even if this one leaves.
	request := r.Clone(context.WithoutCancel(r.Context()))
	request.Body = io.NopCloser(bytes.NewReader(body))
	p.next.ServeHTTP(a, request)
	a.finish(compress)
	if !a.large {
		p.forget(key, a)
	}
	return a
}

// forget drops a small answer.
func (p *viewPulls) forget(key string, a *sharedAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers[key] == a {
		delete(p.answers, key)
	}
}

// sharedAnswer is an answer that is kept in memory. It implements http.ResponseWriter for the
// handler that makes it.
type sharedAnswer struct {
	// made is closed when the answer is complete.
	made   chan struct{}
	header http.Header
	// status is that of an error until the handler has written another one.
	status int
	body   []byte
	large  bool
}

// Header implements http.ResponseWriter.
func (a *sharedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *sharedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *sharedAnswer) Write(data []byte) (int, error) {
	a.body = append(a.body, data...)
	return len(data), nil
}

// finish compresses a large answer.
func (a *sharedAnswer) finish(compress bool) {
	a.large = a.status == http.StatusOK && len(a.body) >= minCompressedBytes
	if !a.large || !compress {
		return
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = writer.Write(a.body) // a bytes.Buffer does not fail
	_ = writer.Close()
	a.body = compressed.Bytes()
	a.header.Set("Content-Encoding", "gzip")
}
