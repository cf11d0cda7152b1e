package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
)

const (
	exampleFolder = "../../examples/tavares"
	// speedFactor divides the service times of backend servers.
	speedFactor = 20
	// instancesPerDomain is the number of entry instances in each failure domain.
	instancesPerDomain = 2
	// conditionTimeout limits the wait for a condition. The longest stated target,
	// 13 s for a configuration, and the start of a process fit in with a wide margin.
	conditionTimeout = 40 * time.Second
	// drainGrace is long enough for the load balancer to notice that an instance is no
	// longer ready: it checks every balanceInterval and waits at most readinessTimeout
	// for an answer.
	drainGrace = 1500 * time.Millisecond
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// isolatedDomain is the failure domain that scenarios isolate or restart. It is the
// only one of its region.
const isolatedDomain = "centro-arm"

// fleet is one deployment: stand-ins in the test process, and entry processes.
type fleet struct {
	*qt.C
	name      string // of the scenario; a change of it changes the random choices
	cluster   *standin.Cluster
	instances []*instance
	// storeProxies and listProxies hold the proxies to the store and to the instance
	// list, by failure domain.
	storeProxies, listProxies map[string]*faultProxy
	partition                 *partition
	random                    *rand.Rand
}

// startScenario starts the fleet of a scenario. Scenarios run in parallel.
func startScenario(t *testing.T, name string) *fleet {
	t.Parallel()
	scenarioSlots <- struct{}{}
	t.Cleanup(func() { <-scenarioSlots })
	return newFleet(qt.New(t), name)
}

// startLongScenario starts the fleet of a scenario that runs only with -all, because
// go test ./... is to take less than a minute.
func startLongScenario(t *testing.T, name string) *fleet {
	if !*all {
		t.Skip("runs with -all")
	}
	return startScenario(t, name)
}

// newFleet starts a deployment, publishes its configuration and waits until every
// instance is ready and knows its peers.
func newFleet(c *qt.C, name string) *fleet {
	cluster, err := standin.StartCluster(standin.ClusterConfig{Folder: exampleFolder, Speed: speedFactor})
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = cluster.Close() }) // connections of killed processes may be broken
	f := &fleet{C: c, name: name, cluster: cluster, storeProxies: map[string]*faultProxy{}, listProxies: map[string]*faultProxy{}, random: randomOf(name, "faults")}
	f.partition = f.newPartition()
	c.Assert(f.publish(exampleFolder, "first"), qt.IsNil)
	f.writeSettings()
	f.forEachInstance(func(i *instance) { i.start() })
	f.waitReady(f.instances...)
	f.waitPeers()
	return f
}

// writeSettings starts the proxies and writes the settings files of all instances.
func (f *fleet) writeSettings() {
	entries, err := f.cluster.EntrySettings(exampleFolder, instancesPerDomain, nextPort)
	f.Assert(err, qt.IsNil)
	proxies := newProxies()
	for i := range entries {
		e := &entries[i]
		if f.storeProxies[e.FailureDomain] == nil {
			f.storeProxies[e.FailureDomain] = newFaultProxy(f.C, proxies, "store-"+e.FailureDomain, f.cluster.StoreAddress)
			f.listProxies[e.FailureDomain] = newFaultProxy(f.C, proxies, "list-"+e.FailureDomain, f.cluster.PlatformAddress)
		}
		e.StoreAddress, e.PlatformAddress = f.storeProxies[e.FailureDomain].address(), f.listProxies[e.FailureDomain].address()
		e.PipelineFiles = ""
		e.DrainGraceMS = drainGrace.Milliseconds()
		f.instances = append(f.instances, &instance{C: f.C, settings: *e})
	}
	f.registerInstances(entries)
	paths, err := standin.WriteSettings(f.TempDir(), entries)
	f.Assert(err, qt.IsNil)
	for n, i := range f.instances {
		i.path = paths[n]
	}
	f.Cleanup(func() { f.forEachInstance(func(i *instance) { i.killAndShowLog() }) })
}

