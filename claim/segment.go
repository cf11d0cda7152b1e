package claim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Sizes of stored values. A segment is rewritten by each append, so a small one
// keeps the bytes sent low, and a large one the number of segments.
const (
	// SealSegmentBytes is the size at which a segment is sealed.
	SealSegmentBytes = 16 << 10
	// MaxBatchBytes bounds the records of one append. A full segment and a batch
	// stay below the store's limit of 1 MB.
	MaxBatchBytes = 256 << 10
)

// sealEncoding is the encoding of a segment that holds the seal alone.
var sealEncoding = protowire.AppendVarint(protowire.AppendTag(nil, sealedField, protowire.VarintType), 1)

// sealedField is the number of the field sealed in claim.proto.
const sealedField = 2

// Segment is one stored value of the chain.
type Segment struct {
	Number uint64
	// Version is the store's version of the value.
	Version int64
	Data    []byte
}

func mustEncodeSegment(segment *StoredSegment) []byte {
	data, err := proto.Marshal(segment)
	if err != nil {
		// Only invalid UTF-8 in a string field is refused.
		panic("claim: encode segment: " + err.Error())
	}
	return data
}

func decodeSegment(segment Segment) (*StoredSegment, error) {
	var stored StoredSegment
	if err := proto.Unmarshal(segment.Data, &stored); err != nil {
		return nil, fmt.Errorf("claim segment %d: %w", segment.Number, err)
	}
	return &stored, nil
}

// newStoredRecord returns the stored form of an operation.
func newStoredRecord(op Op, now time.Time) *StoredRecord {
	stored := &StoredRecord{
		Op:          RecordOp(op.Kind),
		Id:          op.ID[:],
		Token:       op.Token[:],
		AtMs:        now.UnixMilli(),
		RetentionMs: op.Retention.Milliseconds(),
	}
	if op.Kind == OpRelease {
		return stored
	}
	// A finish repeats body and holder, because the segment with the claim may be
	// deleted before it.
	stored.Body = op.BodySHA256[:]
	stored.Holder = op.Holder
	if op.Kind == OpFinish {
		stored.Outcome = op.Outcome
		stored.Answer = op.Answer
		stored.AnswerSha256 = op.AnswerSHA256[:]
	}
	return stored
}

// Answer is the record of a finished claim.
type Answer struct {
	Outcome string
	// Body is the whole answer; nil when only its digest is recorded.
	Body   []byte
	SHA256 Digest
}

// FindAnswer returns the recorded answer of a token from its segment.
func FindAnswer(segment Segment, token Token) (Answer, bool, error) {
	stored, err := decodeSegment(segment)
	if err != nil {
		return Answer{}, false, err
	}
	for _, r := range stored.Records {
		if r.Op == RecordOp_RECORD_OP_FINISH && Token(r.Token) == token {
			return Answer{Outcome: r.Outcome, Body: r.Answer, SHA256: Digest(r.AnswerSha256)}, true, nil
		}
	}
	return Answer{}, false, nil
}

// valid reports whether the fixed-size fields have their sizes.
func (r *StoredRecord) valid() bool {
	if len(r.Id) != len(ID{}) || len(r.Token) != len(Token{}) {
		return false
	}
	switch r.Op {
	case RecordOp_RECORD_OP_RELEASE:
		return true
	case RecordOp_RECORD_OP_CLAIM:
		return len(r.Body) == len(Digest{})
	case RecordOp_RECORD_OP_FINISH:
		return len(r.Body) == len(Digest{}) && len(r.AnswerSha256) == len(Digest{})
	}
	return false
}

// EncodeOp returns an operation in the form of a record, for other instances.
func EncodeOp(op Op) ([]byte, error) {
	return proto.Marshal(newStoredRecord(op, time.UnixMilli(0)))
}

// DecodeOp reads what EncodeOp returned.
func DecodeOp(data []byte) (Op, error) {
	var r StoredRecord
	if err := proto.Unmarshal(data, &r); err != nil {
		return Op{}, fmt.Errorf("claim operation: %w", err)
	}
	if !r.valid() {
		return Op{}, fmt.Errorf("claim operation %v has fields of a wrong size", r.Op)
	}
	op := Op{
		Kind: OpKind(r.Op), ID: ID(r.Id), Token: Token(r.Token), Holder: r.Holder,
		Retention: time.Duration(r.RetentionMs) * time.Millisecond, Outcome: r.Outcome, Answer: r.Answer,
	}
	copy(op.BodySHA256[:], r.Body)
	copy(op.AnswerSHA256[:], r.AnswerSha256)
	return op, nil
}
