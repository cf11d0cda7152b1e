package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// freeCallDelay is how long results of one producer are collected for one call.
	freeCallDelay   = 4 * time.Millisecond
	freeCallTimeout = 500 * time.Millisecond
	// maxFreeDelay is how long results wait for a permit to free them at a server with a
	// limit. Servers delete them about then.
	maxFreeDelay = 4 * time.Second
)

// ResultFreer frees results at the servers that hold them. A result whose call fails
// stays until its time to live ends.
type ResultFreer struct {
	protocol Protocol
	client   *ServerClient
	serverOf func(stagework.Producer) (upstream.Server, bool)
	logger   *slog.Logger

	mu sync.Mutex
	// pending holds what the next calls free.
	pending map[stagework.Producer]*pendingFree
}

// pendingFree holds the results that the next call to one producer frees.
type pendingFree struct {
	results []stagework.Result
	// onFreed are called once the producer has freed the results.
	onFreed []func()
	// since is when the first of the results was to be freed.
	since time.Time
}

// NewResultFreer returns a ResultFreer. serverOf returns the server that a producer is, and
// false when it is no longer registered.
func NewResultFreer(protocol Protocol, client *ServerClient, serverOf func(stagework.Producer) (upstream.Server, bool), logger *slog.Logger) *ResultFreer {
	return &ResultFreer{protocol: protocol, client: client, serverOf: serverOf, logger: logger, pending: map[stagework.Producer]*pendingFree{}}
}

// Free frees results after freeCallDelay. onFreed is called once for each producer with
// the results that it has freed.
func (f *ResultFreer) Free(results []stagework.Result, onFreed func(freed []stagework.Result)) {
	byProducer := map[stagework.Producer][]stagework.Result{}
	for _, result := range results {
		byProducer[result.Producer] = append(byProducer[result.Producer], result)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for producer, own := range byProducer {
		pending := f.pending[producer]
		if pending == nil {
			pending = &pendingFree{since: time.Now()}
			f.pending[producer] = pending
			time.AfterFunc(freeCallDelay, func() { f.flush(producer) })
		}
		pending.results = append(pending.results, own...)
		pending.onFreed = append(pending.onFreed, func() { onFreed(own) })
	}
}

func (f *ResultFreer) flush(producer stagework.Producer) {
	f.mu.Lock()
	pending := f.pending[producer]
	delete(f.pending, producer)
	f.mu.Unlock()
	// The results of a server that is no longer registered are gone with it.
	if server, ok := f.serverOf(producer); ok {
		err := f.send(server, pending.results)
		if errors.Is(err, errServerLimited) && time.Since(pending.since) < maxFreeDelay {
			f.postpone(producer, pending, f.client.wait(server.ID, server.Incarnation))
			return
		}
		if err != nil {
			events.FreeResultsFailed.Log(context.Background(), f.logger, slog.String("server", server.ID), slog.Int("results", len(pending.results)), slog.Any("error", err))
			return
		}
	}
	for _, onFreed := range pending.onFreed {
		onFreed()
	}
}

// postpone has results freed later, together with those that are to be freed by then.
func (f *ResultFreer) postpone(producer stagework.Producer, postponed *pendingFree, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending := f.pending[producer]
	if pending == nil {
		f.pending[producer] = postponed
		time.AfterFunc(max(wait, freeCallDelay), func() { f.flush(producer) })
		return
	}
	pending.results = append(postponed.results, pending.results...)
	pending.onFreed = append(postponed.onFreed, pending.onFreed...)
	pending.since = postponed.since
}

func (f *ResultFreer) send(server upstream.Server, results []stagework.Result) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeCallTimeout)
	defer cancel()
	request, err := f.protocol.FreeCall(server, stagework.Handles(results))
	if err != nil {
		return err
	}
	answer, err := f.client.Send(ctx, server, request)
	if err != nil {
		return err
	}
	defer answer.Close()
	switch answer.Status {
	case http.StatusOK, http.StatusMisdirectedRequest: // the latter: another server has the address
	default:
		return fmt.Errorf("stage server answered with status %d", answer.Status)
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}
