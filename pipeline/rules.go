package pipeline

import (
	"errors"
	"math"
	"slices"
	"time"
)

// Upper limits of settings. Larger values are taken for mistakes of unit.
const (
	maxSlots          = 1 << 16
	maxMbits          = 1 << 20
	maxAnswerBytes    = int64(1) << 30
	maxWaitMS         = int64(24 * time.Hour / time.Millisecond)
	maxRetentionMS    = int64(7 * 24 * time.Hour / time.Millisecond)
	maxRequestsPerSec = 1e6
)

func stageTypes() []StageType {
	return []StageType{StageEncode, StageRetrieve, StageRerank, StageGenerate, StageService}
}

func (v *validator) checkDeployment() {
	d := &v.set.Deployment
	v.checkName(deploymentFile, path{"deployment"}, "deployment", d.Name)
	v.checkRegions(d.Regions)
	v.checkPools(d.Pools)
	checkRange(v, deploymentFile, path{"link_mbits"}, d.LinkMbits, 0, maxMbits)
	checkRange(v, deploymentFile, path{"weight_loads_per_minute"}, d.WeightLoadsPerMinute, 0, math.MaxInt32)
	v.checkStoreRegion(d)
	v.checkOrganisations(d.Organisations)
}

func (v *validator) checkStoreRegion(d *Deployment) {
	known := slices.ContainsFunc(d.Regions, func(r Region) bool { return r.Name == d.StoreRegion })
	if d.StoreRegion != "" && !known {
		v.report(deploymentFile, path{"store_region"}, "store region %q does not exist, expected the name of a region", d.StoreRegion)
	}
}

func (v *validator) checkRegions(regions []Region) {
	if len(regions) == 0 {
		v.report(deploymentFile, path{"regions"}, "no regions, expected at least 1")
	}
	names, regionOf := map[string]bool{}, map[string]string{}
	for i, region := range regions {
		at := path{"regions", i, "name"}
		v.checkName(deploymentFile, at, "region", region.Name)
		v.checkUnique(deploymentFile, at, "region", region.Name, names)
		if len(region.FailureDomains) == 0 {
			v.report(deploymentFile, path{"regions", i, "failure_domains"}, "region %q has no failure domains, expected at least 1", region.Name)
		}
		for j, domain := range region.FailureDomains {
			v.checkFailureDomain(path{"regions", i, "failure_domains", j}, domain, region.Name, regionOf)
		}
	}
}

func (v *validator) checkFailureDomain(at path, domain, region string, regionOf map[string]string) {
	v.checkName(deploymentFile, at, "failure domain", domain)
	if other, taken := regionOf[domain]; taken {
		v.report(deploymentFile, at, "failure domain %q is already in region %q, expected one region for each", domain, other)
		return
	}
	regionOf[domain] = region
}

func (v *validator) checkPools(pools []Pool) {
	v.pools = make(map[string]Pool, len(pools))
	names := map[string]bool{}
	for i, pool := range pools {
		at := path{"pools", i, "name"}
		v.checkName(deploymentFile, at, "pool", pool.Name)
		v.checkUnique(deploymentFile, at, "pool", pool.Name, names)
		checkEnum(v, deploymentFile, path{"pools", i, "type"}, pool.Type, stageTypes()...)
		checkRange(v, deploymentFile, path{"pools", i, "slots"}, pool.Slots, 1, maxSlots)
		models := map[string]bool{}
		for j, model := range pool.Models {
			v.checkUnique(deploymentFile, path{"pools", i, "models", j}, "model", model, models)
		}
		v.pools[pool.Name] = pool
	}
}

