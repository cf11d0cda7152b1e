package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a daemon that starts with a settings file with mistakes or exits with
// another code than ExitInvalid.
func TestInvalidSettings(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "entry.jsonc")
	c.Assert(os.WriteFile(path, []byte("{\"instance\": 1}"), 0o600), qt.IsNil)
	var stdout, stderr bytes.Buffer
	c.Assert(Run([]string{"entry", "--settings", path}, &stdout, &stderr), qt.Equals, ExitInvalid)
	c.Assert(stderr.String(), qt.Contains, path+":1:14: ")
}

// Guards against a usage mistake that exits with the code of success.
func TestUnknownArgumentIsUsageError(t *testing.T) {
	c := qt.New(t)
	var stdout, stderr bytes.Buffer
	c.Assert(Run([]string{"--no-such-flag"}, &stdout, &stderr), qt.Equals, ExitUsage)
	c.Assert(stderr.String(), qt.Contains, "no-such-flag")
	c.Assert(stdout.String(), qt.Equals, "")
}
