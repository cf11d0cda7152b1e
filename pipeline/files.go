package pipeline

import (
	"fmt"
	"io/fs"
)

// Names of the operators' files.
const (
	DeploymentFile = "deployment.jsonc"
	PipelineSuffix = ".pipeline.jsonc"
)

// Load reads the deployment file and all pipeline files below the root of a
// file system, in path order. It refuses files that can't be decoded and leaves
// the rules of the set to Check.
func Load(root fs.FS) (*Set, error) {
	v, err := readFiles(root)
	if err != nil {
		return nil, fmt.Errorf("collect operators' files: %w", err)
	}
	if mistakes := v.fileMistakes(); len(mistakes) > 0 {
		return nil, fmt.Errorf("collect operators' files: %w", mistakes.sorted())
	}
	v.set.Index()
	return v.set, nil
}

// readFiles reads every operators' file below a root.
func readFiles(root fs.FS) (*validator, error) {
	v := &validator{set: &Set{}}
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return v.read(root, path, entry.Name())
	})
	return v, err
}