func (v *validator) checkOrganisations(organisations []Organisation) {
	names := make(map[string]bool, len(organisations))
	for i, o := range organisations {
		at := path{"organisations", i, "name"}
		v.checkName(deploymentFile, at, "organisation", o.Name)
		v.checkUnique(deploymentFile, at, "organisation", o.Name, names)
		checkRange(v, deploymentFile, path{"organisations", i, "requests_per_second"}, o.RequestsPerSecond, 0, maxRequestsPerSec)
		checkRange(v, deploymentFile, path{"organisations", i, "burst"}, o.Burst, 0, maxRequestsPerSec)
		checkRange(v, deploymentFile, path{"organisations", i, "weight"}, o.Weight, 0, maxRequestsPerSec)
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

func (v *validator) checkStages(file int, p *Pipeline) {
	if len(p.Stages) < MinStages || len(p.Stages) > MaxStages {
		v.report(file, path{"stages"}, "pipeline has %d stages, expected %d to %d", len(p.Stages), MinStages, MaxStages)
	}
	names := map[string]bool{}
	for i, stage := range p.Stages {
		at := path{"stages", i, "name"}
		v.checkName(file, at, "stage", stage.Name)
		v.checkUnique(file, at, "stage", stage.Name, names)
		checkEnum(v, file, path{"stages", i, "type"}, stage.Type, stageTypes()...)
		checkRange(v, file, path{"stages", i, "max_answer_bytes"}, stage.MaxAnswerBytes, 0, maxAnswerBytes)
		v.checkStagePool(file, i, stage)
	}
	v.checkPredecessors(file, p, names)
}

func (v *validator) checkStagePool(file, i int, stage Stage) {
	at := path{"stages", i, "pool"}
	pool, known := v.pools[stage.Pool]
	switch {
	case v.pools == nil:
		// Without a deployment every pool would be reported.
	case !known:
		v.report(file, at, "unknown pool %q, expected one of %s", stage.Pool, knownNames(v.pools))
	case pool.Type != stage.Type:
		v.report(file, at, "pool %q serves %q stages, expected a pool for %q", stage.Pool, pool.Type, stage.Type)
	case stage.Model != "" && stage.Type != StageGenerate:
		v.report(file, path{"stages", i, "model"}, "stage of type %q names a model, expected none", stage.Type)
	case stage.Model != "" && !slices.Contains(pool.Models, stage.Model):
		v.report(file, path{"stages", i, "model"}, "pool %q does not load model %q, expected one of %v", stage.Pool, stage.Model, pool.Models)
	}
}

func (v *validator) checkPredecessors(file int, p *Pipeline, names map[string]bool) {
	complete := true
	for i, stage := range p.Stages {
		for j, name := range stage.After {
			if !names[name] {
				complete = false
				v.report(file, path{"stages", i, "after", j}, "unknown stage %q, expected one of %s", name, knownNames(names))
			}
		}
	}
	// Repeated or unknown names would be reported as a cycle as well.
	if !complete || len(names) < len(p.Stages) {
		return
	}
	var cycle *CycleError
	if _, err := p.TopologicalOrder(); errors.As(err, &cycle) {
		at := slices.IndexFunc(p.Stages, func(s Stage) bool { return s.Name == cycle.Stages[0] })
		v.report(file, path{"stages", at, "after"}, "stages %q wait for each other, expected an order without a cycle", cycle.Stages)
	}
}

func (v *validator) checkKinds(file int, p *Pipeline) {
	if len(p.Kinds) == 0 {
		v.report(file, path{"kinds"}, "pipeline has no kinds, expected at least 1")
	}
	once := slices.ContainsFunc(p.Stages, func(s Stage) bool { return s.Once })
	names := map[string]bool{}
	for i, kind := range p.Kinds {
		at := path{"kinds", i, "name"}
		v.checkName(file, at, "kind", kind.Name)
		v.checkUnique(file, at, "kind", kind.Name, names)
		v.checkKindLimits(file, i, kind)
		v.checkKindPolicy(file, i, kind, once)
	}
}

func (v *validator) checkKindLimits(file, i int, kind Kind) {
	checkRange(v, file, path{"kinds", i, "max_wait_ms"}, kind.MaxWaitMS, 1, maxWaitMS)
	checkRange(v, file, path{"kinds", i, "priority"}, kind.Priority, 0, math.MaxInt32)
	checkRange(v, file, path{"kinds", i, "cost", "tokens"}, kind.Cost.Tokens, 0, math.MaxInt32)
	checkRange(v, file, path{"kinds", i, "cost", "link_bytes"}, kind.Cost.LinkBytes, 0, math.MaxInt64)
	checkRange(v, file, path{"kinds", i, "retention_ms"}, kind.RetentionMS, 0, maxRetentionMS)
	// A shorter retention would forget a key or a job while its request runs.
	if kind.Retention() < kind.MaxWait() {
		v.report(file, path{"kinds", i, "retention_ms"}, "answers are kept %v, expected at least max_wait_ms, %v", kind.Retention(), kind.MaxWait())
	}
}

func (v *validator) checkKindPolicy(file, i int, kind Kind, once bool) {
	checkEnum(v, file, path{"kinds", i, "repeat"}, kind.Repeat, RepeatIdempotent, RepeatAtMostOnce)
	checkEnum(v, file, path{"kinds", i, "class"}, kind.Class, ClassInteractive, ClassNormal, ClassLong)
	switch {
	case kind.Repeat == RepeatAtMostOnce && !once:
		v.report(file, path{"kinds", i, "repeat"}, "kind %q is at_most_once, expected a stage with once: true", kind.Name)
	case kind.Repeat == RepeatIdempotent && once:
		v.report(file, path{"kinds", i, "repeat"}, "kind %q is idempotent, expected no stage with once: true", kind.Name)
	}
	// A durable request is answered with a location; nobody waits for it.
	if kind.Durable && kind.Class == ClassInteractive {
		v.report(file, path{"kinds", i, "class"}, "durable kind %q has class interactive, expected normal or long", kind.Name)
	}
}
