// Package job decides on durable jobs: the content of a job's record, which
// instance may write it, and when another instance takes the job over. It does no
// I/O; its adapter, package internal/jobs, reads and writes the store.
package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of shards of the jobs in the store.
const Shards = 16

// Prefixes of store keys.
const (
	// RecordPrefix starts the keys of the records of unfinished jobs:
	// job/<shard>/<id>.
	RecordPrefix = "job/"
	// ResultPrefix starts the keys of bodies, stage results, answers and the records
	// of finished jobs. It is separate from RecordPrefix, so that a scan for jobs to
	// take over reads none of them.
	ResultPrefix = "jobresult/"
	// HolderPrefix starts the keys that instances write under their lease. The
	// version of such a key is the fencing token of the instance.
	HolderPrefix = "jobholder/"
)

// PieceBytes is the size of the pieces into which a value is split.
const PieceBytes = 512 << 10

const (
	// MaxRuns bounds how often a job is started without an end that does no harm. Without
	// it, a job that crashes its instance, or the backend servers, would be taken over by,
	// and crash, one after the other.
	MaxRuns = 5
	// MaxRetryPeriod is how long after its acceptance a job is run again after runs that
	// ended without effect, for example because of servers that fail. Accepted work may
	// wait but is not given up before.
	MaxRetryPeriod = 24 * time.Hour
)

// State is the state of a job.
type State string

// States of a job.
const (
	StateAccepted State = "accepted"
	StateFinished State = "finished"
)

// Value describes a body or result that is stored in pieces.
type Value struct {
	// Name is the name of the stage, or BodyName or AnswerName.
	Name string `json:"name"`
	// FencingToken is that of the holder that wrote the value. It is part of the key
	// of a piece, so that two holders never write the same key.
	FencingToken int64 `json:"fence"`
	// Run is the run of the job that wrote the value, as a later run may have
	// another result.
	Run    int    `json:"run"`
	Pieces int    `json:"pieces"`
	Bytes  int    `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// Names of values that are not stage results. Stage names have no leading dot.
const (
	BodyName   = ".body"
	AnswerName = ".answer"
	// finishedName names the record of a finished job. It sorts before the names of
	// all values.
	finishedName = "!end"
)

// Record is the stored state of a job.
type Record struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Pipeline     string `json:"pipeline"`
	Kind         string `json:"kind"`
	Body         Value  `json:"body"`
	State        State  `json:"state"`
	// Holder is the instance that runs the job, under FencingToken. It is empty after
	// a handover.
	Holder       string `json:"holder,omitempty"`
	FencingToken int64  `json:"fence,omitempty"`
	// Runs counts how often the job was started. Runs that a handover ended are not
	// counted.
	Runs int `json:"runs"`
	// EndedRuns is how many of these runs ended without effect and without harm.
	EndedRuns int `json:"ended_runs,omitempty"`
	// Stages are the finished stages.
	Stages []Value `json:"stages,omitempty"`
	// NonIdempotentSent is set before the first non-idempotent call is sent.
	NonIdempotentSent bool `json:"once_sent,omitempty"`
	// Outcome, Detail, Answer and FinishedMS are set when the job finishes. Times
	// are Unix times in milliseconds.
	Outcome     string `json:"outcome,omitempty"`
	Detail      string `json:"detail,omitempty"`
	Answer      Value  `json:"answer,omitzero"`
	CreatedMS   int64  `json:"created_ms"`
	FinishedMS  int64  `json:"finished_ms,omitempty"`
	RetentionMS int64  `json:"retention_ms"`
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		// A record holds nothing that can't be encoded.
		panic("job: encode record: " + err.Error())
	}
	return data
}

// Decode reads a stored record.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, fmt.Errorf("job record: %w", err)
	}
	return record, nil
}

// Expired reports whether a finished job's retention has passed.
func (r Record) Expired(now time.Time) bool {
	return r.State == StateFinished && r.FinishedMS+r.RetentionMS <= now.UnixMilli()
}

// NewID returns the ID of a job. It begins with the shard and the time of
// creation, so that the keys of a shard's results sort by age.
func NewID(now time.Time, random string) string {
	return fmt.Sprintf("%02x-%012x-%s", xxhash.Sum64String(random)%Shards, now.UnixMilli(), random)
}

// ParseID returns the shard and the time of creation from a job's ID.
func ParseID(id string) (shard int, created time.Time, err error) {
	parts := strings.SplitN(id, "-", 3)
	if len(parts) != 3 || strings.Contains(id, "/") {
		return 0, time.Time{}, fmt.Errorf("%q is not the ID of a job", id)
	}
	shardNumber, shardErr := strconv.ParseUint(parts[0], 16, 8)
	ms, timeErr := strconv.ParseInt(parts[1], 16, 64)
	if shardErr != nil || timeErr != nil || shardNumber >= Shards {
		return 0, time.Time{}, fmt.Errorf("%q is not the ID of a job", id)
	}
	return int(shardNumber), time.UnixMilli(ms), nil
}

// ShardPrefix returns the start of the keys of a shard's unfinished jobs.
func ShardPrefix(shard int) string { return fmt.Sprintf("%s%02x/", RecordPrefix, shard) }

// RecordKey returns the key of an unfinished job's record.
func RecordKey(id string) string { return RecordPrefix + id[:2] + "/" + id }

// ResultShardPrefix returns the start of the keys of a shard's results.
func ResultShardPrefix(shard int) string { return fmt.Sprintf("%s%02x-", ResultPrefix, shard) }

// ResultsPrefix returns the start of the keys of a job's values and of its finished
// record.
func ResultsPrefix(id string) string { return ResultPrefix + id + "/" }

// FinishedKey returns the key of a finished job's record.
func FinishedKey(id string) string { return ResultsPrefix(id) + finishedName }

// PieceKey returns the key of one piece of a value.
func PieceKey(id string, value Value, piece int) string {
	return fmt.Sprintf("%s%s/%d-%d-%06d", ResultsPrefix(id), value.Name, value.FencingToken, value.Run, piece)
}

// HolderKey returns the key that an instance writes under its lease.
func HolderKey(instance string) string { return HolderPrefix + instance }

// NewValue returns the description of data that is to be stored in pieces.
func NewValue(name string, fencingToken int64, run int, data []byte) Value {
	sum := sha256.Sum256(data)
	return Value{
		Name: name, FencingToken: fencingToken, Run: run, Bytes: len(data), SHA256: hex.EncodeToString(sum[:]),
		Pieces: max(1, (len(data)+PieceBytes-1)/PieceBytes),
	}
}

// Piece returns one piece of the data that v describes.
func (v Value) Piece(data []byte, piece int) []byte {
	start := piece * PieceBytes
	return data[start:min(start+PieceBytes, len(data))]
}

// Matches reports whether data is what v describes.
func (v Value) Matches(data []byte) bool {
	return NewValue(v.Name, v.FencingToken, v.Run, data) == v
}
