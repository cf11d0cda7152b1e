package config

import (
	"fmt"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// LowerRevisionError reports that a received head has a lower revision than the
// head in force.
type LowerRevisionError struct {
	InForce, Received int64
}

func (e *LowerRevisionError) Error() string {
	return fmt.Sprintf("configuration revision %d was received, but the higher revision %d is in force", e.Received, e.InForce)
}

// DivergentError reports two heads with the same revision and different publish
// IDs. Compare-and-swap prevents this unless the store lost a write.
type DivergentError struct {
	Revision          int64
	InForce, Received string
}

func (e *DivergentError) Error() string {
	return fmt.Sprintf("configuration revision %d has publish ID %q in force, but publish ID %q was received", e.Revision, e.InForce, e.Received)
}

// Current is the configuration in force. The zero value holds none.
type Current struct {
	head  *Head
	parts Parts
	set   *pipeline.Set
}

// Revision returns the revision in force, 0 when there is none.
func (c *Current) Revision() int64 {
	if c.head == nil {
		return 0
	}
	return c.head.Revision
}

// Set returns the set in force, nil when there is none.
func (c *Current) Set() *pipeline.Set { return c.set }

// Head returns the head in force, nil when there is none.
func (c *Current) Head() *Head { return c.head }

// Part returns a part in force.
func (c *Current) Part(digest Digest) ([]byte, bool) {
	data, ok := c.parts[digest]
	return data, ok
}

// Missing returns the digests of the parts of h that are not in force.
func (c *Current) Missing(h *Head) []Digest {
	var missing []Digest
	for _, digest := range h.Digests() {
		if _, ok := c.parts[digest]; !ok {
			missing = append(missing, digest)
		}
	}
	return missing
}

// Update puts a head in force if its revision is higher than the one in force. It
// needs only the parts whose digests Missing returned. A lower revision gives a
// *LowerRevisionError; an equal one with another publish ID gives a
// *DivergentError.
func (c *Current) Update(h *Head, parts Parts) (changed bool, err error) {
	if c.head != nil {
		switch {
		case h.Revision < c.head.Revision:
			return false, &LowerRevisionError{c.head.Revision, h.Revision}
		case h.Revision == c.head.Revision && h.PublishID != c.head.PublishID:
			return false, &DivergentError{h.Revision, c.head.PublishID, h.PublishID}
		case h.Revision == c.head.Revision:
			return false, nil
		}
	}
	available := make(Parts, len(h.Parts))
	for _, digest := range h.Digests() {
		if data, ok := c.parts[digest]; ok {
			available[digest] = data
		} else if data, ok := parts[digest]; ok {
			available[digest] = data
		}
	}
	set, err := Assemble(h, available)
	if err != nil {
		return false, err
	}
	c.head, c.parts, c.set = h, available, set
	return true, nil
}
