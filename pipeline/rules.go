package pipeline

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Upper limits of settings. Larger values are reported, because they are probably
// given in a wrong unit.
const (
	maxSlots          = 1 << 16
	maxMbits          = 1 << 20
	maxAnswerBytes    = int64(1) << 30
	maxWaitMS         = int64(24 * time.Hour / time.Millisecond)
	maxRetentionMS    = int64(7 * 24 * time.Hour / time.Millisecond)
	maxRequestsPerSec = 1e6 // also the limit of burst and weight
)

func stageTypes() []StageType {
	return []StageType{StageEncode, StageRetrieve, StageRerank, StageGenerate, StageService}
}

func (v *validator) checkDeployment() {
	d := &v.set.Deployment
	v.checkName(deploymentIndex, path{"deployment"}, "deployment", d.Name)
	v.checkRegions(d.Regions)
	v.checkPools(d.Pools)
	checkRange(v, deploymentIndex, path{"link_mbits"}, d.LinkMbits, 0, maxMbits)
	checkRange(v, deploymentIndex, path{"weight_loads_per_minute"}, d.WeightLoadsPerMinute, 0, math.MaxInt32)
	v.checkStoreRegion(d)
	v.checkOrganisations(d.Organisations)
}

func (v *validator) checkStoreRegion(d *Deployment) {
	known := slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Name == d.StoreRegion })
	if d.StoreRegion != "" && !known {
		v.report(deploymentIndex, path{"store_region"}, "store region %q does not exist, expected the name of a region", d.StoreRegion)
	}
}

func (v *validator) checkRegions(regions []Region) {
	if len(regions) == 0 {
		v.report(deploymentIndex, path{"regions"}, "no regions, expected at least 1")
	}
	names, regionByDomain := map[string]bool{}, map[string]string{}
	for i, region := range regions {
		at := path{"regions", i, "name"}
		v.checkName(deploymentIndex, at, "region", region.Name)
		v.checkUnique(deploymentIndex, at, "region", region.Name, names)
		if len(region.FailureDomains) == 0 {
			v.report(deploymentIndex, path{"regions", i, "failure_domains"}, "region %q has no failure domains, expected at least 1", region.Name)
		}
		for j, domain := range region.FailureDomains {
			v.checkFailureDomain(path{"regions", i, "failure_domains", j}, domain, region.Name, regionByDomain)
		}
	}
}

func (v *validator) checkFailureDomain(at path, domain, region string, regionByDomain map[string]string) {
	v.checkName(deploymentIndex, at, "failure domain", domain)
	if other, taken := regionByDomain[domain]; taken {
		v.report(deploymentIndex, at, "failure domain %q is already in region %q, expected one region for each", domain, other)
		return
	}
	regionByDomain[domain] = region
}

func (v *validator) checkPools(pools []Pool) {
	v.pools = make(map[string]Pool, len(pools))
	names := map[string]bool{}
	for i, pool := range pools {
		at := path{"pools", i, "name"}
		v.checkName(deploymentIndex, at, "pool", pool.Name)
		v.checkUnique(deploymentIndex, at, "pool", pool.Name, names)
		checkEnum(v, deploymentIndex, path{"pools", i, "type"}, pool.Type, stageTypes()...)
		checkRange(v, deploymentIndex, path{"pools", i, "slots"}, pool.Slots, 1, maxSlots)
		models := map[string]bool{}
		for j, model := range pool.Models {
			v.checkUnique(deploymentIndex, path{"pools", i, "models", j}, "model", model, models)
		}
		v.pools[pool.Name] = pool
	}
}

func (v *validator) checkOrganisations(organisations []Organisation) {
	names := make(map[string]bool, len(organisations))
	for i, o := range organisations {
		at := path{"organisations", i, "name"}
		v.checkName(deploymentIndex, at, "organisation", o.Name)
		v.checkUnique(deploymentIndex, at, "organisation", o.Name, names)
		checkRange(v, deploymentIndex, path{"organisations", i, "requests_per_second"}, o.RequestsPerSecond, 0, maxRequestsPerSec)
		checkRange(v, deploymentIndex, path{"organisations", i, "burst"}, o.Burst, 0, maxRequestsPerSec)
		checkRange(v, deploymentIndex, path{"organisations", i, "weight"}, o.Weight, 0, maxRequestsPerSec)
	}
}

func (v *validator) checkPipelines() {
	names := map[string]bool{}
	for i := range v.set.Pipelines {
		p := &v.set.Pipelines[i]
		v.checkName(i, path{"pipeline"}, "pipeline", p.Name)
		v.checkUnique(i, path{"pipeline"}, "pipeline", p.Name, names)
		v.checkStages(i, p)
		v.checkKinds(i, p)
	}
}

func (v *validator) checkStages(fileIndex int, p *Pipeline) {
	if len(p.Stages) < MinStages || len(p.Stages) > MaxStages {
		v.report(fileIndex, path{"stages"}, "pipeline has %d stages, expected %d to %d", len(p.Stages), MinStages, MaxStages)
	}
	names := map[string]bool{}
	for i, stage := range p.Stages {
		at := path{"stages", i, "name"}
		v.checkName(fileIndex, at, "stage", stage.Name)
		v.checkUnique(fileIndex, at, "stage", stage.Name, names)
		checkEnum(v, fileIndex, path{"stages", i, "type"}, stage.Type, stageTypes()...)
		checkRange(v, fileIndex, path{"stages", i, "max_answer_bytes"}, stage.MaxAnswerBytes, 0, maxAnswerBytes)
		v.checkStagePool(fileIndex, i, stage)
	}
	v.checkPredecessors(fileIndex, p, names)
}

