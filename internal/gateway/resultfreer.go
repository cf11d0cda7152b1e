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
	serverAt func(address string) (upstream.Server, bool)
	logger   *slog.Logger

	mu sync.Mutex
	// pending holds what the next calls free, by the address of the producer.
	pending map[string]*pendingFree
}

// pendingFree holds the results that the next call to one producer frees.
type pendingFree struct {
	results []string
	// onFreed are called once the producer has freed the results.
	onFreed []func()
	// since is when the first of the results was to be freed.
	since time.Time
}

// NewResultFreer returns a ResultFreer that looks up servers by address with serverAt.
func NewResultFreer(protocol Protocol, client *ServerClient, serverAt func(address string) (upstream.Server, bool), logger *slog.Logger) *ResultFreer {
	return &ResultFreer{protocol: protocol, client: client, serverAt: serverAt, logger: logger, pending: map[string]*pendingFree{}}
}

// Free frees results after freeCallDelay. onFreed is called once for each producer with
// the results that it has freed.
func (f *ResultFreer) Free(results []string, onFreed func(freed []string)) {
	byProducer := map[string][]string{}
	for _, result := range results {
		producer := f.protocol.Producer(result)
		byProducer[producer] = append(byProducer[producer], result)
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

func (f *ResultFreer) flush(producer string) {
	f.mu.Lock()
	pending := f.pending[producer]
	delete(f.pending, producer)
	f.mu.Unlock()
	// The results of a server that is no longer registered are gone with it.
	if server, ok := f.serverAt(producer); ok {
		err := f.send(server, pending.results)
		if errors.Is(err, errServerLimited) && time.Since(pending.since) < maxFreeDelay {
			f.postpone(producer, pending, f.client.wait(server.ID))
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
func (f *ResultFreer) postpone(producer string, postponed *pendingFree, wait time.Duration) {
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

func (f *ResultFreer) send(server upstream.Server, results []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeCallTimeout)
	defer cancel()
	request, err := f.protocol.FreeCall(server, results)
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
