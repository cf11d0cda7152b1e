package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/peer"
	"github.com/coltsfootdrift/coltsfootdrift/internal/peer/peerpb"
	"github.com/coltsfootdrift/coltsfootdrift/route"
	"github.com/coltsfootdrift/coltsfootdrift/stagework"
)

const (
	// assumedPieces is the number of pieces that a stage without measurements is
	// taken to have.
	assumedPieces = 6
	// queueStateMaxAge is how long the state that a queue told is believed.
	queueStateMaxAge = time.Second
	// peerFreeDelay collects the results that a request gives up.
	peerFreeDelay = 3 * time.Millisecond
)

// RefusedError reports a stage that was not run to its end.
type RefusedError struct {
	Stage  int
	Reason stagework.Refusal
	// Wait is how long a new piece waits.
	Wait time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("stage %d was refused: %s", e.Stage, e.Reason)
}

// StageRunner runs the stages of requests.
type StageRunner struct {
	cluster   *Cluster
	client    *peer.Client
	scheduler *StageScheduler
	logger    *slog.Logger

	stageTimes *movingAverages

	mu           sync.Mutex
	pendingFrees map[string][]string
	// queueStates holds what the instances that form calls last told of their queues.
	queueStates map[string]queueState
}

// queueState is how long a new piece of a service waited at a time, and whether
// memory for results was short.
type queueState struct {
	wait        time.Duration
	memoryShort bool
	reportedAt  time.Time
}

// NewStageRunner returns a Stages that asks the local caller or those of peers.
func NewStageRunner(cluster *Cluster, client *peer.Client, local *StageScheduler, logger *slog.Logger) *StageRunner {
	return &StageRunner{cluster: cluster, client: client, scheduler: local, logger: logger, stageTimes: newMovingAverages(), pendingFrees: map[string][]string{}, queueStates: map[string]queueState{}}
}

// TypicalTime returns the typical duration of a stage of a service, or the longer one
// that its queue showed lately: a burst fills a queue before the mean follows.
func (s *StageRunner) TypicalTime(table *route.Table, service string) time.Duration {
	var call time.Duration
	if described := table.Service(service); described != nil && described.Work != nil {
		call = described.Work.CallDuration(min(assumedPieces, described.Work.Batch))
	}
	known := s.stageTimes.mean(service)
	if known == 0 {
		known = call
	}
	s.mu.Lock()
	told := s.queueStates[service]
	s.mu.Unlock()
	if time.Since(told.reportedAt) < queueStateMaxAge {
		known = max(known, told.wait+call)
	}
	return known
}

// recordQueueState records what an instance that forms calls tells of its queue.
func (s *StageRunner) recordQueueState(service string, response *peerpb.RunStageResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueStates[service] = queueState{time.Duration(response.WaitMs) * time.Millisecond, response.RoomShort, time.Now()}
}

// resultMemoryShort reports whether memory for the results of a service was short lately.
func (s *StageRunner) resultMemoryShort(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.queueStates[service]
	return told.memoryShort && time.Since(told.reportedAt) < queueStateMaxAge
}

// Free gives up results of a service soon.
func (s *StageRunner) Free(service string, results []string) {
	if len(results) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pendingFrees[service]) == 0 {
		time.AfterFunc(peerFreeDelay, func() { s.flushFrees(service) })
	}
	s.pendingFrees[service] = append(s.pendingFrees[service], results...)
}

// FreeAll gives up results, listed by the service that made them, soon.
func (s *StageRunner) FreeAll(results map[string][]string) {
	for service, made := range results {
		s.Free(service, made)
	}
}

// flushFrees tells the instance that forms the calls of a service, which counts the
// room for results, what is given up.
func (s *StageRunner) flushFrees(service string) {
	s.mu.Lock()
	request := &peerpb.FreeResultsRequest{Service: service, Results: s.pendingFrees[service]}
	delete(s.pendingFrees, service)
	s.mu.Unlock()
	address := s.cluster.Owners(service)[0]
	if address == "" {
		s.scheduler.FreeResults(request)
		return
	}
	if err := s.client.FreeResults(context.Background(), address, request); err != nil {
		s.cluster.Avoid(address)
		s.scheduler.FreeResults(request)
	}
}
