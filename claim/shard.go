package claim

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// ErrGap reports segments that do not continue what the shard has loaded. The
// adapter resets the shard and loads all segments.
var ErrGap = errors.New("claim segments do not continue the loaded chain")

// DeletionMargin is how long a segment outlives its last record, so that clocks
// of instances that differ by less do not matter.
const DeletionMargin = time.Minute

// indexEntry is the index entry of a key. It has no pointers, so that the garbage
// collector does not scan the index.
type indexEntry struct {
	token      Token
	bodySHA256 Digest
	expires    int64 // milliseconds since 1970
	segment    uint64
	holder     nameIndex
	outcome    nameIndex // noName while the attempt runs
}

// segmentInfo is what the shard knows of a stored segment.
type segmentInfo struct {
	number  uint64
	version int64
	expires int64 // milliseconds since 1970, of the last record to expire
	records int
	sealed  bool
}

// Shard is the index of one shard's claims and the state of its chain. Times are
// of the wall clock, because records outlive processes. It is not safe for
// concurrent use.
type Shard struct {
	index map[ID]indexEntry
	// releasedTokens holds the tokens of releases until they expire, so that a delayed
	// claim with such a token is not granted.
	releasedTokens map[Token]int64
	names          nameTable
	segments       []segmentInfo
	tailData       []byte
	orphans        []Segment
	pending        *pendingWrite
}

// pendingWrite is a write that was handed out and not settled.
type pendingWrite struct {
	write   Write
	overlay *overlay
	expires int64
}

// NewShard returns a shard without segments.
func NewShard() *Shard {
	s := &Shard{}
	s.Reset()
	return s
}

// Reset forgets everything.
func (s *Shard) Reset() {
	*s = Shard{index: map[ID]indexEntry{}, releasedTokens: map[Token]int64{}}
}

// Len returns the number of keys in the index.
func (s *Shard) Len() int { return len(s.index) }

// TailNumber returns the number of the newest segment, 0 for none.
func (s *Shard) TailNumber() uint64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.tail().number
}

// TailVersion returns the store's version of the newest segment, 0 for none.
func (s *Shard) TailVersion() int64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.tail().version
}

func (s *Shard) tail() *segmentInfo {
	return &s.segments[len(s.segments)-1]
}

// Write is a compare-and-swap of one segment.
type Write struct {
	Segment Segment
	// ExpectedVersion is the version to replace, 0 to create the segment.
	ExpectedVersion int64
	Records         int
	sealed          bool
}

// PrepareAppend decides on operations in order and prepares one write with the records
// they need. The decisions hold once the write succeeded; a write without
// records needs none, but its decisions hold only if the tail has not changed.
// It takes as many operations as BatchBytes allows, at least one.
func (s *Shard) PrepareAppend(now time.Time, ops []Op) (Write, []Decision) {
	over := newOverlay(s)
	var added StoredSegment
	var decisions []Decision
	size := 0
	number, expect, data := s.nextSegment()
	expires := int64(0)
	for _, op := range ops {
		decision, needed := over.decide(now, op)
		if needed {
			r := newStoredRecord(op, now)
			if size += proto.Size(r); size > MaxBatchBytes && len(decisions) > 0 {
				break
			}
			over.apply(r, number)
			added.Records = append(added.Records, r)
			expires = max(expires, r.AtMs+r.RetentionMs)
		}
		decisions = append(decisions, decision)
	}
	write := Write{ExpectedVersion: expect, Records: len(added.Records)}
	data = append(data[:len(data):len(data)], mustEncodeSegment(&added)...)
	if len(data) >= SealSegmentBytes {
		data = append(data, sealEncoding...)
		write.sealed = true
	}
	write.Segment = Segment{Number: number, Data: data}
	s.pending = &pendingWrite{write: write, overlay: over, expires: expires}
	return write, decisions
}

// nextSegment returns the segment that the nextSegment append writes.
func (s *Shard) nextSegment() (number uint64, expect int64, data []byte) {
	if len(s.segments) == 0 {
		return 1, 0, nil
	}
	if tail := s.tail(); !tail.sealed {
		return tail.number, tail.version, s.tailData
	}
	return s.tail().number + 1, 0, nil
}

