package claim

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "github.com/coltsfootdrift/coltsfootdrift/internal/fixedseed"
)

// storeModel holds the stored segments of one shard and the claims that the written
// records imply, computed without Shard.
type storeModel struct {
	segments map[uint64]Segment
	version  int64
	now      time.Time
	claims   map[ID]modelClaim
}

// modelClaim is the claim of a key in a storeModel.
type modelClaim struct {
	token    Token
	finished bool
	expires  time.Time
}

func (model *storeModel) list(from uint64) (list []Segment) {
	for number, segment := range model.segments {
		if number >= from {
			list = append(list, segment)
		}
	}
	slices.SortFunc(list, func(a, b Segment) int { return int(a.Number) - int(b.Number) })
	return list
}

func (model *storeModel) compareAndSwap(write Write) bool {
	if model.segments[write.Segment.Number].Version != write.ExpectedVersion {
		return false
	}
	model.version++
	write.Segment.Version = model.version
	model.segments[write.Segment.Number] = write.Segment
	return true
}

// check fails the test if the model doesn't allow a decision that holds now, and
// applies the decision to the model.
func (model *storeModel) check(t *rapid.T, op Op, decision Decision) {
	current, ok := model.claims[op.ID]
	ok = ok && current.expires.After(model.now)
	own := ok && current.token == op.Token
	allowed := false
	switch decision.Verdict {
	case Granted:
		allowed = !ok || own && !current.finished
		if !ok {
			model.claims[op.ID] = modelClaim{token: op.Token, expires: model.now.Add(op.Retention)}
		}
	case Running:
		allowed = ok && !own && !current.finished && decision.Token == current.token
	case AlreadyFinished:
		allowed = ok && current.finished && decision.Token == current.token
	case NotHeld:
		allowed = !own || op.Kind == OpRelease && current.finished
	case Done:
		allowed = own || op.Kind == OpRelease
		if op.Kind == OpRelease && own {
			delete(model.claims, op.ID)
		} else if op.Kind == OpFinish && !current.finished {
			model.claims[op.ID] = modelClaim{token: op.Token, finished: true, expires: model.now.Add(op.Retention)}
		}
	case TokenReleased:
		allowed = true
	}
	if !allowed {
		t.Fatalf("verdict %d on operation %d, but the key has %+v (live: %v)", decision.Verdict, op.Kind, current, ok)
	}
}

// Guards against a key that is granted twice, a lost record, and an index that
// differs from the chain. Several appenders with outdated state write to one chain,
// results of writes are lost, and segments are sealed, expire and are deleted.
func TestAppendersWithOutdatedStateKeepClaimsUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &storeModel{segments: map[uint64]Segment{}, now: time.Unix(1000, 0), claims: map[ID]modelClaim{}}
		shards := []*Shard{NewShard(), NewShard(), NewShard()}
		loadedAt := map[*Shard]time.Time{}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			shard := rapid.SampledFrom(shards).Draw(t, "shard")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				shard.Reset()
			}
			// An adapter reloads its state when it is 10 s old.
			if model.now.Sub(loadedAt[shard]) >= 10*time.Second || shard.TailNumber() == 0 || rapid.Bool().Draw(t, "refresh") {
				loadedAt[shard] = model.now
				if shard.Load(model.list(shard.TailNumber())) != nil {
					shard.Reset()
					if err := shard.Load(model.list(0)); err != nil {
						t.Fatal(err)
					}
				}
				if oldest, ok := shard.ExpiredSegment(model.now); ok && model.segments[oldest.Number].Version == oldest.Version {
					delete(model.segments, oldest.Number)
					shard.SegmentDeleted(oldest.Number)
				}
			}
			ops := drawOps(t)
			write, decisions := shard.PrepareAppend(model.now, ops)
			if write.Records == 0 {
				if stored := model.list(0); len(stored) > 0 && stored[len(stored)-1].Version == shard.TailVersion() {
					model.checkAll(t, ops, decisions)
				}
				continue
			}
			if !model.compareAndSwap(write) {
				continue
			}
			model.checkAll(t, ops, decisions)
			if rapid.Bool().Draw(t, "answer arrives") {
				shard.CommitWrite(model.version)
			}
			model.now = model.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 30, 60}).Draw(t, "seconds")) * time.Second)
		}
	})
}

