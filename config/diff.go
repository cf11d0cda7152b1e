package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Action says what happened to an object.
type Action string

// Actions.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
	// ActionUnknown is a change that can't be told, because the old state is lost.
	ActionUnknown Action = "unknown"
)

// Change is one object that differs between two sets.
type Change struct {
	Action Action `json:"action"`
	// Object is the kind and name of the object, for example "pool engines" or
	// "pipeline notes, stage draft".
	Object string `json:"object"`
	// Fields holds the fields that differ; empty for an added or removed object.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field that differs, with values as JSON. An absent field
// is empty.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Difference lists what changed between two sets, by object.
type Difference []Change

// Compare returns the difference between two sets. The order of definitions in
// the files doesn't matter, apart from the order of stages.
func Compare(from, to *pipeline.Set) Difference {
	before, after := objects(from), objects(to)
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	var difference Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if change, differs := compareObject(name, before[name], after[name]); differs {
			difference = append(difference, change)
		}
	}
	return difference
}

func compareObject(name string, before, after any) (Change, bool) {
	switch {
	case before == nil:
		return Change{Action: ActionAdded, Object: name}, true
	case after == nil:
		return Change{Action: ActionRemoved, Object: name}, true
	}
	fields := compareFields(before, after)
	return Change{Action: ActionChanged, Object: name, Fields: fields}, len(fields) > 0
}

func compareFields(before, after any) []FieldChange {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	old, updated := fieldsOf(before), fieldsOf(after)
	names := maps.Clone(old)
	maps.Copy(names, updated)
	var changes []FieldChange
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if string(old[name]) != string(updated[name]) {
			changes = append(changes, FieldChange{name, string(old[name]), string(updated[name])})
		}
	}
	return changes
}

// fieldsOf returns the JSON fields of an object.
func fieldsOf(object any) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	// The objects hold only strings, numbers and lists, so that encoding can't fail.
	data, _ := json.Marshal(object)
	_ = json.Unmarshal(data, &fields)
	return fields
}

// deploymentFields are the fields of a deployment that are no objects.
type deploymentFields struct {
	Name                 string  `json:"deployment"`
	LinkMbits            float64 `json:"link_mbits"`
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute"`
}

// pipelineFields holds the names of a pipeline's stages in order.
type pipelineFields struct {
	StageOrder []string `json:"stage_order"`
}

// objects returns the objects of a set by kind and name.
func objects(set *pipeline.Set) map[string]any {
	found := map[string]any{}
	if set == nil {
		return found
	}
	d := set.Deployment
	found["deployment"] = deploymentFields{d.Name, d.LinkMbits, d.WeightLoadsPerMinute}
	for _, region := range d.Regions {
		found["region "+region.Name] = region
	}
	for _, pool := range d.Pools {
		found["pool "+pool.Name] = pool
	}
	for _, organisation := range d.Organisations {
		found["organisation "+organisation.Name] = organisation
	}
	for _, p := range set.Pipelines {
		addPipeline(found, p)
	}
	return found
}

func addPipeline(found map[string]any, p pipeline.Pipeline) {
	name := "pipeline " + p.Name
	var order pipelineFields
	for _, stage := range p.Stages {
		order.StageOrder = append(order.StageOrder, stage.Name)
		found[name+", stage "+stage.Name] = stage
	}
	found[name] = order
	for _, kind := range p.Kinds {
		found[name+", kind "+kind.Name] = kind
	}
}

// Text returns the difference as readable lines.
func (d Difference) Text() string {
	if len(d) == 0 {
		return "no changes\n"
	}
	var text strings.Builder
	for _, change := range d {
		fmt.Fprintf(&text, "%s %s\n", change.Action, change.Object)
		for _, field := range change.Fields {
			fmt.Fprintf(&text, "  %s: %s -> %s\n", field.Name, orAbsent(field.Old), orAbsent(field.New))
		}
	}
	return text.String()
}

// BoundedText returns the text in at most MaxDifferenceBytes, with the number of
// changes when it doesn't fit.
func (d Difference) BoundedText() string {
	text := d.Text()
	if len(text) <= MaxDifferenceBytes {
		return text
	}
	const end = "\n" // readers print entry after entry
	return truncate(fmt.Sprintf("%d changes\n%s", len(d), text), MaxDifferenceBytes-len(end)) + end
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}
