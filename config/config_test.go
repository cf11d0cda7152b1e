package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

func largeSet(organisations int) *pipeline.Set {
	set := &pipeline.Set{Deployment: pipeline.Deployment{Name: "d"}}
	for i := range organisations {
		set.Deployment.Organisations = append(set.Deployment.Organisations, pipeline.Organisation{Name: fmt.Sprintf("organisation-%05d", i), Weight: 1})
	}
	for i := range 20 {
		set.Pipelines = append(set.Pipelines, pipeline.Pipeline{Name: fmt.Sprintf("p%d", i), Stages: []pipeline.Stage{{Name: "s"}}})
	}
	return set
}

// world carries out the outputs of publishes in memory.
type world struct {
	head    *Head
	version int64
	parts   Parts
	// beforeHead runs before a head write.
	beforeHead func()
	// stale is returned by the next read after a write.
	stale *Head
	// loseAnswer drops the answers of that many head writes after they took effect.
	loseAnswer int
}

func (w *world) publish(id string, set *pipeline.Set) Done {
	p := NewPublish(Request{PublishID: id, Author: "author of " + id, Reason: "reason of " + id, Set: set}, false)
	outputs := p.Start()
	for {
		var next []Output
		for _, output := range outputs {
			if done, ok := output.(Done); ok {
				return done
			}
			if input := w.carryOut(output); input != nil {
				next = p.Step(time.Unix(1, 0), input)
			}
		}
		outputs = next
	}
}

func (w *world) carryOut(output Output) Input {
	switch out := output.(type) {
	case ReadHead:
		if stale := w.stale; stale != nil && w.version > 1 {
			w.stale = nil
			return HeadRead{Head: stale, Version: 0}
		}
		return HeadRead{Head: w.head, Version: w.version}
	case ReadParts:
		return PartsRead{Parts: w.parts}
	case WriteParts:
		for digest, data := range out.Parts {
			w.parts[digest] = data
		}
		return PartsWritten{}
	case DeleteParts:
		for _, digest := range out.Digests {
			delete(w.parts, digest)
		}
	case WriteHead:
		return w.writeHead(out)
	}
	return nil
}

func (w *world) writeHead(out WriteHead) Input {
	if f := w.beforeHead; f != nil {
		w.beforeHead = nil
		f()
	}
	if out.Expect != w.version {
		return HeadWritten{Outcome: WriteConflict}
	}
	w.head, _ = DecodeHead(out.Value)
	w.version++
	if w.loseAnswer > 0 {
		w.loseAnswer--
		return HeadWritten{Outcome: WriteUnknown}
	}
	return HeadWritten{}
}

// Guards against a changed organisation that rewrites more than its own part, and
// against heads or parts over their bounds.
func TestOneChangedOrganisationWritesOnePart(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	first := w.publish("a", largeSet(19000))
	c.Assert(first.Err, qt.IsNil)
	set := largeSet(19000)
	set.Deployment.Organisations[7].Weight = 2
	second := w.publish("b", set)
	c.Assert(second.Err, qt.IsNil)
	c.Assert(second.Result.Written, qt.Equals, 1)
	c.Assert(second.Result.Difference.Text(), qt.Equals, "changed organisation organisation-00007\n  weight: 1 -> 2\n")
	largest := 0
	for _, data := range w.parts {
		largest = max(largest, len(data))
	}
	head, err := w.head.WithoutAudit().Encode()
	c.Assert(err, qt.IsNil)
	t.Logf("largest part %d bytes, head without audit trail %d bytes", largest, len(head))
	c.Assert(largest < MaxPartBytes, qt.IsTrue)
	var current Current
	changed, err := current.Update(w.head, w.parts)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(Compare(set, current.Set()), qt.HasLen, 0)
}

// Guards against two operators of whom the later one silently undoes the change
// of the other.
func TestLoserOfRaceGetsWinnersAuthorAndDifference(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(3)).Err, qt.IsNil)
	w.beforeHead = func() { c.Assert(w.publish("winner", largeSet(4)).Err, qt.IsNil) }
	var conflict *ConflictError
	c.Assert(errors.As(w.publish("loser", largeSet(5)).Err, &conflict), qt.IsTrue)
	c.Assert(conflict.Winner.Author, qt.Equals, "author of winner")
	c.Assert(conflict.Winner.Difference, qt.Equals, "added organisation organisation-00003\n")
	c.Assert(w.head.PublishID, qt.Equals, "winner")
}

// Guards against a change that took effect but is reported as failed, or is
// written twice, because the answer of the head write was lost, also when
// another operator's change came in between.
func TestLostAnswerIsRecognisedByPublishID(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}, loseAnswer: 1}
	done := w.publish("a", largeSet(3))
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(1))

	p := NewPublish(Request{PublishID: "b", Set: largeSet(4)}, false)
	p.Step(time.Time{}, HeadRead{Head: w.head, Version: w.version})
	p.Step(time.Time{}, PartsRead{Parts: w.parts})
	out := p.Step(time.Time{}, PartsWritten{})[0].(WriteHead)
	w.carryOut(WriteParts{p.parts})
	w.writeHead(out)
	c.Assert(w.publish("c", largeSet(5)).Err, qt.IsNil)
	p.Step(time.Time{}, HeadWritten{Outcome: WriteUnknown})
	done = p.Step(time.Time{}, HeadRead{Head: w.head, Version: w.version})[0].(Done)
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(2))
	c.Assert(w.head.Revision, qt.Equals, int64(3))
}

