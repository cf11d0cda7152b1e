package config

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// retainedRevisions is the number of last heads whose parts stay in the store, so
// that an instance that is loading an older head still finds its parts.
const retainedRevisions = 10

// maxHeadWrites limits the attempts to write the head when responses are lost.
const maxHeadWrites = 3

// Publish is the state machine that puts one requested set in force. The caller
// carries out the outputs of Start and Step and passes each result to Step.
type Publish struct {
	request Request
	dryRun  bool

	// base is the head before the publish, with its store version.
	base    *Head
	version int64
	// intact is base without the parts that are missing from the store or damaged.
	intact *Head
	next   *Head
	parts  Parts
	result Result
	// headWrites counts the attempts to write the head. Once it is positive, reading
	// the head serves to find out whether the write took effect.
	headWrites int
	// uncertain is true once the response to a head write was lost.
	uncertain bool
}

// NewPublish returns a publish of the request. A dry run ends once the difference
// is known and writes nothing.
func NewPublish(request Request, dryRun bool) *Publish {
	request.Author = truncate(request.Author, MaxAuthorBytes)
	request.Reason = truncate(request.Reason, MaxReasonBytes)
	return &Publish{request: request, dryRun: dryRun}
}

// Start returns the first output.
func (p *Publish) Start() []Output { return []Output{ReadHead{}} }

// Step processes the result of the last output and returns the next outputs.
func (p *Publish) Step(now time.Time, input Input) []Output {
	switch in := input.(type) {
	case HeadRead:
		if p.headWrites > 0 {
			return p.onHeadReadBack(in)
		}
		return p.onHeadRead(in)
	case PartsRead:
		return p.onPartsRead(now, in)
	case PartsWritten:
		if in.Err != nil {
			return p.fail("write parts", in.Err)
		}
		return p.writeHead()
	case HeadWritten:
		return p.onHeadWritten(in)
	}
	return p.fail("step", fmt.Errorf("unexpected input %T", input))
}

func (p *Publish) fail(step string, err error) []Output {
	return []Output{Done{Err: &StepError{step, err}}}
}

