package config

import (
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Request is the change that an operator asks for.
type Request struct {
	// PublishID is unique to this publish.
	PublishID string
	Author    string
	Reason    string
	Set       *pipeline.Set
	// Base is the revision that the operator started from; 0 accepts any.
	Base int64
}

// ConflictError reports that another operator's change came first.
type ConflictError struct {
	// Winner is the audit entry of the other change.
	Winner AuditEntry
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came first (%s):\n%s", e.Winner.ToRevision, e.Winner.Author, e.Winner.Reason, e.Winner.Difference)
}

// UnknownOutcomeError reports that the answer of the head write was lost and the
// head couldn't be read back.
type UnknownOutcomeError struct {
	PublishID string
	Err       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of publish %s is unknown, look for it with audit: %v", e.PublishID, e.Err)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// StepError reports a step that failed before the head was written.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("publish: %s: %v", e.Step, e.Err) }

func (e *StepError) Unwrap() error { return e.Err }

// Result is the end of a successful publish.
type Result struct {
	Revision int64 `json:"revision"`
	// Changed is false when the set in force is the same.
	Changed    bool       `json:"changed"`
	Difference Difference `json:"difference"`
	// Written is the number of parts that were written.
	Written int `json:"written"`
}

// Output is an action that the adapter carries out.
type Output interface{ publishOutput() }

// Input is the result of the last output.
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

// Outputs of a publish. The adapter carries out each and passes the matching
// input to Step.
type (
	// ReadHead asks for the head. Input: HeadRead.
	ReadHead struct{}
	// ReadParts asks for parts. Input: PartsRead.
	ReadParts struct{ Digests []Digest }
	// WriteParts asks to create parts; an existing one is a success. Input: PartsWritten.
	WriteParts struct{ Parts Parts }
	// WriteHead asks for a compare-and-swap of the head. Input: HeadWritten.
	WriteHead struct {
		Expect int64
		Value  []byte
	}
	// DeleteParts asks to delete parts that nobody needs. Failures don't matter. It
	// has no input.
	DeleteParts struct{ Digests []Digest }
	// Done ends the publish.
	Done struct {
		Result Result
		Err    error
	}
)

// Inputs of a publish.
type (
	// HeadRead is the head with its store version; Head is nil when there is none.
	HeadRead struct {
		Head    *Head
		Version int64
		Err     error
	}
	// PartsRead holds the parts that were asked for.
	PartsRead struct {
		Parts Parts
		Err   error
	}
	// PartsWritten ends WriteParts.
	PartsWritten struct{ Err error }
	// HeadWritten is the outcome of the compare-and-swap.
	HeadWritten struct {
		Outcome WriteOutcome
		Err     error
	}
)

// WriteOutcome says what is known of a compare-and-swap.
type WriteOutcome int

// Outcomes of a compare-and-swap.
const (
	WriteDone WriteOutcome = iota
	WriteConflict
	WriteUnknown
	WriteNotSent
)