// CommitWrite settles the write of the last Append, which has the given version.
func (s *Shard) CommitWrite(version int64) {
	p := s.pending
	s.pending = nil
	p.overlay.commit()
	if s.TailNumber() != p.write.Segment.Number {
		s.segments = append(s.segments, segmentInfo{number: p.write.Segment.Number})
	}
	tail := s.tail()
	tail.version = version
	tail.records += p.write.Records
	tail.sealed = p.write.sealed
	tail.expires = max(tail.expires, p.expires)
	s.tailData = p.write.Segment.Data
}

// Load takes segments in order. The first call takes all segments of the store,
// later ones the segments from Tail on. It returns ErrGap when they do not
// continue the chain. Segments before a gap in the numbers, or not sealed although
// others follow, are orphans: writes of an instance that woke up after its segment had been
// deleted.
func (s *Shard) Load(segments []Segment) error {
	s.pending = nil
	stored := make([]*StoredSegment, len(segments))
	for i, segment := range segments {
		var err error
		if stored[i], err = decodeSegment(segment); err != nil {
			return err
		}
	}
	first := 0
	if len(s.segments) == 0 {
		first = chainStart(segments, stored)
		s.orphans = segments[:first]
	} else if len(segments) == 0 || segments[0].Number != s.TailNumber() {
		return ErrGap
	}
	for i, segment := range segments[first:] {
		if err := s.load(segment, stored[first+i]); err != nil {
			return err
		}
	}
	return nil
}

// chainStart returns the position of the first segment of the chain: from there
// on the numbers have no gap and every segment but the last is sealed.
func chainStart(segments []Segment, stored []*StoredSegment) int {
	for i := len(segments) - 1; i > 0; i-- {
		if segments[i].Number != segments[i-1].Number+1 || !stored[i-1].Sealed {
			return i
		}
	}
	return 0
}

func (s *Shard) load(segment Segment, stored *StoredSegment) error {
	if len(s.segments) == 0 || s.tail().sealed && segment.Number == s.tail().number+1 {
		s.segments = append(s.segments, segmentInfo{number: segment.Number})
	}
	tail := s.tail()
	if segment.Number != tail.number || len(stored.Records) < tail.records {
		return ErrGap
	}
	for _, r := range stored.Records[tail.records:] {
		if !r.valid() {
			return fmt.Errorf("claim segment %d has an invalid record", segment.Number)
		}
		s.apply(r, segment.Number)
		tail.expires = max(tail.expires, r.AtMs+r.RetentionMs)
	}
	tail.records = len(stored.Records)
	tail.version = segment.Version
	tail.sealed = stored.Sealed
	s.tailData = segment.Data
	return nil
}

// Orphans returns segments that are not part of the chain and may be deleted.
func (s *Shard) Orphans() []Segment { return s.orphans }

// ExpiredSegment returns the oldest segment if all its records have expired. The newest
// segment is kept, because it holds the number that the chain has reached.
func (s *Shard) ExpiredSegment(now time.Time) (Segment, bool) {
	if len(s.segments) < 2 {
		return Segment{}, false
	}
	oldest := s.segments[0]
	if oldest.expires+DeletionMargin.Milliseconds() > now.UnixMilli() {
		return Segment{}, false
	}
	return Segment{Number: oldest.number, Version: oldest.version}, true
}

// SegmentDeleted reports that the oldest segment is gone, if it has the given number.
func (s *Shard) SegmentDeleted(number uint64) {
	if len(s.segments) > 1 && s.segments[0].number == number {
		s.segments = s.segments[1:]
	}
}

// PurgeExpired drops expired keys from memory.
func (s *Shard) PurgeExpired(now time.Time) {
	for id, entry := range s.index {
		if entry.expires <= now.UnixMilli() {
			delete(s.index, id)
		}
	}
	for token, expires := range s.releasedTokens {
		if expires <= now.UnixMilli() {
			delete(s.releasedTokens, token)
		}
	}
}
