package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"
)

const validDeployment = `{"deployment": "d", "regions": [{"name": "r", "failure_domains": ["r-a"]}],
"pools": [{"name": "engines", "type": "generate", "slots": 4, "models": ["m"]}, {"name": "ledger", "type": "service", "slots": 1}],
"organisations": [{"name": "acme"}]}`

const validPipeline = `{"pipeline": "p",
"stages": [{"name": "draft", "type": "generate", "pool": "engines", "model": "m"}, {"name": "book", "type": "service", "pool": "ledger", "once": true}],
"kinds": [{"name": "k", "repeat": "at_most_once", "class": "normal", "max_wait_ms": 1000, "cost": {}}]}`

func checkFiles(c *qt.C, deployment, pipelineFile string) (*Set, Mistakes) {
	set, mistakes, err := Check(fstest.MapFS{
		DeploymentFile:         {Data: []byte(deployment)},
		"a/p" + PipelineSuffix: {Data: []byte(pipelineFile)},
	})
	c.Assert(err, qt.IsNil)
	return set, mistakes
}

// Guards against a mistake that is not reported, or that is reported at the wrong
// position.
func TestEachMistakeIsReportedWithPosition(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{`"organisations": [`, `"store_region": "x", "organisations": [`, `deployment.jsonc:3:17: store region "x" does not exist, expected the name of a region`},
		{`"slots": 4`, `"slot": 4`, `deployment.jsonc:2:51: unknown field "slot", expected one of name, type, slots`},
		{`"slots": 4`, `"slots": "4"`, `deployment.jsonc:2:60: found "4", expected a whole number`},
		{`"slots": 4`, `"slots": -4`, `deployment.jsonc:2:60: slots is -4, expected at least 1`},
		{`"slots": 4,`, `"slots": 4, "slots": 5,`, `deployment.jsonc:2:63: field "slots" is given twice`},
		{`"d",`, `"d" "regions"`, `deployment.jsonc:1:20: syntax: `},
		{`["r-a"]}`, `["r-a"]}, {"name": "s", "failure_domains": ["r-a"]}`, `deployment.jsonc:1:110: failure domain "r-a" is already in region "r"`},
		{`"name": "ledger"`, `"name": "engines"`, `deployment.jsonc:2:90: pool "engines" is defined twice`},
		{`{"name": "acme"}`, `{"name": "acme"}, {"name": "acme"}`, `deployment.jsonc:3:46: organisation "acme" is defined twice`},
		{`{"name": "acme"}`, `{"name": "acme", "weight": -1}`, `weight is -1, expected at least 0`},
		{`{"name": "acme"}`, `{"name": "a/b"}`, `name "a/b" of organisation is malformed`},
		{`"pool": "engines"`, `"pool": "engine"`, `a/p.pipeline.jsonc:2:58: unknown pool "engine", expected one of engines, ledger`},
		{`"pool": "engines"`, `"pool": "ledger"`, `pool "ledger" serves "service" stages`},
		{`"model": "m"}`, `"model": "n"}`, `does not load model "n"`},
		{`"name": "book"`, `"name": "draft"`, `stage "draft" is defined twice`},
		{`"model": "m"}`, `"model": "m", "after": ["book"]}`, `a/p.pipeline.jsonc:2:92: stages ["draft" "book"] wait for each other`},
		{`"model": "m"}`, `"model": "m", "after": ["x"]}`, `unknown stage "x", expected one of book, draft`},
		{`"stages": [`, `"stages": [], "kinds": [], "x": [`, `pipeline has 0 stages, expected 1 to 6`},
		{`, "once": true`, ``, `kind "k" is at_most_once, expected a stage with once: true`},
		{`at_most_once`, `idempotent`, `kind "k" is idempotent, expected no stage with once: true`},
		{`at_most_once`, `never`, `unknown repeat "never", expected one of [idempotent at_most_once]`},
		{`"class": "normal"`, `"class": "quick"`, `a/p.pipeline.jsonc:3:60: unknown class "quick"`},
		{`"class": "normal"`, `"class": "interactive", "durable": true`, `durable kind "k" has class interactive`},
		{`"max_wait_ms": 1000`, `"max_wait_ms": 0`, `max_wait_ms is 0, expected at least 1`},
		{`"max_wait_ms": 1000`, `"max_wait_ms": 1000, "retention_ms": 1`, `answers are kept 1ms, expected at least max_wait_ms, 1s`},
		{`"once": true`, `"once": true, "max_answer_bytes": -1`, `max_answer_bytes is -1`},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			_, mistakes := checkFiles(c, strings.Replace(validDeployment, test.old, test.new, 1), strings.Replace(validPipeline, test.old, test.new, 1))
			c.Assert(mistakes.Error(), qt.Contains, test.want)
		})
	}
	c := qt.New(t)
	_, mistakes := checkFiles(c, validDeployment, validPipeline)
	c.Assert(mistakes, qt.HasLen, 0)
	_, mistakes = checkFiles(c, strings.ReplaceAll(strings.Replace(validDeployment, `"slots": 4`, `"slots": "4", "x": 1`, 1), `"slots": 1`, `"slots": 0`), validPipeline)
	c.Assert(mistakes, qt.HasLen, 3, qt.Commentf("%v", mistakes))
}

// largeSet returns a set of the size expected in two years.
func largeSet(organisations int) *Set {
	set := &Set{Deployment: Deployment{Name: "d", Regions: []Region{{Name: "r", FailureDomains: []string{"r-a"}}},
		Pools: []Pool{{Name: "engines", Type: StageGenerate, Slots: 4}}}}
	for i := range organisations {
		set.Deployment.Organisations = append(set.Deployment.Organisations, Organisation{Name: fmt.Sprintf("organisation-%05d", i)})
	}
	return set
}

// Guards against a lookup that scans all organisations for each request.
func BenchmarkOrganisationLookup(b *testing.B) {
	set := largeSet(19000)
	set.Index()
	for b.Loop() {
		if _, ok := set.Organisation("organisation-18999"); !ok {
			b.Fatal("organisation not found")
		}
	}
}

// Measures the check of the whole set.
func BenchmarkValidate(b *testing.B) {
	set := largeSet(19000)
	for b.Loop() {
		if mistakes := Validate(set); len(mistakes) > 0 {
			b.Fatal(mistakes)
		}
	}
}
