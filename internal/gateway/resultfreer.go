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
	// freeCallDelay collects results of one producer into one call.
	freeCallDelay   = 4 * time.Millisecond
	freeCallTimeout = 500 * time.Millisecond
)

// ResultFreer gives up results at the servers that hold them. A result whose call fails
// ends with its life.
type ResultFreer struct {
	protocol Protocol
	upstream *upstream.Client
	serverAt func(address string) (upstream.Server, bool)
	logger   *slog.Logger

	mu      sync.Mutex
	pending map[string]*pendingFree
}

// pendingFree is the results that one producer is about to give up.
type pendingFree struct {
	results []string
	// onFreed are told once the producer has given them up.
	onFreed []func()
}

// NewResultFreer returns a Freer that finds servers by their address.
func NewResultFreer(protocol Protocol, client *upstream.Client, servers func(address string) (upstream.Server, bool), logger *slog.Logger) *ResultFreer {
	return &ResultFreer{protocol: protocol, upstream: client, serverAt: servers, logger: logger, pending: map[string]*pendingFree{}}
}

// Free gives up results soon. Done is called for each producer with those that it has
// given up.
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
	// Without a server its results are gone with it.
	if server, ok := f.serverAt(producer); ok {
		if err := f.send(server, waiting.results); err != nil {
			events.FreeFailed.Log(context.Background(), f.logger, slog.String("server", server.ID), slog.Int("results", len(waiting.results)), slog.Any("error", err))
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
