package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// organisationBuckets is the number of parts that hold organisations. With
// 19,000 of them a changed organisation rewrites one part of about 8 KB, and
// the references in the head stay about as small.
const organisationBuckets = 128

// Names of parts.
const (
	partDeployment     PartName = "deployment"
	pipelinePartPrefix PartName = "pipeline/"
	bucketPartPrefix   PartName = "organisations/"
)

// part is the value of a part. Exactly one of the contents is set.
type part struct {
	// Publish is the ID of the publish that wrote the part. A part that no head
	// uses any more therefore never returns under the same digest, and collecting
	// it cannot race with a publish.
	Publish       string                  `json:"publish,omitempty"`
	Deployment    *pipeline.Deployment    `json:"deployment,omitempty"`
	Pipeline      *pipeline.Pipeline      `json:"pipeline,omitempty"`
	Organisations []pipeline.Organisation `json:"organisations,omitempty"`
}

// Parts holds the bytes of parts by digest.
type Parts map[Digest][]byte

// split returns the references and the new parts of a set. Content that the
// base has keeps its part.
func split(set *pipeline.Set, base *Head, publishID string) ([]Ref, Parts, error) {
	refs, parts := []Ref{}, Parts{}
	for _, named := range namedParts(set) {
		ref, data, err := named.encode(base, publishID)
		if err != nil {
			return nil, nil, err
		}
		refs = append(refs, ref)
		if data != nil {
			parts[ref.Digest] = data
		}
	}
	sortRefs(refs)
	return refs, parts, nil
}

type namedPart struct {
	name PartName
	part part
}

// namedParts returns the parts of a set without a publish ID, in a fixed order.
func namedParts(set *pipeline.Set) []namedPart {
	deployment := set.Deployment
	deployment.Organisations = nil
	named := []namedPart{{partDeployment, part{Deployment: &deployment}}}
	for i := range set.Pipelines {
		p := &set.Pipelines[i]
		named = append(named, namedPart{pipelinePartPrefix + PartName(p.Name), part{Pipeline: p}})
	}
	slices.SortFunc(named[1:], func(a, b namedPart) int { return strings.Compare(string(a.name), string(b.name)) })
	buckets := make([][]pipeline.Organisation, organisationBuckets)
	for _, o := range set.Deployment.Organisations {
		bucket := xxhash.Sum64String(o.Name) % organisationBuckets
		buckets[bucket] = append(buckets[bucket], o)
	}
	for i, organisations := range buckets {
		if len(organisations) == 0 {
			continue
		}
		slices.SortFunc(organisations, func(a, b pipeline.Organisation) int { return strings.Compare(a.Name, b.Name) })
		named = append(named, namedPart{PartName(fmt.Sprintf("%s%d", bucketPartPrefix, i)), part{Organisations: organisations}})
	}
	return named
}

// encode returns the reference of a part, and its bytes unless the base has it.
func (n namedPart) encode(base *Head, publishID string) (Ref, []byte, error) {
	content, err := json.Marshal(n.part)
	if err != nil {
		return Ref{}, nil, &FormatError{string(n.name), err}
	}
	ref := Ref{Name: n.name, ContentDigest: DigestOf(content)}
	if old, ok := base.ref(n.name); ok && old.ContentDigest == ref.ContentDigest {
		return old, nil, nil
	}
	n.part.Publish = publishID
	data, err := json.Marshal(n.part)
	if err != nil {
		return Ref{}, nil, &FormatError{string(n.name), err}
	}
	if len(data) > MaxPartBytes {
		return Ref{}, nil, &SizeError{"part " + string(n.name), len(data), MaxPartBytes}
	}
	ref.Digest = DigestOf(data)
	return ref, data, nil
}

// Assemble returns the set of a head. Each part is checked against its digest.
func Assemble(h *Head, parts Parts) (*pipeline.Set, error) {
	set := &pipeline.Set{}
	for _, ref := range h.Parts {
		data, ok := parts[ref.Digest]
		if !ok {
			return nil, &FormatError{string(ref.Name), fmt.Errorf("part %s is missing", ref.Digest)}
		}
		if DigestOf(data) != ref.Digest {
			return nil, &FormatError{string(ref.Name), fmt.Errorf("part differs from its digest %s", ref.Digest)}
		}
		var p part
		if err := json.Unmarshal(data, &p); err != nil {
			return nil, &FormatError{string(ref.Name), err}
		}
		add(set, p)
	}
	set.Index()
	return set, nil
}

// lost returns the names of the parts that are missing or damaged.
func (h *Head) lost(parts Parts) map[PartName]bool {
	lost := map[PartName]bool{}
	for _, ref := range h.Parts {
		if data, ok := parts[ref.Digest]; !ok || DigestOf(data) != ref.Digest {
			lost[ref.Name] = true
		}
	}
	return lost
}

// without returns a copy of a head that lacks the named parts.
func (h *Head) without(names map[PartName]bool) *Head {
	rest := *h
	rest.Parts = slices.DeleteFunc(slices.Clone(h.Parts), func(ref Ref) bool { return names[ref.Name] })
	return &rest
}

// setWithout returns the objects of a set that don't belong to the named parts.
func setWithout(set *pipeline.Set, names map[PartName]bool) *pipeline.Set {
	rest := &pipeline.Set{}
	for _, named := range namedParts(set) {
		if !names[named.name] {
			add(rest, named.part)
		}
	}
	return rest
}

func add(set *pipeline.Set, p part) {
	if p.Deployment != nil {
		organisations := set.Deployment.Organisations
		set.Deployment = *p.Deployment
		set.Deployment.Organisations = organisations
	}
	if p.Pipeline != nil {
		set.Pipelines = append(set.Pipelines, *p.Pipeline)
	}
	set.Deployment.Organisations = append(set.Deployment.Organisations, p.Organisations...)
}
