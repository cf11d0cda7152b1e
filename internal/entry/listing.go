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

// ListFeed reads the platform's list and passes it on. The last list stays in
// use while the platform can't be reached.
type ListFeed struct {
	lister platform.Lister
	logger *slog.Logger

	mu        sync.Mutex
	observers []func([]platform.Member)
}

func newListFeed(lister platform.Lister, logger *slog.Logger) *ListFeed {
	return &ListFeed{lister: lister, logger: logger}
}

// Observe registers a function that gets each list. It is called before the
// feed starts; the list must not be changed.
func (f *ListFeed) Observe(observer func([]platform.Member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observers = append(f.observers, observer)
}

// refresh reads the list once.
func (f *ListFeed) refresh(ctx context.Context) {
	members, err := f.lister.List(ctx)
	if err != nil {
		events.ListUnavailable.Log(ctx, f.logger, slog.Any("error", err))
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, observer := range f.observers {
		observer(members)
	}
}

// runListFeed reads the list at the start and then at each interval.
func runListFeed(lc fx.Lifecycle, f *ListFeed) {
	ctx, cancel := context.WithCancel(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			f.refresh(start)
			go clock.Every(ctx, listInterval, func() { f.refresh(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
