package events

import "log/slog"

// Events of an entry instance, 1000 to 1999.
var (
	EntryStarted     = define(1000, slog.LevelInfo, "entry instance started")
	EntryReady       = define(1001, slog.LevelInfo, "entry instance is ready")
	EntryStopping    = define(1002, slog.LevelInfo, "shutdown started, readiness withdrawn")
	EntryStopped     = define(1003, slog.LevelInfo, "entry instance stopped")
	EntryCutOff      = define(1004, slog.LevelError, "shutdown ended early and cut off requests")
	StopStepFailed   = define(1005, slog.LevelError, "a step of the shutdown failed")
	ServeFailed      = define(1006, slog.LevelError, "a listener failed")
	RequestFinished  = define(1100, slog.LevelDebug, "request finished")
	StageRetried     = define(1101, slog.LevelInfo, "stage failed and is retried on another backend server")
	ClaimNotRecorded = define(1102, slog.LevelError, "outcome of a claimed request could not be recorded")
	ListUnavailable  = define(1200, slog.LevelWarn, "instance list could not be read")
)
