// Package config implements the versioned configuration of entry instances: a head
// that refers to content-addressed parts, the rules for replacing one revision by
// another, differences, the state machine of a publish and the audit trail. It does
// no I/O; package internal/configuration reads and writes the store.
package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"
)

// Keys in the store.
const (
	KeyHead    = "config/head"
	PartPrefix = "config/part/"
)

// Size limits of the values in the store.
const (
	MaxPartBytes = 512 << 10
	MaxHeadBytes = 512 << 10
)

// Digest is the SHA-256 of a part in hexadecimal.
type Digest string

// Key returns the store key of a part.
func (d Digest) Key() string {
	return PartPrefix + string(d)
}

// DigestOf returns the digest of a part's bytes.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// PartName names the content of a part, for example "pipeline/notes".
type PartName string

// Ref is the reference of a head to one of its parts.
type Ref struct {
	Name   PartName `json:"name"`
	Digest Digest   `json:"digest"`
	// ContentDigest is the digest of the part without the ID of the publish that
	// wrote it. A publish reuses the part if its content has the same digest.
	ContentDigest Digest `json:"content"`
}

// Retired is a part that is no longer referred to since Revision.
type Retired struct {
	Digest   Digest `json:"digest"`
	Revision int64  `json:"revision"`
}

// Head is the value of KeyHead.
type Head struct {
	Revision  int64     `json:"revision"`
	PublishID string    `json:"publish_id"`
	Parts     []Ref     `json:"parts"`
	Retired   []Retired `json:"retired,omitempty"`
	// Audit holds the last changes, oldest first. Heads sent between instances have
	// none.
	Audit []AuditEntry `json:"audit,omitempty"`
}

// AuditEntry records one accepted change.
type AuditEntry struct {
	PublishID    string    `json:"publish_id"`
	Author       string    `json:"author"`
	Reason       string    `json:"reason"`
	Time         time.Time `json:"time"`
	FromRevision int64     `json:"from_revision"`
	ToRevision   int64     `json:"to_revision"`
	// Difference is readable text of at most MaxDifferenceBytes.
	Difference string `json:"difference"`
}

// Size limits of the audit trail. They keep it under 200 KB, so that a head fits
// MaxHeadBytes.
const (
	MaxAuditEntries    = 200
	MaxDifferenceBytes = 400
	MaxAuthorBytes     = 100
	MaxReasonBytes     = 300
)

// FormatError reports a head or part that can't be encoded, decoded or verified.
type FormatError struct {
	What string
	Err  error
}

func (e *FormatError) Error() string { return fmt.Sprintf("configuration %s: %v", e.What, e.Err) }

func (e *FormatError) Unwrap() error { return e.Err }

// SizeError reports a value that is larger than its size limit.
type SizeError struct {
	What       string
	Bytes, Max int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("configuration %s has %d bytes, expected at most %d", e.What, e.Bytes, e.Max)
}

// Encode returns the value of the head in the store. It returns a *SizeError for a
// head of more than MaxHeadBytes.
func (h *Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return nil, &FormatError{"head", err}
	}
	if len(data) > MaxHeadBytes {
		return nil, &SizeError{"head", len(data), MaxHeadBytes}
	}
	return data, nil
}

// DecodeHead decodes the value of the head in the store.
func DecodeHead(data []byte) (*Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return nil, &FormatError{"head", err}
	}
	if h.Revision < 1 {
		return nil, &FormatError{"head", fmt.Errorf("revision is %d, expected at least 1", h.Revision)}
	}
	return &h, nil
}

// WithoutAudit returns the head as instances send it to each other, without the
// audit trail and the retired parts, which only publishing and auditing use.
func (h *Head) WithoutAudit() *Head {
	return &Head{Revision: h.Revision, PublishID: h.PublishID, Parts: h.Parts}
}

// FindPublish returns the audit entry of the publish that led to this head or to
// an earlier one, and false if the audit trail has no such entry.
func (h *Head) FindPublish(publishID string) (AuditEntry, bool) {
	for _, entry := range h.Audit {
		if entry.PublishID == publishID {
			return entry, true
		}
	}
	return AuditEntry{}, false
}

// Digests returns the digests of the head's parts.
func (h *Head) Digests() []Digest {
	digests := make([]Digest, len(h.Parts))
	for i, ref := range h.Parts {
		digests[i] = ref.Digest
	}
	return digests
}

// ref returns the reference to the part with the given name. A nil head has none.
func (h *Head) ref(name PartName) (Ref, bool) {
	if h == nil {
		return Ref{}, false
	}
	for _, ref := range h.Parts {
		if ref.Name == name {
			return ref, true
		}
	}
	return Ref{}, false
}

// truncate shortens text to at most maxBytes without splitting a character.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	const mark = "..."
	return string(bytes.ToValidUTF8([]byte(text[:maxBytes-len(mark)]), nil)) + mark
}
