package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// HeadChange is a head as one instance sends it to another that has an earlier
// one: most changes concern one part, and a whole head has some hundred.
type HeadChange struct {
	// From is the revision that the change starts from; 0 for a whole head.
	From int64 `json:"from,omitempty"`
	// Head holds only the references that differ from those of From.
	Head *Head `json:"head"`
	// Removed names the references that the head lacks.
	Removed []PartName `json:"removed,omitempty"`
	// Sum is the digest of the whole head without audit trail.
	Sum Digest `json:"sum"`
}

// ChangeSince returns the change from a base to h, or the whole head without a base.
func (h *Head) ChangeSince(base *Head) (HeadChange, error) {
	whole, err := h.WithoutAudit().Encode()
	if err != nil {
		return HeadChange{}, err
	}
	change := HeadChange{Head: h.WithoutAudit(), Sum: DigestOf(whole)}
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

// Apply returns the whole head. The base must have the revision From.
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
	whole, err := head.Encode()
	if err != nil {
		return nil, err
	}
	if DigestOf(whole) != c.Sum {
		return nil, &FormatError{"head", fmt.Errorf("revision %d differs from its digest", head.Revision)}
	}
	return head, nil
}

// merge returns the references of the base with the change, in the order of split.
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

// sortRefs orders references by name, so that equal heads have equal bytes.
func sortRefs(refs []Ref) {
	slices.SortFunc(refs, func(a, b Ref) int { return strings.Compare(string(a.Name), string(b.Name)) })
}

// EncodeChange returns the bytes of a change.
func EncodeChange(c HeadChange) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, &FormatError{"head", err}
	}
	return data, nil
}

// DecodeChange reads the bytes of a change.
func DecodeChange(data []byte) (HeadChange, error) {
	var c HeadChange
	if err := json.Unmarshal(data, &c); err != nil {
		return HeadChange{}, &FormatError{"head", err}
	}
	return c, nil
}
