package gateway

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/upstream"
)

const (
	// freeCallDelay is how long results of one producer are collected for one call.
	freeCallDelay   = 4 * time.Millisecond
	freeCallTimeout = 500 * time.Millisecond
)

// ResultFreer frees results at the servers that hold them. A result whose call fails
// stays until its time to live ends.
type ResultFreer struct {
	protocol Protocol
	upstream *upstream.Client
	serverAt func(address string) (upstream.Server, bool)
	logger   *slog.Logger

	mu      sync.Mutex
	pending map[string]*pendingFree
}

// pendingFree holds the results that the next call to one producer frees.
type pendingFree struct {
	results []string
	// onFreed are called once the producer has freed the results.
	onFreed []func()
}

// NewResultFreer returns a ResultFreer that looks up servers by address in servers.
func NewResultFreer(protocol Protocol, client *upstream.Client, servers func(address string) (upstream.Server, bool), logger *slog.Logger) *ResultFreer {
	return &ResultFreer{protocol: protocol, upstream: client, serverAt: servers, logger: logger, pending: map[string]*pendingFree{}}
}

// Free frees results after freeCallDelay. Done is called once for each producer with
// the results that it has freed.
func (f *ResultFreer) Free(results []string, done func(freed []string)) {
	byProducer := map[string][]string{}
	for _, result := range results {
		producer := f.protocol.Producer(result)
		byProducer[producer] = append(byProducer[producer], result)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for producer, own := range byProducer {
		waiting := f.pending[producer]
		if waiting == nil {
			waiting = &pendingFree{}
			f.pending[producer] = waiting
			time.AfterFunc(freeCallDelay, func() { f.flush(producer) })
		}
		waiting.results = append(waiting.results, own...)
		waiting.onFreed = append(waiting.onFreed, func() { done(own) })
	}
}

func (f *ResultFreer) flush(producer string) {
	f.mu.Lock()
	waiting := f.pending[producer]
	delete(f.pending, producer)
	f.mu.Unlock()
	// The results of a server that is no longer registered are gone with it.
	if server, ok := f.serverAt(producer); ok {
		if err := f.send(server, waiting.results); err != nil {
			events.FreeResultsFailed.Log(context.Background(), f.logger, slog.String("server", server.ID), slog.Int("results", len(waiting.results)), slog.Any("error", err))
			return
		}
	}
	for _, done := range waiting.onFreed {
		done()
	}
}

func (f *ResultFreer) send(server upstream.Server, results []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeCallTimeout)
	defer cancel()
	request, err := f.protocol.FreeCall(server, results)
	if err != nil {
		return err
	}
	answer, err := f.upstream.Send(ctx, server, request)
	if err != nil {
		return err
	}
	defer answer.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}
