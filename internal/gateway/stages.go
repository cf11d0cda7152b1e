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
	// firstPieces is the number of pieces that a stage without measurements is
	// taken to have.
	firstPieces = 6
	// toldLife is how long the state that a queue told is believed.
	toldLife = time.Second
	// freeFlush collects the results that a request gives up.
	freeFlush = 3 * time.Millisecond
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

// Stages runs the stages of requests.
type Stages struct {
	cluster *Cluster
	client  *peer.Client
	local   *StageCaller
	logger  *slog.Logger

	typical *averages

	mu   sync.Mutex
	free map[string][]string
	// told holds what the instances that form calls last told of their queues.
	told map[string]queueState
}

// queueState is how long a new piece of a service waited at a time, and whether
// memory for results was short.
type queueState struct {
	wait      time.Duration
	roomShort bool
	at        time.Time
}

// NewStages returns a Stages that asks the local caller or those of peers.
func NewStages(cluster *Cluster, client *peer.Client, local *StageCaller, logger *slog.Logger) *Stages {
	return &Stages{cluster: cluster, client: client, local: local, logger: logger, typical: newAverages(), free: map[string][]string{}, told: map[string]queueState{}}
}

// Typical returns the typical duration of a stage of a service, or the longer one
// that its queue showed lately: a burst fills a queue before the mean follows.
func (s *Stages) Typical(table *route.Table, service string) time.Duration {
	var call time.Duration
	if described := table.Service(service); described != nil && described.StageProfile != nil {
		call = described.StageProfile.CallDuration(min(firstPieces, described.StageProfile.Batch))
	}
	known := s.typical.of(service)
	if known == 0 {
		known = call
	}
	s.mu.Lock()
	told := s.told[service]
	s.mu.Unlock()
	if time.Since(told.at) < toldLife {
		known = max(known, told.wait+call)
	}
	return known
}

// learn records what an instance that forms calls tells of its queue.
func (s *Stages) learn(service string, response *peerpb.RunStageResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[service] = queueState{time.Duration(response.WaitMs) * time.Millisecond, response.RoomShort, time.Now()}
}

// roomShort reports whether memory for the results of a service was short lately.
func (s *Stages) roomShort(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.told[service]
	return told.roomShort && time.Since(told.at) < toldLife
}

// Free gives up results of a service soon.
func (s *Stages) Free(service string, results []string) {
	if len(results) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.free[service]) == 0 {
		time.AfterFunc(freeFlush, func() { s.flush(service) })
	}
	s.free[service] = append(s.free[service], results...)
}

// FreeAll gives up results, listed by the service that made them, soon.
func (s *Stages) FreeAll(results map[string][]string) {
	for service, made := range results {
		s.Free(service, made)
	}
}

// flush tells the instance that forms the calls of a service, which counts the
// room for results, what is given up.
func (s *Stages) flush(service string) {
	s.mu.Lock()
	request := &peerpb.FreeResultsRequest{Service: service, Results: s.free[service]}
	delete(s.free, service)
	s.mu.Unlock()
	address := s.cluster.Callers(service)[0]
	if address == "" {
		s.local.FreeResults(request)
		return
	}
	if err := s.client.FreeResults(context.Background(), address, request); err != nil {
		s.cluster.Avoid(address)
		s.local.FreeResults(request)
	}
}
