package gateway

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/regions"
	"github.com/coltsfootdrift/coltsfootdrift/route"
)

// RegionBindings shows operators which routes and organisations may be served in some regions
// only.
type RegionBindings struct {
	logger *slog.Logger

	mu      sync.Mutex
	current []RegionBinding
}

// RegionBinding is one route or organisation with the regions in which it may be served.
type RegionBinding struct {
	// Kind is "route" or "organisation".
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Regions []string `json:"regions"`
}

// NewRegionBindings returns bindings that are empty until the first view.
func NewRegionBindings(logger *slog.Logger) *RegionBindings { return &RegionBindings{logger: logger} }

// ObserveView records the bindings of a view, and logs them when they have changed.
func (b *RegionBindings) ObserveView(v *view.View) {
	if v.Table == nil {
		return
	}
	next := bindingsOf(&v.Table.Configuration)
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.EqualFunc(b.current, next, RegionBinding.equal) {
		return
	}
	b.current = next
	invalid := slices.ContainsFunc(next, func(r RegionBinding) bool { return slices.Contains(r.Regions, regions.InvalidList) })
	events.RegionsBound.Log(context.Background(), b.logger, slog.Int64("configuration", v.Table.Version), slog.Any("bound", next), slog.Bool("invalid", invalid))
}

// List returns the bindings in force.
func (b *RegionBindings) List() []RegionBinding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

func (r RegionBinding) equal(other RegionBinding) bool {
	return r.Kind == other.Kind && r.Name == other.Name && slices.Equal(r.Regions, other.Regions)
}

func bindingsOf(c *route.Configuration) []RegionBinding {
	bindings := []RegionBinding{}
	for _, r := range c.Routes {
		if len(r.AllowedRegions) > 0 {
			bindings = append(bindings, RegionBinding{"route", r.Name, r.AllowedRegions})
		}
	}
	for _, o := range c.Organisations {
		if len(o.AllowedRegions) > 0 {
			bindings = append(bindings, RegionBinding{"organisation", o.Name, o.AllowedRegions})
		}
	}
	return bindings
}
