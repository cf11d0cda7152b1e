package entry

import (
	"context"
	"log/slog"
	"sync"

	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/clock"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
)

// InstanceListPoller reads the platform's instance list and passes it to its
// observers. The last list stays in use while the platform cannot be reached.
type InstanceListPoller struct {
	lister platform.Lister
	logger *slog.Logger

	mu        sync.Mutex
	observers []func([]platform.Member)
}

func newInstanceListPoller(lister platform.Lister, logger *slog.Logger) *InstanceListPoller {
	return &InstanceListPoller{lister: lister, logger: logger}
}

// Observe registers a function that receives each list, which it must not change.
// Observe has to be called before the poller starts.
func (p *InstanceListPoller) Observe(observer func([]platform.Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observers = append(p.observers, observer)
}

// refresh reads the list once.
func (p *InstanceListPoller) refresh(ctx context.Context) {
	members, err := p.lister.List(ctx)
	if err != nil {
		events.ListUnavailable.Log(ctx, p.logger, slog.Any("error", err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, observer := range p.observers {
		observer(members)
	}
}

// runInstanceListPoller reads the list at startup and then every listInterval.
func runInstanceListPoller(lc fx.Lifecycle, p *InstanceListPoller) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			p.refresh(start)
			go clock.Every(ctx, listInterval, func() { p.refresh(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
