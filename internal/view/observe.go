package view

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

// syncMetrics are the metrics of a Sync.
type syncMetrics struct {
	pulls, reads, hedges, failures, rejected tally.Counter
	// bytes counts the values that were transferred.
	bytes    tally.Counter
	duration tally.Histogram
	// version, known and configuration are the store's revision of the view, the highest
	// one that is known to exist, and the version of the configuration in force.
	version, known, configuration tally.Gauge
	// stateAge is the time in seconds since the store was known to have nothing newer.
	stateAge tally.Gauge
}

func newSyncMetrics(scope tally.Scope) syncMetrics {
	return syncMetrics{
		pulls: scope.Counter("view_pulls"), reads: scope.Counter("view_store_reads"), hedges: scope.Counter("view_store_reads_repeated"),
		failures: scope.Counter("view_transfers_failed"), rejected: scope.Counter("store_entries_rejected"),
		bytes:    scope.Counter("view_bytes_received"),
		duration: scope.Histogram("view_transfer_seconds", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)),
		version:  scope.Gauge("view_revision"), known: scope.Gauge("view_known_revision"),
		configuration: scope.Gauge("configuration_version"), stateAge: scope.Gauge("view_state_age_seconds"),
	}
}

func (m syncMetrics) recordView(v *View) {
	m.version.Update(float64(v.Version.Revision()))
	if v.Table != nil {
		m.configuration.Update(float64(v.Table.Version))
	}
}

const (
	// minLoggedBytes and minLoggedTime are the size and the duration from which a transfer
	// is logged.
	minLoggedBytes = 64 << 10
	minLoggedTime  = 300 * time.Millisecond
	// maxUnloggedLag is how long the view may be behind a known version without a log line.
	maxUnloggedLag = time.Second
)

// transfer is one call that may return many bytes of the store's entries.
type transfer struct {
	sync      *Sync
	operation string
	// address is that of the peer, empty for the store.
	address string
	started time.Time
}

func (s *Sync) beginTransfer(operation, address string) transfer {
	return transfer{s, operation, address, time.Now()}
}

// end records the entries that a transfer returned, or its error.
func (t transfer) end(ctx context.Context, entries []store.Entry, err error) {
	took := time.Since(t.started)
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	m := t.sync.metrics
	m.bytes.Inc(int64(size))
	m.duration.RecordDuration(took)
	interrupted := errors.Is(err, errBecameReader) || errors.Is(err, errSuperseded)
	failed := err != nil && ctx.Err() == nil && !errors.Is(err, ErrPeerBusy) && !interrupted
	if failed {
		m.failures.Inc(1)
	}
	// A watch without changes lasts as long as it waits.
	if size < minLoggedBytes && !failed && (took < minLoggedTime || t.operation == "watch") {
		return
	}
	attrs := []slog.Attr{slog.String("operation", t.operation), slog.String("address", t.address),
		slog.Int("bytes", size), slog.Int64("took_ms", took.Milliseconds())}
	if err != nil {
		attrs = append(attrs, slog.Any("error", err))
	}
	events.ViewTransferred.Log(ctx, t.sync.logger, attrs...)
}

// loggedCondition is a condition of which the log says when it begins and ends.
type loggedCondition struct{ holds bool }

// log logs the event begin or end if the condition has changed.
func (l *loggedCondition) log(logger *slog.Logger, holds bool, begin, end events.Event, attrs ...slog.Attr) {
	if holds == l.holds {
		return
	}
	l.holds = holds
	event := end
	if holds {
		event = begin
	}
	event.Log(context.Background(), logger, attrs...)
}

// observeLag records how far the view is behind the highest version that peers announced.
func (s *Sync) observeLag(now time.Time) {
	s.mu.Lock()
	position, announced, since, by := s.state.Position(), s.announced, s.announcedAt, s.announcedBy
	s.mu.Unlock()
	s.metrics.known.Update(float64(max(position, announced).Revision()))
	behind := position > 0 && announced > position && now.Sub(since) > maxUnloggedLag
	s.behind.log(s.logger, behind, events.ViewBehind, events.ViewCaughtUp, slog.Int64("version", position.Revision()),
		slog.Int64("known", announced.Revision()), slog.String("address", by), slog.Int64("since_ms", now.Sub(since).Milliseconds()))
}

// maxUnloggedStateAge is how old the known state of the store may be without a log line.
const maxUnloggedStateAge = 1800 * time.Millisecond

// Basis is what the view is based on.
type Basis struct {
	// Version is the store's version up to which all changes are applied, and Known the
	// highest one that another instance announced.
	Version, Known store.Version
	// StateAge is the time since the store is known to have had nothing newer than Known, and
	// ConfirmedBy the address of the instance that said so, empty for this one.
	StateAge    time.Duration
	ConfirmedBy string
}

// Basis returns what the view is based on.
func (s *Sync) Basis(now time.Time) Basis {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := s.state.Position()
	return Basis{Version: position, Known: max(position, s.announced), StateAge: now.Sub(s.stateAsOf), ConfirmedBy: s.confirmedBy}
}

// observeStateAge records how old the state of the store is that the view is based on.
func (s *Sync) observeStateAge(now time.Time) {
	basis := s.Basis(now)
	if basis.Version == 0 {
		return
	}
	s.metrics.stateAge.Update(basis.StateAge.Seconds())
	old := basis.StateAge > maxUnloggedStateAge
	s.old.log(s.logger, old, events.ViewStateOld, events.ViewStateFresh, slog.Int64("version", basis.Version.Revision()), slog.Int64("known", basis.Known.Revision()),
		slog.Int64("state_age_ms", basis.StateAge.Milliseconds()), slog.String("confirmed_by", basis.ConfirmedBy))
}

func (s *Sync) logChange(change Change, next *View, fromStore bool) {
	s.logRejected(change)
	attrs := []slog.Attr{slog.Int64("version", next.Version.Revision()), slog.Int64("generation", next.Version.Generation()), slog.Bool("from_store", fromStore)}
	if next.Table != nil {
		attrs = append(attrs, slog.Int64("configuration", next.Table.Version))
	}
	attrs = append(attrs, slog.Bool("new_configuration", change.Configuration),
		slog.Bool("store_restored", change.Restored), slog.Int("quarantines", len(next.Quarantines)),
		serversAttr("joined", change.Joined), serversAttr("drained", change.Drained), serversAttr("left", change.Left),
		slog.Any("evacuated", next.Evacuated))
	events.ViewChanged.Log(context.Background(), s.logger, attrs...)
}

// maxLoggedServers bounds the IDs of servers in one log line: the first view adds all
// servers of the deployment.
const maxLoggedServers = 20

// serversAttr returns an attribute with the IDs of servers, or with their number when
// there are more than maxLoggedServers.
func serversAttr(name string, ids []string) slog.Attr {
	if len(ids) > maxLoggedServers {
		return slog.Int(name, len(ids))
	}
	return slog.Any(name, ids)
}

func (s *Sync) logRejected(change Change) {
	for _, r := range change.Rejected {
		s.metrics.rejected.Inc(1)
		events.StoreEntryRejected.Log(context.Background(), s.logger, slog.String("key", r.Key), slog.Any("error", r.Error))
	}
}
