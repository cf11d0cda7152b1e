package pipeline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"strings"

	"github.com/tailscale/hujson"
)

// Names of the operators' files.
const (
	DeploymentFile = "deployment.jsonc"
	PipelineSuffix = ".pipeline.jsonc"
)

// Collect reads the deployment file and all pipeline files below the root of a
// file system, in path order.
func Collect(root fs.FS) (*Set, error) {
	var set Set
	err := fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		return set.add(root, path, entry.Name())
	})
	if err != nil {
		return nil, fmt.Errorf("collect operators' files: %w", err)
	}
	set.Index()
	return &set, nil
}

// add reads one file when its name is that of an operators' file.
func (s *Set) add(root fs.FS, path, name string) error {
	switch {
	case name == DeploymentFile:
		return decodeFile(root, path, &s.Deployment)
	case strings.HasSuffix(name, PipelineSuffix):
		var p Pipeline
		if err := decodeFile(root, path, &p); err != nil {
			return err
		}
		s.Pipelines = append(s.Pipelines, p)
	}
	return nil
}

// decodeFile reads JSON with comments and refuses unknown fields.
func decodeFile(root fs.FS, path string, into any) error {
	data, err := fs.ReadFile(root, path)
	if err != nil {
		return err
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
