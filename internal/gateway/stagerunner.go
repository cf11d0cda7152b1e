package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// assumedPieces is the number of pieces that is assumed for a stage without
	// measurements.
	assumedPieces = 6
	// queueStateMaxAge is how long the reported state of a queue is used.
	queueStateMaxAge = time.Second
	// peerFreeDelay is how long the results to free are collected for one call to the
	// owner of their service, which then collects them again for freeCallDelay.
	peerFreeDelay = 3 * time.Millisecond
)

// RefusedError reports a stage that was refused.
type RefusedError struct {
	Stage  int
	Reason stagework.Refusal
	// Wait is how long a new piece waits in the queue of the stage's service.
	Wait time.Duration
	// Hopeless is true when no capacity is expected before the client's deadline.
	Hopeless bool
	// AtOnce is true when no stage was begun. Wait then is the time after which the client
	// may return.
	AtOnce bool
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("stage %d was refused: %s", e.Stage, e.Reason)
}

// StageRunner runs the stages of requests. It sends each stage to the instance that
// owns the stage's service.
type StageRunner struct {
	cluster    *Cluster
	peerClient *peer.Client
	scheduler  *StageScheduler
	logger     *slog.Logger

	stageTimes *movingAverages
	metrics    chainMetrics
	// random returns a number in [0, 1).
	random func() float64

	mu sync.Mutex
	// pendingFrees holds the results that the next call to the owner frees, by the service
	// and the region in which they were produced; the region is empty for the own one.
	pendingFrees map[regionKey][]stagework.Result
	// queueStates holds the last reported state of the queue of each service, by the region of
	// its owner; the region is empty for the own one.
	queueStates map[regionKey]queueState
}

// queueState is the state of the queue of a service at a point in time.
type queueState struct {
	waits stagework.Waits
	// memoryShort is true when memory for results limited the calls.
	memoryShort bool
	reportedAt  time.Time
}

// NewStageRunner returns a StageRunner that uses the local scheduler and, through
// peerClient, those of peers.
func NewStageRunner(cluster *Cluster, peerClient *peer.Client, local *StageScheduler, logger *slog.Logger, scope tally.Scope) *StageRunner {
	return &StageRunner{cluster: cluster, peerClient: peerClient, scheduler: local, logger: logger, stageTimes: newMovingAverages(), metrics: newChainMetrics(scope), random: rand.Float64, pendingFrees: map[regionKey][]stagework.Result{}, queueStates: map[regionKey]queueState{}}
}

// TypicalTime returns the mean duration of a stage of a service, or the duration by the
// last state of its queue when that is longer: a burst fills the queue before the mean
// follows. For a queue that orders by priority, its last state alone counts: most of what raises
// the mean are jobs that can't be on time and wait behind those that can.
func (s *StageRunner) TypicalTime(table *route.Table, owner regionKey, priority int) time.Duration {
	service := owner.key
	var call time.Duration
	if configured := table.Service(service); configured != nil && configured.StageProfile != nil {
		call = configured.StageProfile.CallDuration(min(assumedPieces, configured.StageProfile.Batch))
	}
	typical := s.stageTimes.mean(service)
	if typical == 0 {
		typical = call
	}
	s.mu.Lock()
	queue := s.queueStates[owner]
	s.mu.Unlock()
	switch {
	case time.Since(queue.reportedAt) >= queueStateMaxAge:
	case len(queue.waits.Levels) > 0:
		typical = queue.waits.OnTime(priority) + max(call, queue.waits.Call) + stageOverhead
	default:
		typical = max(typical, queue.waits.All+call)
	}
	return typical
}

// recordQueueState records the queue state in a response of the owner of a service.
func (s *StageRunner) recordQueueState(owner regionKey, response *peerpb.RunStageResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueStates[owner] = queueState{decodeWaits(response), response.RoomShort, time.Now()}
}

// resultMemoryShort reports whether memory for the results of a service was short lately.
func (s *StageRunner) resultMemoryShort(owner regionKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queueStates[owner]
	return queue.memoryShort && time.Since(queue.reportedAt) < queueStateMaxAge
}

// Free frees results of a service after peerFreeDelay. ranIn holds the regions other than the
// own one in which stages ran, by service.
func (s *StageRunner) Free(ranIn map[string]string, service string, results []stagework.Result) {
	if len(results) == 0 {
		return
	}
	key := regionKey{ranIn[service], service}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingFrees[key]) == 0 {
		time.AfterFunc(peerFreeDelay, func() { s.flushFrees(key) })
	}
	s.pendingFrees[key] = append(s.pendingFrees[key], results...)
}

// FreeAll frees results, listed by the service that produced them, after
// peerFreeDelay.
func (s *StageRunner) FreeAll(ranIn map[string]string, results map[string][]stagework.Result) {
	for service, produced := range results {
		s.Free(ranIn, service, produced)
	}
}

// flushFrees sends the pending results of a service to the instance that owns it, which
// frees them and accounts for result memory. When that fails, this instance frees them.
func (s *StageRunner) flushFrees(key regionKey) {
	s.mu.Lock()
	request := &peerpb.FreeResultsRequest{Service: key.key, Results: encodeResults(s.pendingFrees[key])}
	delete(s.pendingFrees, key)
	s.mu.Unlock()
	address := s.freeingOwner(key)
	if address == "" {
		s.scheduler.FreeResults(request)
		return
	}
	if err := s.peerClient.FreeResults(context.Background(), address, request); err != nil {
		s.avoidOwner(key, address)
		s.scheduler.FreeResults(request)
	}
}
