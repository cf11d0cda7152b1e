package events

import "log/slog"

// Events of load balancing and admission, 4000 to 4999.
var (
	ServerDraining = define(4000, slog.LevelInfo, "backend server is draining and gets no new requests")
	LoadUnreadable = define(4001, slog.LevelDebug, "load report could not be read")
	RequestRefused = define(4100, slog.LevelDebug, "request was refused before it ran")
)
