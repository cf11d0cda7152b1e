// Package backend calls backend servers: model engines, encoder, retriever and
// reranker pools, and plain services. Caller is the interface that the execution of
// pipelines uses; each wire protocol has one adapter that implements it. Entry
// instances use the package; gateways use package internal/upstream.
package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Server is one backend server.
type Server struct {
	ID string
	// Address is an IP address and port.
	Address       string
	Pool          string
	Region        string
	FailureDomain string
	// Incarnation increases with each restart of the server.
	Incarnation int64
}

// StageRequest is the request of one attempt to run one stage.
type StageRequest struct {
	// Attempt is the ID of the attempt; every part of the answer repeats it.
	Attempt      string
	Type         pipeline.StageType
	Organisation string
	Pipeline     string
	Kind         string
	Class        pipeline.Class
	Priority     int
	Model        string
	// Input is the JSON document that the stage reads.
	Input json.RawMessage
	// PrefixKey groups requests that share a prompt prefix; empty for none.
	PrefixKey string
	// MaxTokens limits the number of tokens that an engine generates; 0 for no limit.
	MaxTokens int
	// MaxAnswerBytes limits the size of the answer.
	MaxAnswerBytes int64
	// ResumeOffset is the number of bytes that were already received of an interrupted
	// stream.
	ResumeOffset int64
	// Timeout is the time left for the stage.
	Timeout time.Duration
}

// StageStream is the answer of a stage, read in chunks.
type StageStream interface {
	// Next returns the next chunk of the answer. It returns io.EOF only after the
	// server marked the end of the whole answer.
	Next() ([]byte, error)
	// Close ends the call, and cancels it when the answer is not complete.
	Close() error
}

// Caller sends stage requests.
type Caller interface {
	Call(ctx context.Context, server Server, request StageRequest) (StageStream, error)
}

// Errors of a call. Each states whether the stage may have run.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the server answered that it did not run the request.
	ErrRefused = errors.New("backend server refused the request")
	// ErrDraining reports that the server is draining and did not run the request.
	ErrDraining = errors.New("backend server is leaving")
	// ErrInvalid reports that the server rejected the request itself; another
	// server would do the same.
	ErrInvalid = errors.New("backend server rejected the request as invalid")
	// ErrMayHaveRun reports a call that may have run.
	ErrMayHaveRun = errors.New("backend server may have run the request")
	// ErrBadAnswer reports an answer that is malformed, truncated, too large or of
	// another attempt. The stage may have run.
	ErrBadAnswer = errors.New("backend server sent a bad answer")
	// ErrBrokenStream is the ErrBadAnswer of a stream that ended before its end mark;
	// the part that was received is valid.
	ErrBrokenStream = fmt.Errorf("%w: stream ended before its end mark", ErrBadAnswer)
	// ErrWrongAttempt is the ErrBadAnswer of an answer that belongs to another attempt.
	ErrWrongAttempt = fmt.Errorf("%w: it belongs to another attempt", ErrBadAnswer)
)

// DefinitelyNotRun reports whether err means that the stage did not run, so
// that it may be sent to another server even when it must not run twice.
func DefinitelyNotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) ||
		errors.Is(err, ErrDraining) || errors.Is(err, ErrInvalid)
}
