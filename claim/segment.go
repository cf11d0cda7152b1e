package claim

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Sizes of stored values. Each append rewrites the whole newest segment: small
// segments reduce the bytes sent, large ones reduce the number of segments.
const (
	// SealSegmentBytes is the size from which a segment is sealed.
	SealSegmentBytes = 16 << 10
	// MaxBatchBytes bounds the records of one append. A segment that is nearly full
	// and a batch together stay below the store's limit of 1 MB for a value.
	MaxBatchBytes = 256 << 10
)

// sealEncoding is the encoding of a StoredSegment in which only the field sealed is
// set. Appended to an encoded segment, it seals the segment.
var sealEncoding = protowire.AppendVarint(protowire.AppendTag(nil, sealedField, protowire.VarintType), 1)

// sealedField is the number of the field StoredSegment.sealed in claim.proto.
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
		// Only invalid UTF-8 in a string field makes Marshal fail.
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

// newStoredRecord returns the record to store for an operation at a time.
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
	// A finish repeats the body's digest and the holder, because the segment with
	// the claim may be deleted before the one with the finish.
	stored.Body = op.BodySHA256[:]
	stored.Holder = op.Holder
	if op.Kind == OpFinish {
		stored.Outcome = op.Outcome
		stored.Answer = op.Answer
		stored.AnswerSha256 = op.AnswerSHA256[:]
	}
	return stored
}

// Answer is the recorded answer of a finished claim.
type Answer struct {
	Outcome string
	// Body is the answer in full, or nil if only its digest is recorded.
	Body   []byte
	SHA256 Digest
}

// FindAnswer returns the recorded answer of a token from a segment, and whether the
// segment has one.
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

// valid reports whether the operation is known and its fixed-size fields have the
// right length.
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

// EncodeOp encodes an operation for another instance, in the form of a record.
func EncodeOp(op Op) ([]byte, error) {
	return proto.Marshal(newStoredRecord(op, time.UnixMilli(0)))
}

// DecodeOp decodes an operation that EncodeOp encoded.
func DecodeOp(data []byte) (Op, error) {
	var r StoredRecord
	if err := proto.Unmarshal(data, &r); err != nil {
		return Op{}, fmt.Errorf("claim operation: %w", err)
	}
	if !r.valid() {
		return Op{}, fmt.Errorf("claim operation %v is unknown or has a field of the wrong length", r.Op)
	}
	op := Op{
		Kind: OpKind(r.Op), ID: ID(r.Id), Token: Token(r.Token), Holder: r.Holder,
		Retention: time.Duration(r.RetentionMs) * time.Millisecond, Outcome: r.Outcome, Answer: r.Answer,
	}
	copy(op.BodySHA256[:], r.Body)
	copy(op.AnswerSHA256[:], r.AnswerSha256)
	return op, nil
}
