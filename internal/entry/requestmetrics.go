package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// stageBuckets are the bucket bounds of the stage latency histogram.
var stageBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Limits of the link byte counters. Each counter takes about 2 KB, so one for each
// stage and organisation would exceed an instance's memory for control work.
// Organisations beyond the limit are counted together.
const (
	maxLinkCounters    = 2000
	otherOrganisations = "other"
)

// RequestMetrics reports metrics of requests and their stages. Tagged metrics are
// cached, because looking one up in its scope allocates.
type RequestMetrics struct {
	scope                             tally.Scope
	region                            string
	retries, resumes, hedges, dropped tally.Counter
	taggedMetrics                     sync.Map
	linkCounters                      atomic.Int64
}

// Keys of RequestMetrics.taggedMetrics.
type (
	requestKey struct {
		pipeline, kind string
		outcome        Outcome
	}
	stageKey struct {
		pool, stage string
		failed      bool
	}
	linkKey struct{ stage, organisation string }
)

// NewRequestMetrics returns the metrics of an instance in a region.
func NewRequestMetrics(scope tally.Scope, region string) *RequestMetrics {
	return &RequestMetrics{
		scope:   scope,
		region:  region,
		retries: scope.Counter("stage_retries"),
		resumes: scope.Counter("stage_resumes"),
		hedges:  scope.Counter("stage_hedges"),
		dropped: scope.Counter("dropped_answers"),
	}
}

func discardMetrics() *RequestMetrics {
	return NewRequestMetrics(tally.NoopScope, "")
}

// countRequest counts a finished request by its outcome.
func (m *RequestMetrics) countRequest(request *Request, outcome Outcome) {
	key := requestKey{request.Pipeline.Name, request.Kind.Name, outcome}
	metric, ok := m.taggedMetrics.Load(key)
	if !ok {
		tags := map[string]string{"pipeline": key.pipeline, "kind": key.kind, "outcome": string(outcome)}
		metric, _ = m.taggedMetrics.LoadOrStore(key, m.scope.Tagged(tags).Counter("requests"))
	}
	metric.(tally.Counter).Inc(1)
}

// countRejected counts a request that failed validation by its HTTP status. Such a
// request may have no kind or body.
func (m *RequestMetrics) countRejected(status int) {
	metric, ok := m.taggedMetrics.Load(status)
	if !ok {
		tags := map[string]string{"status": strconv.Itoa(status)}
		metric, _ = m.taggedMetrics.LoadOrStore(status, m.scope.Tagged(tags).Counter("rejected_requests"))
	}
	metric.(tally.Counter).Inc(1)
}

// recordStage records the duration of a stage, including all its attempts.
func (m *RequestMetrics) recordStage(stage *pipeline.Stage, took time.Duration, err error) {
	key := stageKey{stage.Pool, stage.Name, err != nil}
	metric, ok := m.taggedMetrics.Load(key)
	if !ok {
		result := "completed"
		if key.failed {
			result = "failed"
		}
		tags := map[string]string{"pool": key.pool, "stage": key.stage, "result": result}
		metric, _ = m.taggedMetrics.LoadOrStore(key, m.scope.Tagged(tags).Histogram("stage_seconds", stageBuckets))
	}
	metric.(tally.Histogram).RecordDuration(took)
}

// countLinkBytes counts the bytes of a call that crossed the link between regions.
func (m *RequestMetrics) countLinkBytes(server backend.Server, stage, organisation string, bytes int64) {
	if server.Region == m.region {
		return
	}
	key := linkKey{stage, organisation}
	metric, ok := m.taggedMetrics.Load(key)
	if !ok && m.linkCounters.Load() >= maxLinkCounters {
		key.organisation = otherOrganisations
		metric, ok = m.taggedMetrics.Load(key)
	}
	if !ok {
		m.linkCounters.Add(1)
		tags := map[string]string{"stage": stage, "organisation": key.organisation}
		metric, _ = m.taggedMetrics.LoadOrStore(key, m.scope.Tagged(tags).Counter("link_bytes"))
	}
	metric.(tally.Counter).Inc(bytes)
}
