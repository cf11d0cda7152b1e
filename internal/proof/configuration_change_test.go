package proof

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

// Guards against commands that do not work together when the configuration is changed
// while an instance runs.
func TestConfigurationChange(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: func(env *testscript.Env) error { return setUpConfigurationChange(qt.New(t), env) },
		Cmds:  map[string]func(ts *testscript.TestScript, neg bool, args []string){"eventually": runUntilMatch},
	})
}

// setUpConfigurationChange starts stand-ins and writes the settings of one instance
// and three versions of the deployment folder, one for each operator's change.
func setUpConfigurationChange(c *qt.C, env *testscript.Env) error {
	cluster, err := standin.StartCluster(standin.ClusterConfig{Folder: exampleFolder, Speed: speedFactor})
	if err != nil {
		return err
	}
	env.Defer(func() { _ = cluster.Close() }) // the instance may still hold connections
	f := &fleet{C: c, name: "configuration-change", cluster: cluster}
	for name, mbits := range map[string]int{"tavares": 30, "ana": 40, "bo": 20} {
		if err := os.CopyFS(filepath.Join(env.WorkDir, name), os.DirFS(f.withLinkCapacity(mbits))); err != nil {
			return err
		}
	}
	entries, err := cluster.EntrySettings(exampleFolder, 1, nextPort)
	if err != nil {
		return err
	}
	entries[0].PipelineFiles = ""
	entries[0].DrainGraceMS = 1
	paths, err := standin.WriteSettings(filepath.Join(env.WorkDir, "settings"), entries[:1])
	if err != nil {
		return err
	}
	env.Setenv("STORE", cluster.StoreAddress)
	env.Setenv("ADMIN", entries[0].AdminAddress)
	env.Setenv("SETTINGS", paths[0])
	env.Setenv("PATH", filepath.Dir(binary)+string(os.PathListSeparator)+os.Getenv("PATH"))
	return nil
}

// runUntilMatch runs a command until its output matches a pattern:
// eventually PATTERN NAME ARG...
func runUntilMatch(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	deadline := time.Now().Add(conditionTimeout)
	var output []byte
	for time.Now().Before(deadline) {
		command := exec.Command(binary, args[2:]...)
		output, err = command.Output()
		if err == nil && pattern.Match(output) {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("%v never matched %q: %v\n%s", args[1:], args[0], err, output)
}
