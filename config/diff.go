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

// Action is the kind of change of an object.
type Action string

// Actions.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
	// ActionUnknown marks an object whose change can't be determined, because its
	// old state is missing from the store.
	ActionUnknown Action = "unknown"
)

// Change describes one object that differs between two sets.
type Change struct {
	Action Action `json:"action"`
	// Object is the kind and name of the object, for example "pool engines" or
	// "pipeline notes, stage draft".
	Object string `json:"object"`
	// Fields lists the fields that differ; empty for an added or removed object.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange describes one field that differs. The values are JSON; an absent
// field has an empty value.
type FieldChange struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Difference lists the changes between two sets, one for each object.
type Difference []Change

// Compare returns the difference between two sets, sorted by object. It ignores
// the order of definitions in the files, apart from the order of stages.
func Compare(from, to *pipeline.Set) Difference {
	before, after := objectsByName(from), objectsByName(to)
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
	// Encoding can't fail, because the objects hold only strings, numbers and lists.
	data, _ := json.Marshal(object)
	_ = json.Unmarshal(data, &fields)
	return fields
}

// deploymentFields holds the fields of a deployment that are not objects of their
// own.
type deploymentFields struct {
	Name                 string  `json:"deployment"`
	LinkMbits            float64 `json:"link_mbits"`
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute"`
}

// pipelineFields holds the names of a pipeline's stages in order.
type pipelineFields struct {
	StageOrder []string `json:"stage_order"`
}

// objectsByName returns the objects of a set, keyed as in Change.Object.
func objectsByName(set *pipeline.Set) map[string]any {
	objects := map[string]any{}
	if set == nil {
		return objects
	}
	d := set.Deployment
	objects["deployment"] = deploymentFields{d.Name, d.LinkMbits, d.WeightLoadsPerMinute}
	for _, region := range d.Regions {
		objects["region "+region.Name] = region
	}
	for _, pool := range d.Pools {
		objects["pool "+pool.Name] = pool
	}
	for _, organisation := range d.Organisations {
		objects["organisation "+organisation.Name] = organisation
	}
	for _, p := range set.Pipelines {
		addPipeline(objects, p)
	}
	return objects
}

func addPipeline(objects map[string]any, p pipeline.Pipeline) {
	name := "pipeline " + p.Name
	var order pipelineFields
	for _, stage := range p.Stages {
		order.StageOrder = append(order.StageOrder, stage.Name)
		objects[name+", stage "+stage.Name] = stage
	}
	objects[name] = order
	for _, kind := range p.Kinds {
		objects[name+", kind "+kind.Name] = kind
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

// BoundedText returns the result of Text if it fits MaxDifferenceBytes, otherwise
// the number of changes and the text cut to that size.
func (d Difference) BoundedText() string {
	text := d.Text()
	if len(text) <= MaxDifferenceBytes {
		return text
	}
	const newline = "\n" // the audit command prints one entry after the other
	return truncate(fmt.Sprintf("%d changes\n%s", len(d), text), MaxDifferenceBytes-len(newline)) + newline
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}
