package events

import "log/slog"

// Events of orders to model engines, 5000 to 5999.
var (
	LeadershipAcquired     = define(5000, slog.LevelInfo, "instance became the leader of its failure domain")
	LeadershipLost         = define(5001, slog.LevelInfo, "instance is no longer the leader of its failure domain")
	OrderSent              = define(5100, slog.LevelInfo, "order sent to an engine")
	OrderFailed            = define(5101, slog.LevelWarn, "order to an engine failed")
	EngineStateUnavailable = define(5102, slog.LevelWarn, "state of an engine could not be read")
)
