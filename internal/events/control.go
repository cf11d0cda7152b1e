package events

import "log/slog"

// Events of configuration and membership, 3000 to 3999.
var (
	ConfigurationInForce     = define(3000, slog.LevelInfo, "configuration revision is in force")
	ConfigurationFromFiles   = define(3001, slog.LevelInfo, "store holds no configuration, the pipeline files of the settings are used")
	ConfigurationUnavailable = define(3002, slog.LevelWarn, "configuration could not be read, instance is not ready")
	ConfigurationRefused     = define(3003, slog.LevelWarn, "configuration was refused")
	ConfigurationPullFailed  = define(3004, slog.LevelInfo, "configuration could not be pulled from a peer")
	WatchFailed              = define(3010, slog.LevelWarn, "watch of the configuration failed")
	WatchStarted             = define(3011, slog.LevelInfo, "instance watches the configuration for its failure domain")
	WatchStopped             = define(3012, slog.LevelInfo, "another instance watches the configuration for the failure domain")
	MemberChanged            = define(3100, slog.LevelInfo, "state of a member changed")
	IsolationChanged         = define(3102, slog.LevelWarn, "instance receives nothing from the other members, or does again")
	HeartbeatDropped         = define(3101, slog.LevelDebug, "heartbeat was dropped")
)
