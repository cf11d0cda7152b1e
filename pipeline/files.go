package pipeline

import (
	"fmt"
	"io/fs"
)

// Name of the deployment file and suffix of the names of pipeline files.
const (
	DeploymentFile = "deployment.jsonc"
	PipelineSuffix = ".pipeline.jsonc"
)

// Load reads the deployment file and all pipeline files below the root of a file
// system, in path order. It returns an error that wraps Mistakes for files that
// can't be decoded. Unlike Check, it doesn't check the rules of the set.
func Load(root fs.FS) (*Set, error) {
	v, err := readFiles(root)
	if err != nil {
		return nil, fmt.Errorf("load operators' files: %w", err)
	}
	if mistakes := v.fileMistakes(); len(mistakes) > 0 {
		return nil, fmt.Errorf("load operators' files: %w", mistakes.sorted())
	}
	v.set.Index()
	return v.set, nil
}

// readFiles reads the deployment file and all pipeline files below a root.
func readFiles(root fs.FS) (*validator, error) {
	v := &validator{set: &Set{}}
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return v.readFile(root, path, entry.Name())
	})
	return v, err
}
