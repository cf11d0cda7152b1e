// Package claim decides on at-most-once claims. The claims of a shard are a
// chain of segments in the store; a Shard holds their index in memory and
// prepares the next write. It does no I/O.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Shards is the number of shards. It is part of the stored form.
const Shards = 16

// Prefix starts the store keys of all claims.
const Prefix = "claim/"

// MaxInlineAnswerBytes is the size up to which an answer is stored whole.
const MaxInlineAnswerBytes = 4 << 10

// ID is the digest of what a claim is scoped by.
type ID [16]byte

// Token is the random name of an attempt.
type Token [16]byte

// Digest is a SHA-256.
type Digest [sha256.Size]byte

// NewID returns the ID of an idempotency key. Each part is preceded by its
// length, so that no two scopes have the same encoding.
func NewID(organisation, pipeline, kind, key string) ID {
	var scope []byte
	for _, part := range []string{organisation, pipeline, kind, key} {
		scope = binary.AppendUvarint(scope, uint64(len(part)))
		scope = append(scope, part...)
	}
	sum := sha256.Sum256(scope)
	return ID(sum[:16])
}

// Shard returns the shard that holds the ID.
func (id ID) Shard() int {
	return int(id[0]) % Shards
}

// OpKind tells what an operation does to a claim.
type OpKind int

// Kinds of operations.
const (
	// OpClaim reserves a key.
	OpClaim OpKind = iota + 1
	// OpFinish records the outcome.
	OpFinish
	// OpRelease frees the key.
	OpRelease
)

// Op is one operation on a claim. Repeating it with the same token is safe.
type Op struct {
	Kind  OpKind
	ID    ID
	Token Token
	// BodySHA256 is the digest of the caller's body.
	BodySHA256 Digest
	// Holder is the instance that runs the attempt.
	Holder string
	// Retention is how long the key is kept after this record.
	Retention time.Duration
	// Outcome is set on OpFinish, and Answer when it is short.
	Outcome      string
	Answer       []byte
	AnswerSHA256 Digest
}

// Verdict is the kind of a Decision.
type Verdict int

// Verdicts.
const (
	// Granted means that the token holds the claim.
	Granted Verdict = iota + 1
	// AlreadyFinished means that an earlier attempt finished; its record is in Segment.
	AlreadyFinished
	// Running means that Holder runs an attempt under Token.
	Running
	// BodyMismatch means that the key was used with another body.
	BodyMismatch
	// TokenReleased means that the token was released before it could be claimed.
	TokenReleased
	// Done means that a finish or release is recorded.
	Done
	// NotHeld means that the token does not hold the claim any more.
	NotHeld
)

// Decision is the result of one operation.
type Decision struct {
	Verdict Verdict
	Holder  string
	Token   Token
	Outcome string
	// Segment holds the record of a finished claim.
	Segment uint64
}

// SegmentKey returns the store key of a segment. Keys sort by number.
func SegmentKey(shard int, number uint64) string {
	return fmt.Sprintf("%s%012d", ShardPrefix(shard), number)
}

// ShardPrefix returns the start of the store keys of a shard's segments.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%02d/", Prefix, shard)
}

// SegmentNumber returns the number in a segment's key.
func SegmentNumber(key string) (uint64, error) {
	number, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("claim segment key %q: %w", key, err)
	}
	return number, nil
}
