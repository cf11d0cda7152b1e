// Package events defines the numbered log events. Every log line of the system
// carries the number of its event; docs/EVENTS.md is the catalogue.
package events

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"github.com/samber/oops"
)

// Event is one type of log line.
type Event struct {
	// ID is the number of the event. Its meaning never changes between releases.
	ID      int
	Level   slog.Level
	Message string
}

// Log writes the event with attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, e.Level) {
		return
	}
	all := []slog.Attr{slog.Int("event", e.ID)}
	for _, attr := range attrs {
		all = append(all, expandError(attr)...)
	}
	logger.LogAttrs(ctx, e.Level, e.Message, all...)
}

// expandError returns an attribute that is an error as its text and, if its chain
// holds an error of an adapter, the code and the context of that one. The stack
// trace is not logged. Other attributes are returned unchanged.
func expandError(attr slog.Attr) []slog.Attr {
	err, ok := attr.Value.Any().(error)
	if !ok {
		return []slog.Attr{attr}
	}
	expanded := []slog.Attr{slog.String(attr.Key, err.Error())}
	failure, ok := oops.AsOops(err)
	if !ok {
		return expanded
	}
	expanded = append(expanded, slog.String("domain", failure.Domain()), slog.Any("code", failure.Code()))
	values := failure.Context()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		expanded = append(expanded, slog.Any(name, values[name]))
	}
	return expanded
}

// registry holds every event by its number.
var registry = map[int]Event{}

// define registers an event. It panics when the number is already in use, which is
// a programming error in this package.
func define(id int, level slog.Level, message string) Event {
	if _, taken := registry[id]; taken {
		panic("events: duplicate event number")
	}
	event := Event{ID: id, Level: level, Message: message}
	registry[id] = event
	return event
}

// All returns every event by its number.
func All() map[int]Event {
	return registry
}