func (v *validator) checkStagePool(fileIndex, i int, stage Stage) {
	at := path{"stages", i, "pool"}
	pool, known := v.pools[stage.Pool]
	switch {
	case v.pools == nil:
		// Without a deployment every pool would be reported as unknown.
	case !known:
		v.report(fileIndex, at, "unknown pool %q, expected one of %s", stage.Pool, knownNames(v.pools))
	case pool.Type != stage.Type:
		v.report(fileIndex, at, "pool %q serves %q stages, expected a pool for %q", stage.Pool, pool.Type, stage.Type)
	case stage.Model != "" && stage.Type != StageGenerate:
		v.report(fileIndex, path{"stages", i, "model"}, "stage of type %q names a model, expected none", stage.Type)
	case stage.Model != "" && !slices.Contains(pool.Models, stage.Model):
		v.report(fileIndex, path{"stages", i, "model"}, "pool %q does not load model %q, expected one of %v", stage.Pool, stage.Model, pool.Models)
	}
}

func (v *validator) checkPredecessors(fileIndex int, p *Pipeline, names map[string]bool) {
	allKnown := true
	for i, stage := range p.Stages {
		for j, name := range stage.After {
			if !names[name] {
				allKnown = false
				v.report(fileIndex, path{"stages", i, "after", j}, "unknown stage %q, expected one of %s", name, knownNames(names))
			}
		}
	}
	// Repeated or unknown names would also be reported as a cycle.
	if !allKnown || len(names) < len(p.Stages) {
		return
	}
	var cycle *CycleError
	if _, err := p.TopologicalOrder(); errors.As(err, &cycle) {
		at := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Name == cycle.Stages[0] })
		v.report(fileIndex, path{"stages", at, "after"}, "stages %q wait for each other, expected an order without a cycle", cycle.Stages)
	}
}

func (v *validator) checkKinds(fileIndex int, p *Pipeline) {
	if len(p.Kinds) == 0 {
		v.report(fileIndex, path{"kinds"}, "pipeline has no kinds, expected at least 1")
	}
	hasOnceStage := slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Once })
	names := map[string]bool{}
	for i, kind := range p.Kinds {
		at := path{"kinds", i, "name"}
		v.checkName(fileIndex, at, "kind", kind.Name)
		v.checkUnique(fileIndex, at, "kind", kind.Name, names)
		v.checkKindLimits(fileIndex, i, kind)
		v.checkKindPolicy(fileIndex, i, kind, hasOnceStage)
	}
}

func (v *validator) checkKindLimits(fileIndex, i int, kind Kind) {
	checkRange(v, fileIndex, path{"kinds", i, "max_wait_ms"}, kind.MaxWaitMS, 1, maxWaitMS)
	checkRange(v, fileIndex, path{"kinds", i, "priority"}, kind.Priority, 0, math.MaxInt32)
	checkRange(v, fileIndex, path{"kinds", i, "cost", "tokens"}, kind.Cost.Tokens, 0, math.MaxInt32)
	checkRange(v, fileIndex, path{"kinds", i, "cost", "link_bytes"}, kind.Cost.LinkBytes, 0, math.MaxInt64)
	checkRange(v, fileIndex, path{"kinds", i, "retention_ms"}, kind.RetentionMS, 0, maxRetentionMS)
	// A shorter retention would delete an idempotency key or a job while its request
	// is running.
	if kind.Retention() < kind.MaxWait() {
		v.report(fileIndex, path{"kinds", i, "retention_ms"}, "answers are kept %v, expected at least max_wait_ms, %v", kind.Retention(), kind.MaxWait())
	}
}

func (v *validator) checkKindPolicy(fileIndex, i int, kind Kind, hasOnceStage bool) {
	checkEnum(v, fileIndex, path{"kinds", i, "repeat"}, kind.Repeat, RepeatIdempotent, RepeatAtMostOnce)
	checkEnum(v, fileIndex, path{"kinds", i, "class"}, kind.Class, ClassInteractive, ClassNormal, ClassLong)
	switch {
	case kind.Repeat == RepeatAtMostOnce && !hasOnceStage:
		v.report(fileIndex, path{"kinds", i, "repeat"}, "kind %q is at_most_once, expected a stage with once: true", kind.Name)
	case kind.Repeat == RepeatIdempotent && hasOnceStage:
		v.report(fileIndex, path{"kinds", i, "repeat"}, "kind %q is idempotent, expected no stage with once: true", kind.Name)
	}
	// A durable request is answered at once with a location, so that no client waits
	// for its result.
	if kind.Durable && kind.Class == ClassInteractive {
		v.report(fileIndex, path{"kinds", i, "class"}, "durable kind %q has class interactive, expected normal or long", kind.Name)
	}
}
