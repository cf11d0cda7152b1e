// Package claim decides on claims of idempotency keys, which make requests run at
// most once. The claims of a shard are stored as a chain of segments, an
// append-only log. A Shard holds the index of the claims in memory and prepares
// the next write to the chain. The package does no I/O; its adapter, package
// internal/claims, reads and writes the store.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Shards is the number of shards. It determines the keys in the store and can't
// change while claims are stored.
const Shards = 16

// Prefix starts the store keys of all segments.
const Prefix = "claim/"

// MaxInlineAnswerBytes is the size up to which an answer is stored in full. Of a
// larger answer only the digest is stored.
const MaxInlineAnswerBytes = 4 << 10

// ID identifies a claim: the truncated SHA-256 of its idempotency key and the scope
// of the key.
type ID [16]byte

// Token is the random ID of an attempt.
type Token [16]byte

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// NewID returns the ID of an idempotency key in its scope. Each part is preceded by
// its length before it is hashed, so that no two scopes have the same encoding.
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

// OpKind is the kind of an operation on a claim.
type OpKind int

// Kinds of operations.
const (
	// OpClaim claims a key for an attempt.
	OpClaim OpKind = iota + 1
	// OpFinish records the outcome of the attempt.
	OpFinish
	// OpRelease releases the key without an outcome.
	OpRelease
)

// Op is one operation on a claim. It is idempotent: repeating it with the same
// token is safe.
type Op struct {
	Kind  OpKind
	ID    ID
	Token Token
	// BodySHA256 is the digest of the request body.
	BodySHA256 Digest
	// Holder is the instance that runs the attempt.
	Holder string
	// Retention is how long the key is kept after this record.
	Retention time.Duration
	// Outcome and AnswerSHA256 are set on OpFinish, as is Answer if it has at most
	// MaxInlineAnswerBytes.
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
	// AlreadyFinished means that an attempt has finished; its record is in Segment.
	AlreadyFinished
	// Running means that Holder runs another attempt under Token.
	Running
	// BodyMismatch means that the key was used with another body.
	BodyMismatch
	// TokenReleased means that the token was released and can no longer claim the key.
	TokenReleased
	// Done means that the finish or release is recorded.
	Done
	// NotHeld means that the token no longer holds the claim or, on a release, that
	// the claim is already finished.
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

// ShardPrefix returns the prefix of the store keys of a shard's segments.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%02d/", Prefix, shard)
}

// SegmentNumber returns the number of a segment from its store key.
func SegmentNumber(key string) (uint64, error) {
	number, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("claim segment key %q: %w", key, err)
	}
	return number, nil
}
