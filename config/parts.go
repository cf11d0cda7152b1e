package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// organisationBuckets is the number of parts among which organisations are
// distributed by hash. With 19,000 organisations, a change of one rewrites a part
// of about 8 KB, and the references in the head take about as much.
const organisationBuckets = 128

// Names of parts.
const (
	partDeployment     PartName = "deployment"
	pipelinePartPrefix PartName = "pipeline/"
	bucketPartPrefix   PartName = "organisations/"
)

// part is the value of a part in the store. Exactly one of Deployment, Pipeline and
// Organisations is set.
type part struct {
	// Publish is the ID of the publish that wrote the part. It makes the digest
	// unique to that publish: a later publish never refers again to a part that has
	// become unused, so that deleting the part cannot race with a publish.
	Publish       string                  `json:"publish,omitempty"`
	Deployment    *pipeline.Deployment    `json:"deployment,omitempty"`
	Pipeline      *pipeline.Pipeline      `json:"pipeline,omitempty"`
	Organisations []pipeline.Organisation `json:"organisations,omitempty"`
}

// Parts maps digests to the encoded parts.
type Parts map[Digest][]byte

// splitParts returns the references of a set and those of its parts that are new.
// Content that base already has is referred to by its existing part.
func splitParts(set *pipeline.Set, base *Head, publishID string) ([]Ref, Parts, error) {
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

// namedParts returns the parts of a set without publish IDs, in a fixed order.
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

// encode returns the reference of a part, and its bytes unless base already has
// its content.
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

// Assemble returns the set that a head describes. It checks each part against its
// digest and returns a *FormatError if one is missing or damaged.
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
		addPart(set, p)
	}
	set.Index()
	return set, nil
}

// missingOrDamaged returns the names of those parts of the head that are missing
// from parts or don't match their digest.
func (h *Head) missingOrDamaged(parts Parts) map[PartName]bool {
	missing := map[PartName]bool{}
	for _, ref := range h.Parts {
		if data, ok := parts[ref.Digest]; !ok || DigestOf(data) != ref.Digest {
			missing[ref.Name] = true
		}
	}
	return missing
}

// withoutParts returns a copy of the head without the references to the named parts.
func (h *Head) withoutParts(excluded map[PartName]bool) *Head {
	rest := *h
	rest.Parts = slices.DeleteFunc(slices.Clone(h.Parts), func(ref Ref) bool { return excluded[ref.Name] })
	return &rest
}

// setWithoutParts returns a set without the objects that belong to the named parts.
func setWithoutParts(set *pipeline.Set, excluded map[PartName]bool) *pipeline.Set {
	rest := &pipeline.Set{}
	for _, named := range namedParts(set) {
		if !excluded[named.name] {
			addPart(rest, named.part)
		}
	}
	return rest
}

// addPart adds the content of a part to a set.
func addPart(set *pipeline.Set, p part) {
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
