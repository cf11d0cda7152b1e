package pipeline

import (
	"fmt"
	"io/fs"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// MaxFileBytes bounds one pipeline file: a published pipeline is one part of
// the configuration and parts hold at most 512 KB.
const MaxFileBytes = 512 << 10

// maxNameLength keeps names short enough for store keys and heartbeats.
const maxNameLength = 64

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Check reads the operators' files below a root and returns the set together
// with every mistake in it. The error says that the files couldn't be read.
func Check(root fs.FS) (*Set, Mistakes, error) {
	v, err := readFiles(root)
	if err != nil {
		return nil, nil, fmt.Errorf("check operators' files: %w", err)
	}
	return v.set, v.check(), nil
}

// Validate returns every mistake of a set that was not read from files.
func Validate(set *Set) Mistakes {
	return (&validator{set: set, unlocated: true}).check()
}

// validator collects the mistakes of one set.
type validator struct {
	set *Set
	// unlocated is true when the set has no files.
	unlocated  bool
	deployment *document
	// pipelines holds the documents of set.Pipelines, with the same indices.
	pipelines []*document
	// broken holds documents that couldn't be parsed.
	broken   []*document
	mistakes Mistakes
	pools    map[string]Pool
}

func (v *validator) read(root fs.FS, path, name string) error {
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
		v.broken = append(v.broken, d)
		return nil
	case isPipeline:
		return v.readPipeline(d)
	case v.deployment != nil:
		d.report(0, "second deployment file, expected only %s", v.deployment.file)
		v.broken = append(v.broken, d)
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

// fileMistakes returns the mistakes of syntax and shape of the files.
func (v *validator) fileMistakes() (mistakes Mistakes) {
	for _, d := range append(append(v.broken, v.pipelines...), v.deployment) {
		mistakes = append(mistakes, d.found()...)
	}
	return mistakes
}

// check runs every rule and returns the mistakes by position.
func (v *validator) check() Mistakes {
	v.mistakes = v.fileMistakes()
	if v.unlocated || v.deployment != nil {
		v.checkDeployment()
	} else if !slices.ContainsFunc(v.broken, func(d *document) bool { return strings.HasSuffix(d.file, DeploymentFile) }) {
		v.mistakes = append(v.mistakes, Mistake{File: DeploymentFile, Message: "file is missing, expected one deployment file"})
	}
	v.checkPipelines()
	v.set.Index()
	return v.mistakes.sorted()
}

// deploymentFile stands for the deployment in place of a pipeline's index.
const deploymentFile = -1

// report adds a mistake at a path of a pipeline's file or of the deployment file.
// A value that already has a mistake gets no second one.
func (v *validator) report(file int, at path, format string, args ...any) {
	m := Mistake{Message: fmt.Sprintf(format, args...)}
	d := v.document(file)
	if d == nil {
		m.Message = v.where(file, at) + m.Message
		v.mistakes = append(v.mistakes, m)
		return
	}
	m.File = d.file
	m.Line, m.Column = d.position(d.offset(at))
	known := func(other Mistake) bool {
		return other.File == m.File && other.Line == m.Line && other.Column == m.Column && other.Message != m.Message
	}
	if slices.ContainsFunc(d.mistakes, known) {
		return
	}
	v.mistakes = append(v.mistakes, m)
}

func (v *validator) document(file int) *document {
	switch {
	case v.unlocated:
		return nil
	case file == deploymentFile:
		return v.deployment
	}
	return v.pipelines[file]
}

// where describes a path for a set without files.
func (v *validator) where(file int, at path) string {
	if file == deploymentFile {
		return fmt.Sprintf("deployment %v: ", []any(at))
	}
	return fmt.Sprintf("pipeline %q %v: ", v.set.Pipelines[file].Name, []any(at))
}

// checkName reports an empty, oversized or malformed name.
func (v *validator) checkName(file int, at path, what, name string) {
	switch {
	case name == "":
		v.report(file, at, "%s has no name, expected 1 to %d characters", what, maxNameLength)
	case len(name) > maxNameLength:
		v.report(file, at, "name of %s has %d characters, expected at most %d", what, len(name), maxNameLength)
	case !namePattern.MatchString(name):
		v.report(file, at, "name %q of %s is malformed, expected letters, digits, '.', '_' and '-'", name, what)
	}
}

// checkUnique reports a name that an earlier object of the same sort has.
func (v *validator) checkUnique(file int, at path, what, name string, seen map[string]bool) {
	if seen[name] && name != "" {
		v.report(file, at, "%s %q is defined twice, expected unique names", what, name)
	}
	seen[name] = true
}

// number is any type of a limit.
type number interface{ ~int | ~int64 | ~float64 }

func checkRange[T number](v *validator, file int, at path, value, low, high T) {
	switch {
	case value < low:
		v.report(file, at, "%v is %v, expected at least %v", at[len(at)-1], value, low)
	case value > high:
		v.report(file, at, "%v is %v, expected at most %v", at[len(at)-1], value, high)
	}
}

func checkEnum[T ~string](v *validator, file int, at path, value T, allowed ...T) {
	if !slices.Contains(allowed, value) {
		v.report(file, at, "unknown %v %q, expected one of %v", at[len(at)-1], value, allowed)
	}
}

// knownNames lists names for a message, at most a few of them.
func knownNames[T any](names map[string]T) string {
	const shown = 10
	sorted := slices.Sorted(maps.Keys(names))
	if len(sorted) > shown {
		return strings.Join(sorted[:shown], ", ") + ", ..."
	}
	return strings.Join(sorted, ", ")
}
