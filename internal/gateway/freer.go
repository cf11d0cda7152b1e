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
	pending map[string][]string
}

// NewFreer returns a Freer that finds servers by their address.
func NewFreer(protocol Protocol, client *upstream.Client, servers func(address string) (upstream.Server, bool), logger *slog.Logger) *Freer {
	return &Freer{protocol: protocol, upstream: client, servers: servers, logger: logger, pending: map[string][]string{}}
}

// Free gives up results soon.
func (f *Freer) Free(results []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, result := range results {
		producer := f.protocol.Producer(result)
		if len(f.pending[producer]) == 0 {
			time.AfterFunc(freePause, func() { f.flush(producer) })
		}
		f.pending[producer] = append(f.pending[producer], result)
	}
}

func (f *Freer) flush(producer string) {
	f.mu.Lock()
	results := f.pending[producer]
	delete(f.pending, producer)
	f.mu.Unlock()
	server, ok := f.servers(producer)
	if !ok {
		return // its results are gone with it
	}
	if err := f.send(server, results); err != nil {
		events.FreeFailed.Log(context.Background(), f.logger, slog.String("server", server.ID), slog.Int("results", len(results)), slog.Any("error", err))
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
