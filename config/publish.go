package config

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// keptRevisions is the number of heads whose parts stay in the store, so that an
// instance that reads an older head still finds them.
const keptRevisions = 10

// maxHeadWrites bounds the attempts to write the head after lost answers.
const maxHeadWrites = 3

// Publish puts one change in force. It is driven by Start and Step.
type Publish struct {
	request Request
	dryRun  bool

	base    *Head
	version int64
	// kept is the base without the parts that are lost from the store.
	kept   *Head
	next   *Head
	parts  Parts
	result Result
	// writes counts attempts to write the head; once positive, a read of the head
	// is a read back.
	writes int
	// uncertain is true once the answer of a head write was lost.
	uncertain bool
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

// compare returns the difference to the set in force. Parts that are lost from the
// store are written again, and the difference says that it doesn't cover them.
func (p *Publish) compare(parts Parts) (Difference, error) {
	p.kept = p.base
	if p.base.Revision == 0 {
		return Compare(nil, p.request.Set), nil
	}
	lost := p.base.lost(parts)
	if len(lost) == 0 {
		inForce, err := Assemble(p.base, parts)
		return Compare(inForce, p.request.Set), err
	}
	p.kept = p.base.without(lost)
	inForce, err := Assemble(p.kept, parts)
	difference := Compare(inForce, setWithout(p.request.Set, lost))
	for _, name := range slices.Sorted(maps.Keys(lost)) {
		difference = append(difference, Change{Action: ActionUnknown, Object: fmt.Sprintf("part %s, which is lost from the store", name)})
	}
	return difference, err
}

// buildNext builds the head that follows the base.
func (p *Publish) buildNext(now time.Time) error {
	refs, parts, err := split(p.request.Set, p.kept, p.request.PublishID)
	if err != nil {
		return err
	}
	p.parts = parts
	p.next = &Head{Revision: p.base.Revision + 1, PublishID: p.request.PublishID, Parts: refs}
	p.next.Audit = append(p.base.Audit[max(0, len(p.base.Audit)+1-MaxAuditEntries):len(p.base.Audit):len(p.base.Audit)], AuditEntry{
		PublishID: p.request.PublishID, Author: p.request.Author, Reason: p.request.Reason, Time: now.UTC(),
		FromRevision: p.base.Revision, ToRevision: p.next.Revision, Difference: p.result.Difference.BoundedText(),
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
	case in.Outcome == WriteNotSent && !p.uncertain:
		return append(p.withdraw(), p.fail("write head", in.Err)...)
	}
	p.uncertain = p.uncertain || in.Outcome == WriteUnknown
	// A conflict may be with an own write whose answer was lost.
	return []Output{ReadHead{}}
}

// readBack decides with the publish ID whether the write took effect.
func (p *Publish) readBack(in HeadRead) []Output {
	if in.Err != nil || in.Head == nil {
		return p.undecided(in.Err)
	}
	if entry, ok := in.Head.FindPublish(p.request.PublishID); ok {
		return p.accepted(entry.ToRevision)
	}
	// A read can be stale: only a version after the base proves that another
	// change took the place of this one.
	switch {
	case in.Version > p.version:
		return append(p.withdraw(), Done{Err: p.conflict(in.Head)})
	case p.writes >= maxHeadWrites:
		return p.undecided(fmt.Errorf("%d writes were not decided", p.writes))
	}
	return p.writeHead()
}

// undecided ends a publish whose head can't be read back.
func (p *Publish) undecided(err error) []Output {
	if !p.uncertain {
		return append(p.withdraw(), p.fail("read head after a conflict", err)...)
	}
	return []Output{Done{Err: &UnknownOutcomeError{p.request.PublishID, err}}}
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
