package claim

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
)

// ErrGap reports that the segments passed to Load don't continue the chain that the
// shard has loaded. The adapter then resets the shard and loads all segments.
var ErrGap = errors.New("claim segments do not continue the loaded chain")

// DeletionMargin is how long a segment is kept after its last record has expired.
// It tolerates clocks of instances that differ by less.
const DeletionMargin = time.Minute

// indexEntry is the entry of a claim in the index. It has no pointers, so that the
// garbage collector doesn't scan the index.
type indexEntry struct {
	token      Token
	bodySHA256 Digest
	expiresMS  int64 // Unix time in milliseconds
	segment    uint64
	holder     nameIndex
	outcome    nameIndex // noName until the attempt finishes
}

// segmentInfo describes a stored segment of the chain.
type segmentInfo struct {
	number    uint64
	version   int64
	expiresMS int64 // when its last record expires, Unix time in milliseconds
	records   int
	sealed    bool
}

// Shard is the index of one shard's claims and the state of its chain. Times are
// read from the wall clock, because records outlive processes. It is not safe for
// concurrent use.
type Shard struct {
	index map[ID]indexEntry
	// releasedTokens holds the tokens of releases with their expiry (Unix time in
	// milliseconds), so that a delayed claim with such a token is not granted.
	releasedTokens map[Token]int64
	names          nameTable
	// segments describes the segments of the chain, oldest first. The newest one is the
	// tail, and tailData is its stored value.
	segments []segmentInfo
	tailData []byte
	orphans  []Segment
	pending  *pendingWrite
}

// pendingWrite is a write that PrepareAppend returned and that is not committed yet.
type pendingWrite struct {
	write     Write
	overlay   *overlay
	expiresMS int64
}

// NewShard returns a shard without segments.
func NewShard() *Shard {
	s := &Shard{}
	s.Reset()
	return s
}

// Reset drops the index and the chain, as in a new shard.
func (s *Shard) Reset() {
	*s = Shard{index: map[ID]indexEntry{}, releasedTokens: map[Token]int64{}}
}

// Len returns the number of claims in the index.
func (s *Shard) Len() int { return len(s.index) }

// TailNumber returns the number of the newest segment, or 0 without segments.
func (s *Shard) TailNumber() uint64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.tail().number
}

// TailVersion returns the store's version of the newest segment, or 0 without
// segments.
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
	// ExpectedVersion is the version to replace, or 0 to create the segment.
	ExpectedVersion int64
	Records         int
	sealed          bool
}

// PrepareAppend decides on operations in order and prepares one write with their
// records. It returns a decision for each operation that it took: as many as
// MaxBatchBytes allows, at least one. The decisions hold once the write has
// succeeded. A write without records need not be carried out, but its decisions
// hold only if the newest segment has not changed in the store.
func (s *Shard) PrepareAppend(now time.Time, ops []Op) (Write, []Decision) {
	changes := newOverlay(s)
	var added StoredSegment
	var decisions []Decision
	size := 0
	number, expectedVersion, data := s.nextSegment()
	expiresMS := int64(0)
	for _, op := range ops {
		decision, needsRecord := changes.decide(now, op)
		if needsRecord {
			r := newStoredRecord(op, now)
			if size += proto.Size(r); size > MaxBatchBytes && len(decisions) > 0 {
				break
			}
			changes.apply(r, number)
			added.Records = append(added.Records, r)
			expiresMS = max(expiresMS, r.AtMs+r.RetentionMs)
		}
		decisions = append(decisions, decision)
	}
	write := Write{ExpectedVersion: expectedVersion, Records: len(added.Records)}
	data = append(data[:len(data):len(data)], mustEncodeSegment(&added)...)
	if len(data) >= SealSegmentBytes {
		data = append(data, sealEncoding...)
		write.sealed = true
	}
	write.Segment = Segment{Number: number, Data: data}
	s.pending = &pendingWrite{write: write, overlay: changes, expiresMS: expiresMS}
	return write, decisions
}

// nextSegment returns the number, the expected version and the current data of the
// segment that the next append writes.
func (s *Shard) nextSegment() (number uint64, expectedVersion int64, data []byte) {
	if len(s.segments) == 0 {
		return 1, 0, nil
	}
	if tail := s.tail(); !tail.sealed {
		return tail.number, tail.version, s.tailData
	}
	return s.tail().number + 1, 0, nil
}

// CommitWrite reports that the write of the last PrepareAppend succeeded and that
// the segment now has the given version. It applies the changes to the shard.
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
	tail.expiresMS = max(tail.expiresMS, p.expiresMS)
	s.tailData = p.write.Segment.Data
}

// Load loads stored segments, which are sorted by number. The first call takes all
// segments of the shard, later calls those from TailNumber on. It returns ErrGap if
// they don't continue the chain. Segments up to a gap in the numbers, or up to one
// that is not sealed although others follow, are orphans: an instance that was
// paused wrote them after its segment had been deleted.
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
		tail.expiresMS = max(tail.expiresMS, r.AtMs+r.RetentionMs)
	}
	tail.records = len(stored.Records)
	tail.version = segment.Version
	tail.sealed = stored.Sealed
	s.tailData = segment.Data
	return nil
}

// Orphans returns the segments of the first Load that are not part of the chain and
// may be deleted.
func (s *Shard) Orphans() []Segment { return s.orphans }

// ExpiredSegment returns the oldest segment if all its records have expired. The
// newest segment never expires, because it holds the number that the chain has
// reached.
func (s *Shard) ExpiredSegment(now time.Time) (Segment, bool) {
	if len(s.segments) < 2 {
		return Segment{}, false
	}
	oldest := s.segments[0]
	if oldest.expiresMS+DeletionMargin.Milliseconds() > now.UnixMilli() {
		return Segment{}, false
	}
	return Segment{Number: oldest.number, Version: oldest.version}, true
}

// SegmentDeleted reports that a segment was deleted from the store. It drops the
// oldest segment if that has the given number.
func (s *Shard) SegmentDeleted(number uint64) {
	if len(s.segments) > 1 && s.segments[0].number == number {
		s.segments = s.segments[1:]
	}
}

// PurgeExpired drops expired claims and released tokens from memory.
func (s *Shard) PurgeExpired(now time.Time) {
	for id, entry := range s.index {
		if entry.expiresMS <= now.UnixMilli() {
			delete(s.index, id)
		}
	}
	for token, expiresMS := range s.releasedTokens {
		if expiresMS <= now.UnixMilli() {
			delete(s.releasedTokens, token)
		}
	}
}
