package pipeline

import (
	"fmt"
	"io/fs"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// MaxFileBytes is the size limit of one pipeline file: a published pipeline is one
// part of the configuration, and a part has at most 512 KB.
const MaxFileBytes = 512 << 10

// maxNameBytes keeps names short enough for store keys and heartbeats.
const maxNameBytes = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check reads the deployment file and the pipeline files below a root. It returns
// the set with all its mistakes, or an error if the files couldn't be read.
func Check(root fs.FS) (*Set, Mistakes, error) {
	v, err := readFiles(root)
	if err != nil {
		return nil, nil, fmt.Errorf("check operators' files: %w", err)
	}
	return v.set, v.check(), nil
}

// Validate returns all mistakes of a set that was not read from files.
func Validate(set *Set) Mistakes {
	return (&validator{set: set, noFiles: true}).check()
}

// validator collects the mistakes of one set.
type validator struct {
	set *Set
	// noFiles is true when the set was not read from files.
	noFiles    bool
	deployment *document
	// pipelines holds the documents of set.Pipelines, with the same indices.
	pipelines []*document
	// unusable holds documents that couldn't be parsed, and surplus deployment files.
	unusable []*document
	mistakes Mistakes
	// pools holds the pools by name; nil if the deployment was not checked.
	pools map[string]Pool
}

// readFile reads a deployment or pipeline file and ignores other files.
func (v *validator) readFile(root fs.FS, path, name string) error {
	isPipeline := strings.HasSuffix(name, PipelineSuffix)
	if name != DeploymentFile && !isPipeline {
		return nil
	}
	d, err := parseDocument(root, path)
	if err != nil {
		return err
	}
	switch {
	case len(d.mistakes) > 0:
		v.unusable = append(v.unusable, d)
		return nil
	case isPipeline:
		return v.readPipeline(d)
	case v.deployment != nil:
		d.report(0, "second deployment file, expected only %s", v.deployment.file)
		v.unusable = append(v.unusable, d)
		return nil
	}
	v.deployment = d
	return d.decode(&v.set.Deployment)
}

func (v *validator) readPipeline(d *document) error {
	if len(d.data) > MaxFileBytes {
		d.report(0, "file has %d bytes, expected at most %d", len(d.data), MaxFileBytes)
	}
	var p Pipeline
	if err := d.decode(&p); err != nil {
		return err
	}
	v.set.Pipelines = append(v.set.Pipelines, p)
	v.pipelines = append(v.pipelines, d)
	return nil
}

// fileMistakes returns the mistakes in the syntax, fields and types of the files.
func (v *validator) fileMistakes() (mistakes Mistakes) {
	for _, d := range append(append(v.unusable, v.pipelines...), v.deployment) {
		mistakes = append(mistakes, d.mistakesFound()...)
	}
	return mistakes
}

// check applies all rules and returns the mistakes, sorted by file and position.
func (v *validator) check() Mistakes {
	v.mistakes = v.fileMistakes()
	if v.noFiles || v.deployment != nil {
		v.checkDeployment()
	} else if !slices.ContainsFunc(v.unusable, func(d *document) bool { return strings.HasSuffix(d.file, DeploymentFile) }) {
		v.mistakes = append(v.mistakes, Mistake{File: DeploymentFile, Message: "file is missing, expected one deployment file"})
	}
	v.checkPipelines()
	v.set.Index()
	return v.mistakes.sorted()
}

// deploymentIndex identifies the deployment file where pipeline files are identified
// by their index in Set.Pipelines.
const deploymentIndex = -1

// report adds a mistake at a path of a pipeline file or of the deployment file. It
// does nothing if the value already has a mistake in its syntax or type.
func (v *validator) report(fileIndex int, at path, format string, args ...any) {
	m := Mistake{Message: fmt.Sprintf(format, args...)}
	d := v.document(fileIndex)
	if d == nil {
		m.Message = v.describePath(fileIndex, at) + m.Message
		v.mistakes = append(v.mistakes, m)
		return
	}
	m.File = d.file
	m.Line, m.Column = d.position(d.offset(at))
	atSamePosition := func(other Mistake) bool {
		return other.File == m.File && other.Line == m.Line && other.Column == m.Column && other.Message != m.Message
	}
	if slices.ContainsFunc(d.mistakes, atSamePosition) {
		return
	}
	v.mistakes = append(v.mistakes, m)
}

// document returns the document of a file, nil when the set has no files.
func (v *validator) document(fileIndex int) *document {
	switch {
	case v.noFiles:
		return nil
	case fileIndex == deploymentIndex:
		return v.deployment
	}
	return v.pipelines[fileIndex]
}

// describePath describes a path in messages about a set without files.
func (v *validator) describePath(fileIndex int, at path) string {
	if fileIndex == deploymentIndex {
		return fmt.Sprintf("deployment %v: ", []any(at))
	}
	return fmt.Sprintf("pipeline %q %v: ", v.set.Pipelines[fileIndex].Name, []any(at))
}

// checkName reports an empty, oversized or malformed name.
func (v *validator) checkName(fileIndex int, at path, what, name string) {
	switch {
	case name == "":
		v.report(fileIndex, at, "%s has no name, expected 1 to %d characters", what, maxNameBytes)
	case len(name) > maxNameBytes:
		v.report(fileIndex, at, "name of %s has %d characters, expected at most %d", what, len(name), maxNameBytes)
	case !namePattern.MatchString(name):
		v.report(fileIndex, at, "name %q of %s is malformed, expected letters, digits, '.', '_' and '-'", name, what)
	}
}

// checkUnique reports a name that an earlier object of the same type has, and adds
// the name to seen.
func (v *validator) checkUnique(fileIndex int, at path, what, name string, seen map[string]bool) {
	if seen[name] && name != "" {
		v.report(fileIndex, at, "%s %q is defined twice, expected unique names", what, name)
	}
	seen[name] = true
}

// number is the type constraint of values with limits.
type number interface{ ~int | ~int64 | ~float64 }

func checkRange[T number](v *validator, fileIndex int, at path, value, low, high T) {
	switch {
	case value < low:
		v.report(fileIndex, at, "%v is %v, expected at least %v", at[len(at)-1], value, low)
	case value > high:
		v.report(fileIndex, at, "%v is %v, expected at most %v", at[len(at)-1], value, high)
	}
}

func checkEnum[T ~string](v *validator, fileIndex int, at path, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		v.report(fileIndex, at, "unknown %v %q, expected one of %v", at[len(at)-1], value, allowed)
	}
}

// knownNames lists the sorted names for a message, at most the first ten of them.
func knownNames[T any](names map[string]T) string {
	const shown = 10
	sorted := slices.Sorted(maps.Keys(names))
	if len(sorted) > shown {
		return strings.Join(sorted[:shown], ", ") + ", ..."
	}
	return strings.Join(sorted, ", ")
}
