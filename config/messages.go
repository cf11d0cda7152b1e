package config

import (
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Request is an operator's request to publish a configuration.
type Request struct {
	// PublishID is unique to this publish.
	PublishID string
	Author    string
	Reason    string
	Set       *pipeline.Set
	// Base is the revision from which the operator started. The publish fails with a
	// *ConflictError if another one is in force; 0 accepts any.
	Base int64
}

// ConflictError reports that another change was published first.
type ConflictError struct {
	// Winner is the audit entry of the other change.
	Winner AuditEntry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came first (%s):\n%s", e.Winner.ToRevision, e.Winner.Author, e.Winner.Reason, e.Winner.Difference)
}

// UnknownOutcomeError reports that the response to the head write was lost and
// that reading the head back didn't show whether the write took effect.
type UnknownOutcomeError struct {
	PublishID string
	Err       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of publish %s is unknown; look for its ID with the audit command: %v", e.PublishID, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StepError reports a failed step of a publish that has not taken effect.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("publish: %s: %v", e.Step, e.Err) }

func (e *StepError) Unwrap() error { return e.Err }

// Result is the result of a successful publish or dry run.
type Result struct {
	Revision int64 `json:"revision"`
	// Changed is false when the requested set equals the one in force.
	Changed    bool       `json:"changed"`
	Difference Difference `json:"difference"`
	// Written is the number of parts that were written.
	Written int `json:"written"`
}

// Output is an operation of a Publish that the caller carries out.
type Output interface{ publishOutput() }

// Input is the result of an Output.
type Input interface{ publishInput() }

func (ReadHead) publishOutput()    {}
func (ReadParts) publishOutput()   {}
func (WriteParts) publishOutput()  {}
func (WriteHead) publishOutput()   {}
func (DeleteParts) publishOutput() {}
func (Done) publishOutput()        {}

func (HeadRead) publishInput()     {}
func (PartsRead) publishInput()    {}
func (PartsWritten) publishInput() {}
func (HeadWritten) publishInput()  {}

// Outputs of a publish. The caller carries out each of them and passes the
// matching input to Step.
type (
	// ReadHead reads the head. Input: HeadRead.
	ReadHead struct{}
	// ReadParts reads parts. Input: PartsRead.
	ReadParts struct{ Digests []Digest }
	// WriteParts creates parts; one that already exists counts as written. Input:
	// PartsWritten.
	WriteParts struct{ Parts Parts }
	// WriteHead replaces the head by compare-and-swap if its store version is
	// ExpectedVersion. Input: HeadWritten.
	WriteHead struct {
		ExpectedVersion int64
		Value           []byte
	}
	// DeleteParts deletes unused parts. Failures are ignored. It has no input.
	DeleteParts struct{ Digests []Digest }
	// Done ends the publish with its result or error. It has no input.
	Done struct {
		Result Result
		Err    error
	}
)

// Inputs of a publish.
type (
	// HeadRead holds the head and its store version; Head is nil when the store has
	// none.
	HeadRead struct {
		Head    *Head
		Version int64
		Err     error
	}
	// PartsRead holds those of the requested parts that the store has.
	PartsRead struct {
		Parts Parts
		Err   error
	}
	// PartsWritten is the result of WriteParts.
	PartsWritten struct{ Err error }
	// HeadWritten is the result of WriteHead.
	HeadWritten struct {
		Outcome WriteOutcome
		Err     error
	}
)

// WriteOutcome is what is known about the effect of a compare-and-swap.
type WriteOutcome int

// Outcomes of a compare-and-swap.
const (
	WriteDone WriteOutcome = iota
	// WriteConflict means that the key had another version than expected.
	WriteConflict
	// WriteUnknown means that the response was lost; the write may have taken effect.
	WriteUnknown
	// WriteNotSent means that the write certainly did not take effect.
	WriteNotSent
)
