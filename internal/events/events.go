// Package events defines the numbered log events. Every log line of the system
// carries the number of its event; docs/EVENTS.md is the catalogue.
package events

import (
	"context"
	"log/slog"
)

// Event is one kind of log line.
type Event struct {
	// ID never changes its meaning between releases.
	ID      int
	Level   slog.Level
	Message string
}

// Log writes the event with attributes.
func (e Event) Log(ctx context.Context, logger *slog.Logger, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, e.Level) {
		return
	}
	all := append([]slog.Attr{slog.Int("event", e.ID)}, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Message, all...)
}

// registry holds every event by its number.
var registry = map[int]Event{}

// define registers an event. It panics when the number is taken, which is a
// mistake in this package.
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
