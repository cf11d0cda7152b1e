package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// HeadChange is the difference between two heads, sent by one instance to another
// that has the earlier one. Most changes concern one part, whereas a whole head
// refers to more than a hundred.
type HeadChange struct {
	// From is the revision of the earlier head; 0 for a whole head.
	From int64 `json:"from,omitempty"`
	// Head is the new head with only those references that differ from From.
	Head *Head `json:"head"`
	// Removed names the parts of From that the new head no longer refers to.
	Removed []PartName `json:"removed,omitempty"`
	// Sum is the digest of the complete new head without its audit trail.
	Sum Digest `json:"sum"`
}

// ChangeSince returns the change from base to h, or the whole head if base is nil.
func (h *Head) ChangeSince(base *Head) (HeadChange, error) {
	encoded, err := h.WithoutAudit().Encode()
	if err != nil {
		return HeadChange{}, err
	}
	change := HeadChange{Head: h.WithoutAudit(), Sum: DigestOf(encoded)}
	if base == nil {
		return change, nil
	}
	change.From = base.Revision
	change.Head.Parts = slices.DeleteFunc(slices.Clone(h.Parts), func(ref Ref) bool {
		old, ok := base.ref(ref.Name)
		return ok && old == ref
	})
	for _, ref := range base.Parts {
		if _, ok := h.ref(ref.Name); !ok {
			change.Removed = append(change.Removed, ref.Name)
		}
	}
	return change, nil
}

// Apply returns the complete new head and verifies it against Sum. The base must have
// the revision From, unless From is 0.
func (c HeadChange) Apply(base *Head) (*Head, error) {
	if c.Head == nil {
		return nil, &FormatError{"head", fmt.Errorf("change has no head")}
	}
	head := c.Head.WithoutAudit()
	if c.From != 0 {
		if base == nil || base.Revision != c.From {
			return nil, &FormatError{"head", fmt.Errorf("change starts from revision %d, which is not in force", c.From)}
		}
		head.Parts = c.merge(base)
	}
	encoded, err := head.Encode()
	if err != nil {
		return nil, err
	}
	if DigestOf(encoded) != c.Sum {
		return nil, &FormatError{"head", fmt.Errorf("revision %d differs from its digest", head.Revision)}
	}
	return head, nil
}

// merge returns the references of the new head, sorted by name as in every head.
func (c HeadChange) merge(base *Head) []Ref {
	var refs []Ref
	for _, ref := range base.Parts {
		if _, changed := c.Head.ref(ref.Name); !changed && !slices.Contains(c.Removed, ref.Name) {
			refs = append(refs, ref)
		}
	}
	refs = append(refs, c.Head.Parts...)
	sortRefs(refs)
	return refs
}

// sortRefs sorts references by name, so that equal heads have the same encoding.
func sortRefs(refs []Ref) {
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// EncodeChange returns the JSON encoding of a change.
func EncodeChange(c HeadChange) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, &FormatError{"head", err}
	}
	return data, nil
}

// DecodeChange decodes the result of EncodeChange.
func DecodeChange(data []byte) (HeadChange, error) {
	var c HeadChange
	if err := json.Unmarshal(data, &c); err != nil {
		return HeadChange{}, &FormatError{"head", err}
	}
	return c, nil
}
