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

// fakeStore carries out the outputs of publishes in memory.
type fakeStore struct {
	head    *Head
	version int64
	parts   Parts
	// beforeHeadWrite is called once, before the next head write.
	beforeHeadWrite func()
	// staleHead, if set, is returned once by the next read of the head.
	staleHead *Head
	// lostResponses is the number of next head writes that take effect but whose
	// response is lost.
	lostResponses int
}

func (s *fakeStore) publish(id string, set *pipeline.Set) Done {
	p := NewPublish(Request{PublishID: id, Author: "author of " + id, Reason: "reason of " + id, Set: set}, false)
	outputs := p.Start()
	for {
		var next []Output
		for _, output := range outputs {
			if done, ok := output.(Done); ok {
				return done
			}
			if input := s.carryOut(output); input != nil {
				next = p.Step(time.Unix(1, 0), input)
			}
		}
		outputs = next
	}
}

func (s *fakeStore) carryOut(output Output) Input {
	switch out := output.(type) {
	case ReadHead:
		if stale := s.staleHead; stale != nil && s.version > 1 {
			s.staleHead = nil
			return HeadRead{Head: stale, Version: 0}
		}
		return HeadRead{Head: s.head, Version: s.version}
	case ReadParts:
		return PartsRead{Parts: s.parts}
	case WriteParts:
		for digest, data := range out.Parts {
			s.parts[digest] = data
		}
		return PartsWritten{}
	case DeleteParts:
		for _, digest := range out.Digests {
			delete(s.parts, digest)
		}
	case WriteHead:
		return s.writeHead(out)
	}
	return nil
}

func (s *fakeStore) writeHead(out WriteHead) Input {
	if f := s.beforeHeadWrite; f != nil {
		s.beforeHeadWrite = nil
		f()
	}
	if out.ExpectedVersion != s.version {
		return HeadWritten{Outcome: WriteConflict}
	}
	s.head, _ = DecodeHead(out.Value)
	s.version++
	if s.lostResponses > 0 {
		s.lostResponses--
		return HeadWritten{Outcome: WriteUnknown}
	}
	return HeadWritten{}
}

// Guards against a change of one organisation that rewrites more than one part,
// and against heads or parts over their size limits.
func TestOneChangedOrganisationWritesOnePart(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	first := s.publish("a", largeSet(19000))
	c.Assert(first.Err, qt.IsNil)
	set := largeSet(19000)
	set.Deployment.Organisations[7].Weight = 2
	second := s.publish("b", set)
	c.Assert(second.Err, qt.IsNil)
	c.Assert(second.Result.Written, qt.Equals, 1)
	c.Assert(second.Result.Difference.Text(), qt.Equals, "changed organisation organisation-00007\n  weight: 1 -> 2\n")
	largest := 0
	for _, data := range s.parts {
		largest = max(largest, len(data))
	}
	head, err := s.head.WithoutAudit().Encode()
	c.Assert(err, qt.IsNil)
	t.Logf("largest part %d bytes, head without audit trail %d bytes", largest, len(head))
	c.Assert(largest < MaxPartBytes, qt.IsTrue)
	var current Current
	changed, err := current.Update(s.head, s.parts)
	c.Assert(err, qt.IsNil)
	c.Assert(changed, qt.IsTrue)
	c.Assert(Compare(set, current.Set()), qt.HasLen, 0)
}

// Guards against a publish that silently undoes a concurrent change of another
// operator.
func TestConflictReportsAuthorAndDifferenceOfTheOtherChange(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(3)).Err, qt.IsNil)
	s.beforeHeadWrite = func() { c.Assert(s.publish("winner", largeSet(4)).Err, qt.IsNil) }
	var conflict *ConflictError
	c.Assert(errors.As(s.publish("loser", largeSet(5)).Err, &conflict), qt.IsTrue)
	c.Assert(conflict.Winner.Author, qt.Equals, "author of winner")
	c.Assert(conflict.Winner.Difference, qt.Equals, "added organisation organisation-00003\n")
	c.Assert(s.head.PublishID, qt.Equals, "winner")
}

// Guards against a change that took effect but is reported as failed, or is
// written twice, because the response to the head write was lost, also when
// another operator published a change in between.
func TestLostResponseIsRecognisedByPublishID(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}, lostResponses: 1}
	done := s.publish("a", largeSet(3))
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(1))

	p := NewPublish(Request{PublishID: "b", Set: largeSet(4)}, false)
	p.Step(time.Time{}, HeadRead{Head: s.head, Version: s.version})
	p.Step(time.Time{}, PartsRead{Parts: s.parts})
	out := p.Step(time.Time{}, PartsWritten{})[0].(WriteHead)
	s.carryOut(WriteParts{p.parts})
	s.writeHead(out)
	c.Assert(s.publish("c", largeSet(5)).Err, qt.IsNil)
	p.Step(time.Time{}, HeadWritten{Outcome: WriteUnknown})
	done = p.Step(time.Time{}, HeadRead{Head: s.head, Version: s.version})[0].(Done)
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(2))
	c.Assert(s.head.Revision, qt.Equals, int64(3))
}

