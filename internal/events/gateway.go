package events

import "log/slog"

// Events of a gateway, 7000 to 7999.
var (
	GatewayStarted   = define(7000, slog.LevelInfo, "gateway started")
	GatewayReady     = define(7001, slog.LevelInfo, "gateway is ready")
	GatewayStopping  = define(7002, slog.LevelInfo, "gateway shutdown started, readiness withdrawn")
	GatewayStopped   = define(7003, slog.LevelInfo, "gateway stopped")
	GatewayCutOff    = define(7004, slog.LevelWarn, "gateway stopped and cut off running requests")
	SettingsReloaded = define(7005, slog.LevelInfo, "settings file was reloaded")
	SettingsInvalid  = define(7006, slog.LevelWarn, "settings file could not be reloaded")
	LogLinesDropped  = define(7007, slog.LevelWarn, "log lines were dropped")

	StoreReachable     = define(7100, slog.LevelInfo, "store is reachable")
	StoreUnreachable   = define(7101, slog.LevelWarn, "store is unreachable")
	ViewChanged        = define(7102, slog.LevelInfo, "view of configuration and backend servers changed")
	StoreEntryRejected = define(7103, slog.LevelWarn, "entry of the store could not be decoded")
	ViewPullFailed     = define(7104, slog.LevelWarn, "view could not be pulled from another instance")
	Registered         = define(7105, slog.LevelInfo, "peer address is registered in the store")
	NotRegistered      = define(7106, slog.LevelWarn, "peer address could not be registered in the store")

	AttemptRefused       = define(7200, slog.LevelInfo, "request refused")
	AttemptSent          = define(7201, slog.LevelInfo, "request sent to a backend server")
	AttemptFailed        = define(7202, slog.LevelInfo, "backend server failed or refused the request")
	AttemptEnded         = define(7203, slog.LevelInfo, "request answered")
	AttemptAborted       = define(7204, slog.LevelWarn, "answer was aborted before it was complete")
	AttemptAbandoned     = define(7205, slog.LevelInfo, "client disconnected before the answer was complete")
	StreamResumed        = define(7206, slog.LevelInfo, "stream is resumed on another backend server")
	StageEnded           = define(7210, slog.LevelInfo, "stage of a request ended")
	StagePeerFailed      = define(7211, slog.LevelWarn, "instance that schedules the calls of a stage did not answer")
	StageCallEnded       = define(7212, slog.LevelInfo, "call to a stage server ended")
	FreeResultsFailed    = define(7213, slog.LevelInfo, "results could not be freed")
	PlacerFailed         = define(7214, slog.LevelWarn, "instance that places prompts did not answer")
	PlacerChanged        = define(7215, slog.LevelInfo, "instance took over the placement of prompts for a service")
	CacheUnknown         = define(7216, slog.LevelInfo, "cached prompt parts of a model server could not be read")
	PlacementShareFailed = define(7217, slog.LevelInfo, "cached prompt parts could not be shared with another region")
	StageHandedBack      = define(7218, slog.LevelInfo, "stopping instance handed a stage back")
	ServerLeaving        = define(7219, slog.LevelInfo, "backend server leaves and gets no new requests")
	ServerPaused         = define(7220, slog.LevelInfo, "backend server asked for a pause and gets no requests until it ends")
	AttemptCutShort      = define(7221, slog.LevelInfo, "request broke off before or at the start of its answer")
)
