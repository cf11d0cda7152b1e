package events

import "log/slog"

// Events of claims, jobs and the store, 2000 to 2999.
var (
	ClaimsUnrecorded = define(2000, slog.LevelWarn, "outcomes of claims are not recorded yet and are retried")

	JobLeaseAcquired = define(2100, slog.LevelInfo, "lease for durable jobs was acquired")
	JobLeaseLost     = define(2101, slog.LevelWarn, "lease for durable jobs was lost, running jobs stop")
	JobTakenOver     = define(2102, slog.LevelInfo, "job of an instance without a lease was taken over")
	JobStopped       = define(2103, slog.LevelWarn, "job stopped because its record has another holder")
	JobScanFailed    = define(2105, slog.LevelWarn, "job records could not be scanned")
	JobRecordError   = define(2106, slog.LevelWarn, "job record could not be written or read")
)
