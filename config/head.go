// Package config holds versioned configuration: the head and its
// content-addressed parts, the order of revisions, differences, the steps of
// publishing and the audit trail. It does no I/O.
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

// Bounds of the values in the store.
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

// PartName says what a part holds.
type PartName string

// Ref names a part of a head.
type Ref struct {
	Name   PartName `json:"name"`
	Digest Digest   `json:"digest"`
	// ContentDigest is the digest of the part without the ID of the publish that wrote
	// it; equal content keeps its part.
	ContentDigest Digest `json:"content"`
}

// Retired is a part that heads from a revision on no longer use.
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
	// Audit holds the last changes, the newest last. Heads sent between instances
	// have none.
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

// Bounds of the audit trail. They keep it under 200 KB, so that a head fits
// MaxHeadBytes.
const (
	MaxAuditEntries    = 200
	MaxDifferenceBytes = 400
	MaxAuthorBytes     = 100
	MaxReasonBytes     = 300
)

// FormatError reports a head or part that can't be read.
type FormatError struct {
	What string
	Err  error
}

func (e *FormatError) Error() string { return fmt.Sprintf("configuration %s: %v", e.What, e.Err) }

func (e *FormatError) Unwrap() error { return e.Err }

// SizeError reports a value over its bound.
type SizeError struct {
	What       string
	Bytes, Max int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("configuration %s has %d bytes, expected at most %d", e.What, e.Bytes, e.Max)
}

// Encode returns the value of the head in the store.
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

// DecodeHead reads the value of the head.
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

// WithoutAudit returns the head as instances send it to each other: the audit
// trail and the retired parts matter only to publish and audit.
func (h *Head) WithoutAudit() *Head {
	return &Head{Revision: h.Revision, PublishID: h.PublishID, Parts: h.Parts}
}

// FindPublish reports whether the publish with the ID led to this head or to one
// before it. It returns the audit entry.
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

// ref returns the reference with a name.
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

// truncate shortens text to a number of bytes without splitting a character.
func truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	const mark = "..."
	return string(bytes.ToValidUTF8([]byte(text[:most-len(mark)]), nil)) + mark
}
