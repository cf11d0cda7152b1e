package gateway

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/engine"
	"github.com/coltsfootdrift/coltsfootdrift/internal/events"
	"github.com/coltsfootdrift/coltsfootdrift/internal/view"
	"github.com/coltsfootdrift/coltsfootdrift/quarantine"
)

// maxPendingAnswered bounds the answered parts that wait for the next call to the instance
// that places the prompts of a service. Further ones are dropped.
const maxPendingAnswered = 512

// Quarantines holds what this instance knows of the prompt parts under which model servers
// end. At the instance that places the prompts of a service, that is what all instances of
// the region report.
type Quarantines struct {
	logger  *slog.Logger
	metrics quarantineMetrics

	mu       sync.Mutex
	trackers map[string]*quarantine.Tracker
	// recorded holds the quarantines in the store as of the last view, by ID.
	recorded map[string]recordedQuarantine
	// answered holds the parts that the next call reports as answered, by service.
	answered map[string]map[string]struct{}
	// writtenAt holds, by ID, when a quarantine was last written to the store.
	writtenAt map[string]time.Time
}

type quarantineMetrics struct {
	refused, trials, crashes tally.Counter
	active                   tally.Gauge
}

// NewQuarantines returns Quarantines without suspects.
func NewQuarantines(logger *slog.Logger, scope tally.Scope) *Quarantines {
	return &Quarantines{
		logger: logger,
		metrics: quarantineMetrics{
			refused: scope.Counter("requests_quarantined"), trials: scope.Counter("requests_on_trial"),
			crashes: scope.Counter("server_crashes"), active: scope.Gauge("quarantines"),
		},
		trackers: map[string]*quarantine.Tracker{}, recorded: map[string]recordedQuarantine{},
		answered: map[string]map[string]struct{}{}, writtenAt: map[string]time.Time{},
	}
}

// tracker returns the tracker of a service. It is called with the lock held.
func (q *Quarantines) tracker(service string) *quarantine.Tracker {
	t := q.trackers[service]
	if t == nil {
		t = quarantine.NewTracker()
		q.trackers[service] = t
	}
	return t
}

// beginWarmUp records that this instance has begun to place the prompts of a service.
func (q *Quarantines) beginWarmUp(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker(service).BeginWarmUp(time.Now())
}

// Check returns whether a request with a prompt is refused.
func (q *Quarantines) Check(service string, prompt []engine.Part) quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker(service).Check(time.Now(), partIDs(prompt))
}

// admit decides on a request that is about to be placed.
func (q *Quarantines) admit(request, service string, prompt []engine.Part) quarantine.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.tracker(service).Admit(time.Now(), request, partIDs(prompt))
	if decision.Verdict == quarantine.OnTrial {
		q.metrics.trials.Inc(1)
	}
	return decision
}

// withdraw ends the trial of a request for which there is no server.
func (q *Quarantines) withdraw(request, service string, prompt []engine.Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker(service).Withdraw(request, partIDs(prompt))
}

// hold has requests with the parts of one wait, because its server may have ended.
func (q *Quarantines) hold(service, request string, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker(service).Hold(time.Now(), request, parts)
}

// recordAnswered records parts of prompts whose answers went on beyond their start.
func (q *Quarantines) recordAnswered(service string, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker(service).Answered(time.Now(), parts)
}

// queueAnswered keeps parts for the next call to the instance that places the prompts.
func (q *Quarantines) queueAnswered(service string, parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.answered[service]
	if pending == nil {
		pending = map[string]struct{}{}
		q.answered[service] = pending
	}
	for _, part := range parts {
		if len(pending) < maxPendingAnswered {
			pending[part] = struct{}{}
		}
	}
}

// takeAnswered returns the parts that the next call reports, and forgets them.
func (q *Quarantines) takeAnswered(service string) (parts []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for part := range q.answered[service] {
		parts = append(parts, part)
	}
	delete(q.answered, service)
	return parts
}

// recordCrash records the end of a server under a request.
func (q *Quarantines) recordCrash(service string, crash quarantine.Crash) {
	q.mu.Lock()
	began := q.tracker(service).Crashed(time.Now(), crash)
	q.mu.Unlock()
	if began != nil {
		events.QuarantineBegan.Log(context.Background(), q.logger, slog.String("service", service), slog.String("quarantine", began.ID),
			slog.Any("parts", began.Parts), slog.Int("crashes", began.Crashes), slog.Int64("lasts_ms", quarantine.Lifetime.Milliseconds()))
	}
}

// records returns the quarantines of a service.
func (q *Quarantines) records(service string) []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker(service).Records(time.Now())
}

// merge adopts the quarantines that another region knows.
func (q *Quarantines) merge(service string, records []quarantine.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker(service).Merge(time.Now(), records)
}

// ObserveView adopts the quarantines that are recorded in the store.
func (q *Quarantines) ObserveView(v *view.View) {
	recorded := map[string]recordedQuarantine{}
	for _, e := range v.Quarantines {
		r, err := decodeQuarantine(e)
		if err != nil {
			events.StoreEntryRejected.Log(context.Background(), q.logger, slog.String("key", e.Key), slog.Any("error", err))
			continue
		}
		recorded[r.ID] = r
	}
	q.mu.Lock()
	known := q.recorded
	q.recorded = recorded
	byService := q.recordedByService()
	for service, records := range byService {
		q.tracker(service).Merge(time.Now(), records)
	}
	q.metrics.active.Update(float64(len(recorded)))
	q.mu.Unlock()
	q.logChanges(known, recorded)
}

// recordedByService returns the recorded quarantines by service. It is called with the lock
// held.
func (q *Quarantines) recordedByService() map[string][]quarantine.Record {
	byService := map[string][]quarantine.Record{}
	for _, r := range q.recorded {
		byService[r.Service] = append(byService[r.Service], r.Record)
	}
	return byService
}

// logChanges logs which recorded quarantines are new, narrowed, lifted or gone.
func (q *Quarantines) logChanges(known, recorded map[string]recordedQuarantine) {
	for id, r := range recorded {
		if old, ok := known[id]; ok && old.Equal(r.Record) {
			continue
		}
		events.QuarantineChanged.Log(context.Background(), q.logger, slog.String("service", r.Service), slog.String("quarantine", id),
			slog.Any("parts", r.Parts), slog.Bool("lifted", r.Lifted), slog.String("author", r.Author), slog.String("reason", r.Reason))
	}
	for id, r := range known {
		if _, ok := recorded[id]; !ok {
			events.QuarantineEnded.Log(context.Background(), q.logger, slog.String("service", r.Service), slog.String("quarantine", id))
		}
	}
}

// maxPartIDBytes is the length from which the ID of a part is replaced by a digest.
const maxPartIDBytes = 64

// partIDs returns the IDs of the parts of a prompt as quarantines have them: those of the
// first quarantine.MaxParts, and digests of long ones.
func partIDs(prompt []engine.Part) []string {
	ids := make([]string, min(len(prompt), quarantine.MaxParts))
	for i := range ids {
		ids[i] = prompt[i].ID
		if len(ids[i]) > maxPartIDBytes {
			ids[i] = "xxhash64:" + strconv.FormatUint(xxhash.Sum64String(ids[i]), 16)
		}
	}
	return ids
}

// sharedPartIDs returns the IDs of the parts of a prompt that other requests may have too.
func sharedPartIDs(prompt []engine.Part) []string {
	return partIDs(prompt[:max(0, len(prompt)-1)])
}