// Guards against a stale read of the head after a lost response that is taken for
// another operator's change: the parts of the head in force would be deleted.
func TestStaleReadBackIsNotTakenForAConflict(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(3)).Err, qt.IsNil)
	s.lostResponses, s.staleHead = 1, s.head
	done := s.publish("b", largeSet(4))
	c.Assert(done.Err, qt.IsNil)
	c.Assert(done.Result.Revision, qt.Equals, int64(2))
	_, err := Assemble(s.head, s.parts)
	c.Assert(err, qt.IsNil)
}

// Guards against old parts that accumulate in the store, against the deletion of a
// part that one of the last heads still uses, and against an audit trail that
// grows without limit.
func TestOldPartsAndAuditEntriesAreDeleted(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	var heads []*Head
	for i := range 2*MaxAuditEntries + 1 {
		set := largeSet(200)
		set.Deployment.Organisations[0].Weight = i + 2
		c.Assert(s.publish(strings.Repeat("x", 36)+fmt.Sprint(i), set).Err, qt.IsNil)
		heads = append(heads, s.head)
		for _, head := range heads[max(0, len(heads)-retainedRevisions):] {
			for _, digest := range head.Digests() {
				c.Assert(s.parts[digest], qt.IsNotNil, qt.Commentf("revision %d", head.Revision))
			}
		}
	}
	c.Assert(s.head.Audit, qt.HasLen, MaxAuditEntries)
	c.Assert(len(s.parts) <= len(s.head.Parts)+retainedRevisions+1, qt.IsTrue, qt.Commentf("%d parts", len(s.parts)))
	value, err := s.head.Encode()
	c.Assert(err, qt.IsNil)
	t.Logf("head with a full audit trail: %d bytes", len(value))
}

// Guards against an instance that replaces its configuration by an older one.
func TestLowerRevisionIsRefused(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(3)).Err, qt.IsNil)
	old := s.head
	c.Assert(s.publish("b", largeSet(4)).Err, qt.IsNil)
	var current Current
	_, err := current.Update(s.head, s.parts)
	c.Assert(err, qt.IsNil)
	_, err = current.Update(old, s.parts)
	var lower *LowerRevisionError
	c.Assert(errors.As(err, &lower), qt.IsTrue)
	c.Assert(current.Revision(), qt.Equals, int64(2))
	other := *s.head
	other.PublishID = "z"
	var divergent *DivergentError
	_, err = current.Update(&other, s.parts)
	c.Assert(errors.As(err, &divergent), qt.IsTrue)
}

// Guards against a pull that transfers the whole head for one changed
// organisation, and against a head change whose result is not the new head.
func TestHeadChangeIsSmallAndVerified(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(19000)).Err, qt.IsNil)
	base := s.head
	set := largeSet(19000)
	set.Deployment.Organisations[0].Weight = 5
	set.Pipelines = set.Pipelines[1:]
	c.Assert(s.publish("b", set).Err, qt.IsNil)
	change, err := s.head.ChangeSince(base)
	c.Assert(err, qt.IsNil)
	data, err := EncodeChange(change)
	c.Assert(err, qt.IsNil)
	t.Logf("change of the head: %d bytes", len(data))
	c.Assert(len(data) < 1000, qt.IsTrue)
	decoded, err := DecodeChange(data)
	c.Assert(err, qt.IsNil)
	head, err := decoded.Apply(base)
	c.Assert(err, qt.IsNil)
	c.Assert(head, qt.DeepEquals, s.head.WithoutAudit())
	_, err = decoded.Apply(s.head)
	c.Assert(err, qt.ErrorMatches, ".*not in force")
	decoded.Removed = nil
	_, err = decoded.Apply(base)
	c.Assert(err, qt.ErrorMatches, ".*differs from its digest")
}

// Guards against the use of a part that was damaged in transit.
func TestDamagedPartIsRefused(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(3)).Err, qt.IsNil)
	digest := s.head.Parts[0].Digest
	s.parts[digest] = append(s.parts[digest], ' ')
	var current Current
	_, err := current.Update(s.head, s.parts)
	c.Assert(err, qt.ErrorMatches, ".*differs from its digest.*")
}

// Guards against a part missing from the store that blocks all further publishes,
// and against a new head that refers to the missing part.
func TestPublishWritesLostPartsAgain(t *testing.T) {
	c := qt.New(t)
	s := &fakeStore{parts: Parts{}}
	c.Assert(s.publish("a", largeSet(3)).Err, qt.IsNil)
	ref := s.head.Parts[0]
	delete(s.parts, ref.Digest)
	done := s.publish("b", largeSet(4))
	c.Assert(done.Err, qt.IsNil)
	text := done.Result.Difference.Text()
	c.Assert(text, qt.Contains, "added organisation organisation-00003\n")
	c.Assert(text, qt.Contains, "unknown part "+string(ref.Name)+", which is lost from the store\n")
	var current Current
	_, err := current.Update(s.head, s.parts)
	c.Assert(err, qt.IsNil)
	c.Assert(Compare(largeSet(4), current.Set()), qt.HasLen, 0)
}
