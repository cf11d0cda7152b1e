package transfer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Errors of transfers that did not end.
var (
	// ErrNoAnswer reports a call whose answer did not begin in time.
	ErrNoAnswer = errors.New("answer did not begin in time")
	// ErrStalled reports an answer of which too little arrived for too long.
	ErrStalled = errors.New("answer stalled")
)

// Limits bound the time of a transfer by its progress, so that a large answer may take as
// long as its path needs.
type Limits struct {
	// Start is the time until the first byte of the answer's body.
	Start time.Duration
	// Stall is a period in which at least MinBytes must arrive until the answer ends.
	Stall    time.Duration
	MinBytes int
	// OnData is called when a part of the body has arrived, through a Transport only of one
	// with status 200; nil for none.
	OnData func()
}

// WithoutDeadline returns a context that ends when ctx is cancelled, and not at its deadline. It
// suits a call that is asked to answer at that deadline.
func WithoutDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	result, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return result, func() {
		stop()
		cancel()
	}
}

// Progress cancels the context of a call that violates its limits.
type Progress struct {
	limits Limits
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu sync.Mutex
	// begun is true after the first byte, received the bytes of the current period.
	begun    bool
	received int
}

// WithLimits returns a context that ends with ErrNoAnswer or ErrStalled as its cause when a
// call violates the limits. The body of the answer must be read through Reader, and Stop
// called in the end.
func WithLimits(ctx context.Context, limits Limits) (context.Context, *Progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &Progress{limits: limits, cancel: cancel}
	p.timer = time.AfterFunc(limits.Start, p.giveUp)
	return ctx, p
}

func (p *Progress) giveUp() {
	p.mu.Lock()
	begun := p.begun
	p.mu.Unlock()
	if begun {
		p.cancel(ErrStalled)
		return
	}
	p.cancel(ErrNoAnswer)
}

// record records that n bytes have arrived.
func (p *Progress) record(n int) {
	if p.limits.OnData != nil {
		p.limits.OnData()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received += n
	if p.begun && p.received < p.limits.MinBytes {
		return
	}
	p.begun, p.received = true, 0
	p.timer.Reset(p.limits.Stall)
}

// Stop releases the context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// Reader returns a reader of the body that records what arrives.
func (p *Progress) Reader(body io.Reader) io.Reader { return &progressReader{body, p} }

type progressReader struct {
	body     io.Reader
	progress *Progress
}

// maxReadBytes bounds one read. The body of a chunked answer returns from a read only when
// its buffer is full, however long that takes.
const maxReadBytes = 4 << 10

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b[:min(len(b), maxReadBytes)])
	if n > 0 {
		r.progress.record(n)
	}
	return n, err
}

// callKey is the context key of WithCall.
type callKey struct{}

// callLimits are limits of one call through a Transport.
type callLimits struct {
	start  time.Duration
	onData func()
}

// WithCall returns a context whose calls through a Transport have another Limits.Start and
// Limits.OnData.
func WithCall(ctx context.Context, start time.Duration, onData func()) context.Context {
	return context.WithValue(ctx, callKey{}, callLimits{start, onData})
}

// Transport is an http.RoundTripper that applies limits to each call.
type Transport struct {
	Next   http.RoundTripper
	Limits Limits
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	limits := t.Limits
	if call, given := request.Context().Value(callKey{}).(callLimits); given {
		limits.Start, limits.OnData = call.start, call.onData
	}
	ctx, progress := WithLimits(request.Context(), limits)
	response, err := t.Next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		progress.Stop()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		progress.limits.OnData = nil // an error is no answer
	}
	response.Body = &limitedBody{progress.Reader(response.Body), response.Body, progress, ctx}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Next, for http.Client.
func (t Transport) CloseIdleConnections() { (&http.Client{Transport: t.Next}).CloseIdleConnections() }

// limitedBody releases the context of a call when its body is closed.
type limitedBody struct {
	io.Reader
	body     io.Closer
	progress *Progress
	ctx      context.Context
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		if cause := context.Cause(b.ctx); cause != nil {
			err = cause
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error {
	b.progress.Stop()
	return b.body.Close()
}
