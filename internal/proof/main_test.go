// Package proof injects faults into deployments of real entry processes and compares
// the answers that callers got with the runs that the stand-ins recorded. It contains
// only tests, because the coltsfootdrift binary itself starts no processes.
package proof

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/traffic"
)

var (
	seed = flag.Uint64("seed", 20261204, "seed of the requests, the choice of instances and the victims")
	all  = flag.Bool("all", false, "run all scenarios; without it those that are part of go test ./...")
)

// maxConcurrentScenarios limits the scenarios that run at the same time. Each has six
// entry processes, which share the processors with the load and the stand-ins.
const maxConcurrentScenarios = 4

var scenarioSlots = make(chan struct{}, maxConcurrentScenarios)

// Range of ports of this package's processes. No other test package draws from it,
// because another one could bind the port of a process between its kill and its restart.
const (
	firstPort = 2000
	lastPort  = 6000
)

// nextPort returns a port that no other scenario uses. If each scenario searched for
// free ports by itself, two could choose the same port before either binds it.
func nextPort() (int, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	return freePorts()
}

var (
	portsMu   sync.Mutex
	freePorts = standin.FreePortsBetween(firstPort, lastPort)
)

// binary is the path of the coltsfootdrift binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "coltsfootdrift-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "coltsfootdrift")
	build := exec.Command("go", "build", "-o", binary, "../../cmd/coltsfootdrift")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	code := m.Run()
	table.print()
	return code
}

// scenarioRow is the row of a scenario in the printed table.
type scenarioRow struct {
	scenario string
	faults   []string
	counts   traffic.Counts
}

// scenarioTable collects rows while scenarios run in parallel.
type scenarioTable struct {
	mu   sync.Mutex
	rows []scenarioRow
}

var table scenarioTable

func (t *scenarioTable) add(row scenarioRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = append(t.rows, row)
}

func (t *scenarioTable) print() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.rows) == 0 {
		return
	}
	slices.SortFunc(t.rows, func(a, b scenarioRow) int { return strings.Compare(a.scenario, b.scenario) })
	fmt.Printf("\nseed %d\n", *seed)
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "scenario\trequests\tcompleted\tnot_run\tfailed\tunknown\tlost\tdoubled\tmixed_up\tnot_run_but_ran\tfaults")
	for _, row := range t.rows {
		c := row.counts
		fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", row.scenario, c.Requests, c.Completed, c.NotRun,
			c.Failed, c.Unknown, c.Lost, c.Doubled, c.MixedUp, c.NotRunButRan, strings.Join(row.faults, ", "))
	}
	_ = writer.Flush()
}

// randomOf returns a random source that depends on the seed, the scenario and the
// purpose only.
func randomOf(scenario, purpose string) *rand.Rand {
	hash := fnv.New64a()
	fmt.Fprint(hash, scenario, "/", purpose)
	return rand.New(rand.NewPCG(*seed, hash.Sum64()))
}