// Guards against a stale read back that is taken for another operator's change:
// the parts of the head in force would be deleted.
func TestStaleReadBackIsNoConflict(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(3)).Err, qt.IsNil)
	w.loseAnswer, w.stale = 1, w.head
	done := w.publish("b", largeSet(4))
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(2))
	_, err := Assemble(w.head, w.parts)
	c.Assert(err, qt.IsNil)
}

// Guards against a store that fills up with old parts, a collected part that one
// of the last heads still uses, and an audit trail that grows without bound.
func TestOldPartsAndAuditEntriesAreDropped(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	var heads []*Head
	for i := range 2*MaxAuditEntries + 1 {
		set := largeSet(200)
		set.Deployment.Organisations[0].Weight = i + 2
		c.Assert(w.publish(strings.Repeat("x", 36)+fmt.Sprint(i), set).Err, qt.IsNil)
		heads = append(heads, w.head)
		for _, head := range heads[max(0, len(heads)-keptRevisions):] {
			for _, digest := range head.Digests() {
				c.Assert(w.parts[digest], qt.IsNotNil, qt.Commentf("revision %d", head.Revision))
			}
		}
	}
	c.Assert(w.head.Audit, qt.HasLen, MaxAuditEntries)
	c.Assert(len(w.parts) <= len(w.head.Parts)+keptRevisions+1, qt.IsTrue, qt.Commentf("%d parts", len(w.parts)))
	value, err := w.head.Encode()
	c.Assert(err, qt.IsNil)
	t.Logf("head with a full audit trail: %d bytes", len(value))
}

// Guards against an instance that goes back to an older configuration.
func TestLowerRevisionIsRefused(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(3)).Err, qt.IsNil)
	old := w.head
	c.Assert(w.publish("b", largeSet(4)).Err, qt.IsNil)
	var current Current
	_, err := current.Update(w.head, w.parts)
	c.Assert(err, qt.IsNil)
	_, err = current.Update(old, w.parts)
	var lower *LowerRevisionError
	c.Assert(errors.As(err, &lower), qt.IsTrue)
	c.Assert(current.Revision(), qt.Equals, int64(2))
	other := *w.head
	other.PublishID = "z"
	var divergent *DivergentError
	_, err = current.Update(&other, w.parts)
	c.Assert(errors.As(err, &divergent), qt.IsTrue)
}

// Guards against a pull that transfers the whole head for one changed
// organisation, and against a change that leads to another head.
func TestHeadChange(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(19000)).Err, qt.IsNil)
	base := w.head
	set := largeSet(19000)
	set.Deployment.Organisations[0].Weight = 5
	set.Pipelines = set.Pipelines[1:]
	c.Assert(w.publish("b", set).Err, qt.IsNil)
	change, err := w.head.ChangeSince(base)
	c.Assert(err, qt.IsNil)
	data, err := EncodeChange(change)
	c.Assert(err, qt.IsNil)
	t.Logf("change of the head: %d bytes", len(data))
	c.Assert(len(data) < 1000, qt.IsTrue)
	decoded, err := DecodeChange(data)
	c.Assert(err, qt.IsNil)
	head, err := decoded.Apply(base)
	c.Assert(err, qt.IsNil)
	c.Assert(head, qt.DeepEquals, w.head.WithoutAudit())
	_, err = decoded.Apply(w.head)
	c.Assert(err, qt.ErrorMatches, ".*not in force")
	decoded.Removed = nil
	_, err = decoded.Apply(base)
	c.Assert(err, qt.ErrorMatches, ".*differs from its digest")
}

// Guards against a part that was damaged on its way.
func TestDamagedPartIsRefused(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(3)).Err, qt.IsNil)
	digest := w.head.Parts[0].Digest
	w.parts[digest] = append(w.parts[digest], ' ')
	var current Current
	_, err := current.Update(w.head, w.parts)
	c.Assert(err, qt.ErrorMatches, ".*differs from its digest.*")
}

// Guards against a part lost from the store that keeps operators from publishing
// for good, and against a new head that refers to the lost part.
func TestPublishWritesLostPartsAgain(t *testing.T) {
	c := qt.New(t)
	w := &world{parts: Parts{}}
	c.Assert(w.publish("a", largeSet(3)).Err, qt.IsNil)
	ref := w.head.Parts[0]
	delete(w.parts, ref.Digest)
	done := w.publish("b", largeSet(4))
	c.Assert(done.Err, qt.IsNil)
	text := done.Result.Difference.Text()
	c.Assert(text, qt.Contains, "added organisation organisation-00003\n")
	c.Assert(text, qt.Contains, "unknown part "+string(ref.Name)+", which is lost from the store\n")
	var current Current
	_, err := current.Update(w.head, w.parts)
	c.Assert(err, qt.IsNil)
	c.Assert(Compare(largeSet(4), current.Set()), qt.HasLen, 0)
}