func (model *storeModel) checkAll(t *rapid.T, ops []Op, decisions []Decision) {
	for i, decision := range decisions {
		model.check(t, ops[i], decision)
	}
}

func drawOps(t *rapid.T) []Op {
	ops := make([]Op, rapid.IntRange(1, 12).Draw(t, "ops"))
	for i := range ops {
		ops[i] = Op{
			Kind:  OpKind(rapid.IntRange(1, 3).Draw(t, "kind")),
			ID:    ID{0, byte(rapid.IntRange(1, 3).Draw(t, "key"))},
			Token: Token{byte(rapid.IntRange(1, 12).Draw(t, "token"))},
			// A long name fills a segment with few operations.
			Holder:    strings.Repeat("h", 8<<10),
			Retention: 2 * time.Minute,
		}
		if ops[i].Kind == OpFinish {
			ops[i].Outcome = "completed"
		}
	}
	return ops
}

// Guards against an answer that is recorded for another token, and against a
// finish that can't be read after the segment with its claim was deleted.
func TestFinishIsReadableWithoutItsClaim(t *testing.T) {
	c := qt.New(t)
	s, now := NewShard(), time.Unix(1000, 0)
	op := Op{Kind: OpClaim, ID: ID{1}, Token: Token{1}, BodySHA256: Digest{1}, Holder: "a", Retention: time.Hour}
	s.PrepareAppend(now, []Op{op})
	s.CommitWrite(1)
	op.Kind, op.Outcome, op.Answer = OpFinish, "completed", []byte("x")
	write, _ := s.PrepareAppend(now, []Op{op})
	stored, err := decodeSegment(write.Segment)
	c.Assert(err, qt.IsNil)
	stored.Records = stored.Records[1:]
	alone := Segment{Number: 7, Version: 9, Data: mustEncodeSegment(stored)}
	rebuilt := NewShard()
	c.Assert(rebuilt.Load([]Segment{alone}), qt.IsNil)
	_, decisions := rebuilt.PrepareAppend(now, []Op{{Kind: OpClaim, ID: ID{1}, Token: Token{2}, BodySHA256: Digest{1}, Retention: time.Hour}})
	c.Assert(decisions[0], qt.DeepEquals, Decision{Verdict: AlreadyFinished, Holder: "a", Token: Token{1}, Outcome: "completed", Segment: 7})
	answer, ok, err := FindAnswer(alone, Token{1})
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(string(answer.Body), qt.Equals, "x")
}

// Guards against a claim that reaches the appender after the release of its token
// and is granted.
func TestDelayedClaimAfterItsReleaseIsNotGranted(t *testing.T) {
	c := qt.New(t)
	s, now := NewShard(), time.Unix(1000, 0)
	release := Op{Kind: OpRelease, ID: ID{1}, Token: Token{1}, Retention: time.Hour}
	write, _ := s.PrepareAppend(now, []Op{release})
	c.Assert(write.Records, qt.Equals, 1)
	s.CommitWrite(1)
	_, decisions := s.PrepareAppend(now, []Op{{Kind: OpClaim, ID: ID{1}, Token: Token{1}, Retention: time.Hour}})
	c.Assert(decisions[0].Verdict, qt.Equals, TokenReleased)
}

// Guards against a chain whose segment numbers start again at 1: an instance that
// has loaded the last sealed segment would continue after it, beside the new chain.
func TestNewestSegmentIsKept(t *testing.T) {
	c := qt.New(t)
	s, now := NewShard(), time.Unix(1000, 0)
	for i := range byte(2) {
		claim := Op{Kind: OpClaim, ID: ID{1, i}, Token: Token{i}, Holder: strings.Repeat("h", SealSegmentBytes), Retention: time.Second}
		s.PrepareAppend(now, []Op{claim})
		s.CommitWrite(int64(i) + 1)
	}
	now = now.Add(time.Hour)
	oldest, ok := s.ExpiredSegment(now)
	c.Assert(ok, qt.IsTrue)
	s.SegmentDeleted(oldest.Number)
	_, ok = s.ExpiredSegment(now)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.TailNumber(), qt.Equals, uint64(2))
}