func (p *Publish) onHeadRead(in HeadRead) []Output {
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

// conflict returns a *ConflictError that names the change that led to h.
func (p *Publish) conflict(h *Head) error {
	winner := AuditEntry{PublishID: h.PublishID, ToRevision: h.Revision}
	if len(h.Audit) > 0 {
		winner = h.Audit[len(h.Audit)-1]
	}
	return &ConflictError{winner}
}

// onPartsRead compares the requested set with the one in force, and writes the new
// parts if they differ.
func (p *Publish) onPartsRead(now time.Time, in PartsRead) []Output {
	if in.Err != nil {
		return p.fail("read parts", in.Err)
	}
	difference, err := p.compare(in.Parts)
	if err != nil {
		return p.fail("read parts", err)
	}
	p.result.Difference = difference
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

// compare returns the difference between the set in force and the requested one.
// Parts that are missing from the store or damaged are written again; the
// difference lists each of them as an unknown change.
func (p *Publish) compare(parts Parts) (Difference, error) {
	p.intact = p.base
	if p.base.Revision == 0 {
		return Compare(nil, p.request.Set), nil
	}
	missing := p.base.missingOrDamaged(parts)
	if len(missing) == 0 {
		inForce, err := Assemble(p.base, parts)
		return Compare(inForce, p.request.Set), err
	}
	p.intact = p.base.withoutParts(missing)
	inForce, err := Assemble(p.intact, parts)
	difference := Compare(inForce, setWithoutParts(p.request.Set, missing))
	for _, name := range slices.Sorted(maps.Keys(missing)) {
		difference = append(difference, Change{Action: ActionUnknown, Object: fmt.Sprintf("part %s, which is lost from the store", name)})
	}
	return difference, err
}

// buildNext builds the next head and the parts to write for it.
func (p *Publish) buildNext(now time.Time) error {
	refs, parts, err := splitParts(p.request.Set, p.intact, p.request.PublishID)
	if err != nil {
		return err
	}
	p.parts = parts
	p.next = &Head{Revision: p.base.Revision + 1, PublishID: p.request.PublishID, Parts: refs}
	p.next.Audit = append(p.base.Audit[max(0, len(p.base.Audit)+1-MaxAuditEntries):len(p.base.Audit):len(p.base.Audit)], AuditEntry{
		PublishID: p.request.PublishID, Author: p.request.Author, Reason: p.request.Reason, Time: now.UTC(),
		FromRevision: p.base.Revision, ToRevision: p.next.Revision, Difference: p.result.Difference.BoundedText(),
	})
	p.next.Retired = retiredParts(p.base, p.next)
	return nil
}

// retiredParts returns the parts that next doesn't use but that stay in the store
// for older heads: those that base had retired, except the collectable ones, and
// those that base uses and next doesn't.
func retiredParts(base, next *Head) []Retired {
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

// collectable reports whether a retired part may be deleted once the given revision
// is in force, because none of the last retainedRevisions heads uses it.
func collectable(revision int64, r Retired) bool {
	return r.Revision <= revision-retainedRevisions+1
}

// collectableParts returns the retired parts that may be deleted once the next head
// is in force.
func (p *Publish) collectableParts() []Digest {
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
	p.headWrites++
	return []Output{WriteHead{p.version, value}}
}

func (p *Publish) onHeadWritten(in HeadWritten) []Output {
	switch {
	case in.Outcome == WriteDone:
		return p.succeed(p.next.Revision)
	case in.Outcome == WriteNotSent && !p.uncertain:
		return append(p.deleteWrittenParts(), p.fail("write head", in.Err)...)
	}
	p.uncertain = p.uncertain || in.Outcome == WriteUnknown
	// The conflict may be with an earlier write of this publish whose response was
	// lost.
	return []Output{ReadHead{}}
}

// onHeadReadBack determines from the publish ID whether the write took effect.
func (p *Publish) onHeadReadBack(in HeadRead) []Output {
	if in.Err != nil || in.Head == nil {
		return p.failUnconfirmed(in.Err)
	}
	if entry, ok := in.Head.FindPublish(p.request.PublishID); ok {
		return p.succeed(entry.ToRevision)
	}
	// A read may return stale data: only a higher store version than that of base
	// proves that another change was published instead of this one.
	switch {
	case in.Version > p.version:
		return append(p.deleteWrittenParts(), Done{Err: p.conflict(in.Head)})
	case p.headWrites >= maxHeadWrites:
		return p.failUnconfirmed(fmt.Errorf("%d writes of the head had an unknown outcome", p.headWrites))
	}
	return p.writeHead()
}

// failUnconfirmed ends a publish when reading the head back didn't show whether the
// write took effect.
func (p *Publish) failUnconfirmed(err error) []Output {
	if !p.uncertain {
		return append(p.deleteWrittenParts(), p.fail("read head after a conflict", err)...)
	}
	return []Output{Done{Err: &UnknownOutcomeError{p.request.PublishID, err}}}
}

// succeed ends a publish that took effect and deletes the collectable parts.
func (p *Publish) succeed(revision int64) []Output {
	p.result.Revision, p.result.Changed, p.result.Written = revision, true, len(p.parts)
	done := Done{Result: p.result}
	if unused := p.collectableParts(); len(unused) > 0 {
		return []Output{DeleteParts{unused}, done}
	}
	return []Output{done}
}

// deleteWrittenParts deletes the parts of a publish that certainly didn't take
// effect. No head refers to them, because their content includes the publish ID.
func (p *Publish) deleteWrittenParts() []Output {
	digests := make([]Digest, 0, len(p.parts))
	for digest := range p.parts {
		digests = append(digests, digest)
	}
	return []Output{DeleteParts{digests}}
}