// registerInstances enters the addresses of the relays, by which the instances reach
// each other, in the settings and in the instance list.
func (f *fleet) registerInstances(entries []settings.Entry) {
	for n := range entries {
		entries[n].AdvertiseAddress = f.partition.startRelay(f.instances[n])
	}
	for n := range entries {
		entries[n].Peers = nil
		for other := range entries {
			if other != n {
				entries[n].Peers = append(entries[n].Peers, entries[other].AdvertiseAddress)
			}
		}
		e := entries[n]
		f.cluster.InstanceList.Put(platform.Member{ID: e.Instance, Role: platform.RoleEntry, Address: e.AdvertiseAddress,
			Region: e.Region, FailureDomain: e.FailureDomain, State: platform.StateLive})
	}
}

func (f *fleet) forEachInstance(visit func(*instance)) {
	for _, i := range f.instances {
		visit(i)
	}
}

// inDomain returns the instances of a failure domain.
func (f *fleet) inDomain(domain string) []*instance {
	var instances []*instance
	for _, i := range f.instances {
		if i.settings.FailureDomain == domain {
			instances = append(instances, i)
		}
	}
	return instances
}

// randomInstance returns a random instance.
func (f *fleet) randomInstance() *instance { return f.instances[f.random.IntN(len(f.instances))] }

// publish runs the publish command for a folder. It accesses the store without a
// proxy.
func (f *fleet) publish(folder, author string, more ...string) error {
	arguments := append([]string{"publish", "--store", f.cluster.StoreAddress, "--author", author, "--reason", "proof"}, more...)
	command := exec.Command(binary, append(arguments, folder)...)
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, output)
	}
	return nil
}

// withLinkCapacity returns a copy of the example folder with another link capacity.
func (f *fleet) withLinkCapacity(mbits int) string {
	target := filepath.Join(f.TempDir(), fmt.Sprint(mbits))
	f.Assert(os.CopyFS(target, os.DirFS(exampleFolder)), qt.IsNil)
	path := filepath.Join(target, "deployment.jsonc")
	text, err := os.ReadFile(path)
	f.Assert(err, qt.IsNil)
	changed := replaceOnce(f.C, string(text), `"link_mbits": 30`, fmt.Sprintf(`"link_mbits": %d`, mbits))
	f.Assert(os.WriteFile(path, []byte(changed), 0o644), qt.IsNil)
	return target
}

// waitUntil waits until a condition holds, and fails the test after conditionTimeout.
func (f *fleet) waitUntil(what string, condition func() bool) {
	f.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.Fatalf("%s: condition %q not met within %s", f.name, what, conditionTimeout)
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) waitReady(instances ...*instance) {
	f.Helper()
	for _, i := range instances {
		f.waitUntil(i.settings.Instance+" ready", i.ready)
	}
}

// waitPeers waits until the membership view of each instance has all instances of
// its failure domain.
func (f *fleet) waitPeers() {
	f.Helper()
	for _, i := range f.instances {
		f.waitUntil(i.settings.Instance+" knows its peers", func() bool { return len(i.status().Peers.Members) == instancesPerDomain })
	}
}

// waitRevision waits until a configuration revision is in force on instances.
func (f *fleet) waitRevision(revision int64, instances ...*instance) {
	f.Helper()
	for _, i := range instances {
		f.waitUntil(fmt.Sprintf("revision %d in %s", revision, i.settings.Instance), func() bool {
			return i.status().Configuration.Revision == revision
		})
	}
}

// status holds the fields of an instance's status document that scenarios read.
type status struct {
	Configuration struct {
		Revision int64 `json:"revision"`
	} `json:"configuration"`
	Peers struct {
		Members  []json.RawMessage `json:"members"`
		Draining []string          `json:"draining_servers"`
	} `json:"peers"`
}

var adminClient = &http.Client{Timeout: time.Second}

// status returns the status of the instance, or the zero value when it does not
// answer.
func (i *instance) status() (s status) {
	response, err := adminClient.Get("http://" + i.settings.AdminAddress + statuspage.Path)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

// ready reports whether the readiness check of the instance succeeds.
func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readinessTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.settings.AdminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
