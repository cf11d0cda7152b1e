package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store/storetest"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

func configurationSweeps() []sweep {
	return []sweep{
		{
			role: RoleConfiguration, per: "organisation", sizes: []int{5, 100, 1000, 5000, targetOrganisations},
			target: targetOrganisations,
			setUp:  withoutState(func(n int) ([]figure, error) { return measureConfiguration(n, targetPipelines) }),
		},
		{
			role: RoleConfiguration, per: "pipeline with 1000 organisations", sizes: []int{1, 5, 10, targetPipelines},
			target: targetPipelines,
			setUp:  withoutState(func(n int) ([]figure, error) { return measureConfiguration(1000, n) }),
		},
	}
}

// sampleSet returns a set of operators' files with the given numbers of
// organisations and pipelines. Each pipeline has six stages.
func sampleSet(organisations, pipelines int) *pipeline.Set {
	set := &pipeline.Set{Deployment: pipeline.Deployment{
		Name: "two-years", LinkMbits: 30, Regions: sampleRegions(),
		Pools: []pipeline.Pool{{Name: "shelf", Type: pipeline.StageRetrieve, Slots: 8}},
	}}
	for _, name := range organisationNames(organisations) {
		set.Deployment.Organisations = append(set.Deployment.Organisations,
			pipeline.Organisation{Name: name, RequestsPerSecond: 5, Burst: 20, Weight: 2})
	}
	for i := range pipelines {
		p := pipeline.Pipeline{Name: fmt.Sprintf("pipeline-%02d", i), Stages: sampleStages(pipeline.MaxStages)}
		for k := range 4 {
			p.Kinds = append(p.Kinds, pipeline.Kind{
				Name: fmt.Sprintf("kind-%d", k), Repeat: pipeline.RepeatIdempotent, Class: pipeline.ClassNormal, MaxWaitMS: 3000,
			})
		}
		set.Pipelines = append(set.Pipelines, p)
	}
	return set
}

func sampleRegions() []pipeline.Region {
	regions := make([]pipeline.Region, targetRegions)
	for i := range targetDomains {
		where := domainLocation(i)
		r := &regions[i%targetRegions]
		r.Name = where.Region
		r.FailureDomains = append(r.FailureDomains, where.FailureDomain)
	}
	return regions
}

// sampleStages returns n stages that run one after the other, all in one pool.
func sampleStages(n int) []pipeline.Stage {
	stages := make([]pipeline.Stage, n)
	for i := range stages {
		stages[i] = pipeline.Stage{Name: fmt.Sprintf("stage-%d", i), Type: pipeline.StageRetrieve, Pool: "shelf"}
		if i > 0 {
			stages[i].After = []string{stages[i-1].Name}
		}
	}
	return stages
}

// publishedRevisions is a store in which two revisions were published, one after
// the other.
type publishedRevisions struct {
	store         *storetest.Fake
	first, second *config.Head
	firstParts    config.Parts
	changedParts  config.Parts
	changeCalls   float64
}

// measureConfiguration publishes a set and then a second revision that changes one
// organisation.
func measureConfiguration(organisations, pipelines int) ([]figure, error) {
	set := sampleSet(organisations, pipelines)
	validateTime, err := processorTime(func() error {
		if mistakes := pipeline.Validate(set); len(mistakes) > 0 {
			return mistakes
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	p, err := publishTwice(set)
	if err != nil {
		return nil, err
	}
	stateBytes, current, err := retained(func() (*config.Current, error) {
		current := &config.Current{}
		_, err := current.Update(p.first, p.firstParts)
		return current, err
	})
	if err != nil {
		return nil, err
	}
	applyTime, err := processorTime(func() error {
		_, err := current.Update(p.second, p.changedParts)
		return err
	})
	if err != nil {
		return nil, err
	}
	sizes, err := p.sizes()
	return append(sizes,
		figure{"processor time of a check", "ms", milliseconds(validateTime)},
		figure{"processor time to take a change in force", "ms", milliseconds(applyTime)},
		figure{"memory of an instance's configuration", "B", stateBytes}), err
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func publishTwice(set *pipeline.Set) (*publishedRevisions, error) {
	p := &publishedRevisions{store: storetest.New()}
	ctx := context.Background()
	request := config.Request{Author: "operator", Reason: "first files", Set: set}
	if _, err := configuration.Publish(ctx, p.store, request, false); err != nil {
		return nil, err
	}
	var err error
	if p.first, p.firstParts, err = readAll(ctx, p.store, nil); err != nil {
		return nil, err
	}
	changed := *set
	changed.Deployment.Organisations = slices.Clone(set.Deployment.Organisations)
	changed.Deployment.Organisations[0].RequestsPerSecond++
	before := storeCalls(p.store)
	request = config.Request{Author: "operator", Reason: "rate of one organisation", Set: &changed}
	if _, err := configuration.Publish(ctx, p.store, request, false); err != nil {
		return nil, err
	}
	p.changeCalls = storeCalls(p.store) - before
	p.second, p.changedParts, err = readAll(ctx, p.store, p.firstParts)
	return p, err
}

// readAll returns the current head and those of its parts that are not in held.
func readAll(ctx context.Context, s store.Store, held config.Parts) (*config.Head, config.Parts, error) {
	entry, err := s.Get(ctx, config.KeyHead)
	if err != nil {
		return nil, nil, err
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		return nil, nil, err
	}
	parts := config.Parts{}
	for _, digest := range head.Digests() {
		if _, ok := held[digest]; ok {
			continue
		}
		part, err := s.Get(ctx, digest.Key())
		if err != nil {
			return nil, nil, err
		}
		parts[digest] = part.Value
	}
	return head, parts, nil
}

func storeCalls(f *storetest.Fake) float64 {
	total := 0
	for _, op := range []storetest.Op{
		storetest.Get, storetest.List, storetest.Swap, storetest.Delete, storetest.Grant, storetest.Keep, storetest.Revoke,
	} {
		total += f.Count(op)
	}
	return float64(total)
}

func partBytes(parts config.Parts) (total int) {
	for _, data := range parts {
		total += len(data)
	}
	return total
}

// sizes returns the sizes of the stored values and of what an instance pulls after a
// change, and the store calls of publishing the change.
func (p *publishedRevisions) sizes() ([]figure, error) {
	change, err := p.second.ChangeSince(p.first)
	if err != nil {
		return nil, err
	}
	encoded, err := config.EncodeChange(change)
	if err != nil {
		return nil, err
	}
	head, err := p.second.Encode()
	if err != nil {
		return nil, err
	}
	full := *p.second
	full.Audit = slices.Repeat(p.second.Audit[1:], config.MaxAuditEntries)
	fullHead, err := full.Encode()
	return []figure{
		{"bytes of all parts", "B", float64(partBytes(p.firstParts))},
		{"bytes of the head with two audit entries", "B", float64(len(head))},
		{"bytes of the head with a full audit trail", "B", float64(len(fullHead))},
		{"parts", "parts", float64(len(p.second.Parts))},
		{"bytes that an instance pulls per change", "B", float64(len(encoded) + partBytes(p.changedParts))},
		{"store calls of a publish", "calls", p.changeCalls},
	}, err
}
