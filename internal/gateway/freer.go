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
	// freePause collects results of one producer into one call.
	freePause   = 4 * time.Millisecond
	freeTimeout = 500 * time.Millisecond
)

// Freer gives up results at the servers that hold them. A result whose call fails
// ends with its life.
type Freer struct {
	protocol Protocol
	upstream *upstream.Client
	servers  func(address string) (upstream.Server, bool)
	logger   *slog.Logger

	mu      sync.Mutex
	pending map[string]*freeing
}

// freeing is the results that one producer is about to give up.
type freeing struct {
	results []string
	// done are told once the producer has given them up.
	done []func()
}

// NewFreer returns a Freer that finds servers by their address.
func NewFreer(protocol Protocol, client *upstream.Client, servers func(address string) (upstream.Server, bool), logger *slog.Logger) *Freer {
	return &Freer{protocol: protocol, upstream: client, servers: servers, logger: logger, pending: map[string]*freeing{}}
}

// Free gives up results soon. Done is called for each producer with those that it has
// given up.
func (f *Freer) Free(results []string, done func(freed []string)) {
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
			waiting = &freeing{}
			f.pending[producer] = waiting
			time.AfterFunc(freePause, func() { f.flush(producer) })
		}
		waiting.results = append(waiting.results, own...)
		waiting.done = append(waiting.done, func() { done(own) })
	}
}

func (f *Freer) flush(producer string) {
	f.mu.Lock()
	waiting := f.pending[producer]
	delete(f.pending, producer)
	f.mu.Unlock()
	// Without a server its results are gone with it.
	if server, ok := f.servers(producer); ok {
		if err := f.send(server, waiting.results); err != nil {
			events.FreeFailed.Log(context.Background(), f.logger, slog.String("server", server.ID), slog.Int("results", len(waiting.results)), slog.Any("error", err))
			return
		}
	}
	for _, done := range waiting.done {
		done()
	}
}

func (f *Freer) send(server upstream.Server, results []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
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
