// Package backend calls backend servers: model engines, encoder, retriever and
// reranker pools, and plain services. Caller is the interface the pipeline
// execution uses; one adapter per wire form implements it.
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
	// Address is an IP number and port.
	Address       string
	Pool          string
	Region        string
	FailureDomain string
	// Incarnation rises with each restart of the server.
	Incarnation int64
}

// StageRequest is one attempt at one stage.
type StageRequest struct {
	// Attempt names the attempt; every part of the answer repeats it.
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
	// MaxTokens bounds what an engine generates; 0 for no bound.
	MaxTokens int
	// MaxAnswerBytes bounds the answer.
	MaxAnswerBytes int64
	// ResumeOffset is the number of bytes of a broken stream already received.
	ResumeOffset int64
	// Timeout is what is left for the stage.
	Timeout time.Duration
}

// StageStream is the answer of a stage, in pieces.
type StageStream interface {
	// Next returns the next piece of the answer. It returns io.EOF only after the
	// server marked the end of the whole answer.
	Next() ([]byte, error)
	// Close ends the call, and cancels it when the answer is not complete.
	Close() error
}

// Caller sends stage requests.
type Caller interface {
	Call(ctx context.Context, server Server, request StageRequest) (StageStream, error)
}

// Errors of a call. Each says whether the stage may have run.
var (
	// ErrNotSent reports that no byte of the request left.
	ErrNotSent = errors.New("request was not sent")
	// ErrRefused reports that the server answered that it did not run the request.
	ErrRefused = errors.New("backend server refused the request")
	// ErrDraining is the refusal of a server that is leaving.
	ErrDraining = errors.New("backend server is leaving")
	// ErrInvalid reports that the server rejected the request itself; another
	// server would do the same.
	ErrInvalid = errors.New("backend server rejected the request as invalid")
	// ErrMayHaveRun reports a call that may have run.
	ErrMayHaveRun = errors.New("backend server may have run the request")
	// ErrBadAnswer reports an answer that is malformed, cut short, too large or
	// of another attempt. The stage may have run.
	ErrBadAnswer = errors.New("backend server sent a bad answer")
	// ErrBrokenStream reports an ErrBadAnswer that ended before its end mark; what
	// was received is sound.
	ErrBrokenStream = fmt.Errorf("%w: stream broke before its end mark", ErrBadAnswer)
	// ErrWrongAttempt reports an ErrBadAnswer that belongs to another attempt.
	ErrWrongAttempt = fmt.Errorf("%w: it belongs to another attempt", ErrBadAnswer)
)

// DefinitelyNotRun reports whether err means that the stage did not run, so
// that it may be sent elsewhere even when it must not run twice.
func DefinitelyNotRun(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, ErrRefused) ||
		errors.Is(err, ErrDraining) || errors.Is(err, ErrInvalid)
}
