package config

import (
	"fmt"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// keptRevisions is the number of heads whose parts stay in the store, so that an
// instance that reads an older head still finds them.
const keptRevisions = 10

// maxHeadWrites bounds the attempts to write the head after lost answers.
const maxHeadWrites = 3

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

// Publish puts one change in force. It is driven by Start and Step.
type Publish struct {
	request Request
	dryRun  bool

	base    *Head
	version int64
	next    *Head
	parts   Parts
	result  Result
	// writes counts attempts to write the head; once positive, a read of the head
	// is a read back.
	writes int
}

// NewPublish returns a publish of the request. A dry run ends after the
// difference is known.
func NewPublish(request Request, dryRun bool) *Publish {
	request.Author = truncate(request.Author, MaxAuthorBytes)
	request.Reason = truncate(request.Reason, MaxReasonBytes)
	return &Publish{request: request, dryRun: dryRun}
}

// Start returns the first output.
func (p *Publish) Start() []Output { return []Output{ReadHead{}} }

// Step takes the input to the last output and returns the next outputs.
func (p *Publish) Step(now time.Time, input Input) []Output {
	switch in := input.(type) {
	case HeadRead:
		if p.writes > 0 {
			return p.readBack(in)
		}
		return p.headRead(in)
	case PartsRead:
		return p.partsRead(now, in)
	case PartsWritten:
		if in.Err != nil {
			return p.fail("write parts", in.Err)
		}
		return p.writeHead()
	case HeadWritten:
		return p.headWritten(in)
	}
	return p.fail("step", fmt.Errorf("unexpected input %T", input))
}

func (p *Publish) fail(step string, err error) []Output {
	return []Output{Done{Err: &StepError{step, err}}}
}

func (p *Publish) headRead(in HeadRead) []Output {
	if in.Err != nil {
		return p.fail("read head", in.Err)
	}
	p.base, p.version = in.Head, in.Version
	if p.base == nil {
		p.base = &Head{}
	}
	if p.request.Base != 0 && p.request.Base != p.base.Revision {
		return []Output{Done{Err: p.conflict(p.base)}}
	}
	return []Output{ReadParts{p.base.Digests()}}
}

// conflict reports the change that led to a head.
func (p *Publish) conflict(h *Head) error {
	winner := AuditEntry{PublishID: h.PublishID, ToRevision: h.Revision}
	if len(h.Audit) > 0 {
		winner = h.Audit[len(h.Audit)-1]
	}
	return &ConflictError{winner}
}

// partsRead compares the sets and writes what is missing.
func (p *Publish) partsRead(now time.Time, in PartsRead) []Output {
	if in.Err != nil {
		return p.fail("read parts", in.Err)
	}
	var inForce *pipeline.Set
	if p.base.Revision > 0 {
		set, err := Assemble(p.base, in.Parts)
		if err != nil {
			return p.fail("read parts", err)
		}
		inForce = set
	}
	p.result.Difference = Compare(inForce, p.request.Set)
	p.result.Revision = p.base.Revision
	if len(p.result.Difference) == 0 || p.dryRun {
		p.result.Changed = len(p.result.Difference) > 0
		return []Output{Done{Result: p.result}}
	}
	if err := p.buildNext(now); err != nil {
		return p.fail("build head", err)
	}
	return []Output{WriteParts{p.parts}}
}

// buildNext builds the head that follows the base.
func (p *Publish) buildNext(now time.Time) error {
	refs, parts, err := split(p.request.Set, p.base, p.request.PublishID)
	if err != nil {
		return err
	}
	p.parts = parts
	p.next = &Head{Revision: p.base.Revision + 1, PublishID: p.request.PublishID, Parts: refs}
	p.next.Audit = append(p.base.Audit[max(0, len(p.base.Audit)+1-MaxAuditEntries):len(p.base.Audit):len(p.base.Audit)], AuditEntry{
		PublishID: p.request.PublishID, Author: p.request.Author, Reason: p.request.Reason, Time: now.UTC(),
		FromRevision: p.base.Revision, ToRevision: p.next.Revision, Difference: p.result.Difference.Bounded(),
	})
	p.next.Retired = retire(p.base, p.next)
	return nil
}

// retire returns the parts that neither the next head nor the last keptRevisions
// heads need any more, or that will become so.
func retire(base, next *Head) []Retired {
	var retired []Retired
	for _, r := range base.Retired {
		if !collectable(next.Revision, r) {
			retired = append(retired, r)
		}
	}
	used := map[Digest]bool{}
	for _, digest := range next.Digests() {
		used[digest] = true
	}
	for _, digest := range base.Digests() {
		if !used[digest] {
			retired = append(retired, Retired{digest, next.Revision})
		}
	}
	return retired
}

// collectable reports whether none of the last keptRevisions heads uses a retired
// part once a revision is in force.
func collectable(inForce int64, r Retired) bool {
	return r.Revision <= inForce-keptRevisions+1
}

// collect returns the parts that may be deleted once the next head is in force.
func (p *Publish) collect() []Digest {
	var digests []Digest
	for _, r := range p.base.Retired {
		if collectable(p.next.Revision, r) {
			digests = append(digests, r.Digest)
		}
	}
	return digests
}

func (p *Publish) writeHead() []Output {
	value, err := p.next.Encode()
	if err != nil {
		return p.fail("build head", err)
	}
	p.writes++
	return []Output{WriteHead{p.version, value}}
}

func (p *Publish) headWritten(in HeadWritten) []Output {
	switch {
	case in.Outcome == WriteDone:
		return p.accepted(p.next.Revision)
	case in.Outcome == WriteNotSent && p.writes == 1:
		return append(p.withdraw(), p.fail("write head", in.Err)...)
	}
	// A conflict may be with an own write whose answer was lost.
	return []Output{ReadHead{}}
}

// readBack decides with the publish ID whether the write took effect.
func (p *Publish) readBack(in HeadRead) []Output {
	if in.Err != nil || in.Head == nil {
		return []Output{Done{Err: &UnknownOutcomeError{p.request.PublishID, in.Err}}}
	}
	if entry, ok := in.Head.Accepted(p.request.PublishID); ok {
		return p.accepted(entry.ToRevision)
	}
	switch {
	case in.Version != p.version:
		return append(p.withdraw(), Done{Err: p.conflict(in.Head)})
	case p.writes >= maxHeadWrites:
		return []Output{Done{Err: &UnknownOutcomeError{p.request.PublishID, fmt.Errorf("%d writes had no answer", p.writes)}}}
	}
	return p.writeHead()
}

// accepted ends the publish and deletes old parts.
func (p *Publish) accepted(revision int64) []Output {
	p.result.Revision, p.result.Changed, p.result.Written = revision, true, len(p.parts)
	done := Done{Result: p.result}
	if old := p.collect(); len(old) > 0 {
		return []Output{DeleteParts{old}, done}
	}
	return []Output{done}
}

// withdraw deletes the parts of a publish that certainly didn't take effect. No
// head refers to them, because their bytes hold the publish ID.
func (p *Publish) withdraw() []Output {
	digests := make([]Digest, 0, len(p.parts))
	for digest := range p.parts {
		digests = append(digests, digest)
	}
	return []Output{DeleteParts{digests}}
}
