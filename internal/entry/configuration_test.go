package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"testing/fstest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// controlStatus is the part of the status that the test reads.
type controlStatus struct {
	Configuration configurationStatus `json:"configuration"`
	Peers         peersStatus         `json:"peers"`
}

// Guards against a daemon whose membership and configuration are not connected:
// the second instance cannot reach the store and must get the configuration, and
// later changes, from the first one.
func TestConfigurationReachesInstanceCutOffFromStore(t *testing.T) {
	c := qt.New(t)
	storeAddress := startServer(c, standin.NewStore().Handler())
	list := startServer(c, (&standin.InstanceList{}).Handler())
	first := controlSettings(c, list, "a")
	first.StoreAddress = storeAddress
	second := controlSettings(c, list, "b")
	second.StoreAddress = "127.0.0.1:1"
	second.Peers = []string{first.PeerAddress}
	startControl(c, first)
	startControl(c, second)
	c.Assert(readStatus(c, second).Configuration.InForce, qt.IsFalse)

	for revision := int64(1); revision <= 2; revision++ {
		publishSet(c, storeAddress, int(revision))
		waitForStatus(c, second, func(s controlStatus) bool { return s.Configuration.Revision == revision })
	}
	waitForStatus(c, second, func(s controlStatus) bool {
		return len(s.Peers.FailureDomains) == 1 && s.Peers.FailureDomains[0].FailureDomain == "a"
	})
	response, err := http.Get("http://" + second.AdminAddress + "/readyz")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// Guards against a draining refusal that is not reported to the other instances,
// which would then send new work to the draining server.
func TestDrainRefusalReachesOtherInstances(t *testing.T) {
	c := qt.New(t)
	list := &standin.InstanceList{}
	list.Set([]platform.Member{{ID: "e1", Role: platform.RoleBackend, Address: "127.0.0.1:1", Pool: "p", Region: "r",
		FailureDomain: "a", State: platform.StateLive, Incarnation: 3}})
	address := startServer(c, list.Handler())
	first, second := controlSettings(c, address, "a"), controlSettings(c, address, "a")
	second.Instance, second.Peers = "entry-2", []string{first.PeerAddress}
	var picker, other Picker
	startControl(c, first, fx.Populate(&picker))
	startControl(c, second, fx.Populate(&other))
	waitForStatus(c, first, func(s controlStatus) bool { return len(s.Peers.Members) == 2 })
	query := Query{Pool: "p", Class: pipeline.ClassNormal, Idempotent: true, Remaining: time.Second}
	c.Assert(canPick(other, query), qt.IsTrue)

	picked, ok := picker.Pick(query)
	c.Assert(ok, qt.IsTrue)
	picked.Done(backend.ErrDraining, 0)
	waitForStatus(c, second, func(controlStatus) bool { return !canPick(other, query) })
	c.Assert(readStatus(c, second).Peers.Draining, qt.DeepEquals, []string{"e1"})

	// The server restarts with a new incarnation.
	list.Put(platform.Member{ID: "e1", Role: platform.RoleBackend, Address: "127.0.0.1:1", Pool: "p", Region: "r",
		FailureDomain: "a", State: platform.StateLive, Incarnation: 4})
	waitForStatus(c, second, func(s controlStatus) bool { return len(s.Peers.Draining) == 0 && canPick(other, query) })
}

// canPick reports whether picker offers a server. It ends the call at once.
func canPick(picker Picker, query Query) bool {
	picked, ok := picker.Pick(query)
	if ok {
		picked.Done(nil, 0)
	}
	return ok
}

func controlSettings(c *qt.C, list, domain string) settings.Entry {
	return settings.Entry{Instance: "entry-" + domain, Region: "r", FailureDomain: domain, CallerAddress: freeAddress(c),
		PeerAddress: freeAddress(c), AdminAddress: freeAddress(c), PlatformAddress: list, DrainGraceMS: 1}
}

func startControl(c *qt.C, entry settings.Entry, options ...fx.Option) {
	app := New(entry, slog.New(slog.NewTextHandler(io.Discard, nil)), options...)
	c.Assert(app.Start(c.Context()), qt.IsNil)
	c.Cleanup(func() { c.Check(app.Stop(context.Background()), qt.IsNil) })
}

// publishSet publishes a deployment with a number of organisations.
func publishSet(c *qt.C, address string, organisations int) {
	set, mistakes, err := pipeline.Check(fstest.MapFS{"deployment.jsonc": {Data: []byte(
		`{"deployment": "d", "regions": [{"name": "r", "failure_domains": ["a", "b"]}]}`)}})
	c.Assert(err, qt.IsNil)
	c.Assert(mistakes, qt.HasLen, 0)
	for i := range organisations {
		set.Deployment.Organisations = append(set.Deployment.Organisations, pipeline.Organisation{Name: string(rune('a' + i))})
	}
	_, err = configuration.Publish(c.Context(), store.NewHTTP(address), config.Request{Author: "test", Set: set}, false)
	c.Assert(err, qt.IsNil)
}

func readStatus(c *qt.C, entry settings.Entry) (status controlStatus) {
	response, err := http.Get("http://" + entry.AdminAddress + statuspage.Path)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(json.NewDecoder(response.Body).Decode(&status), qt.IsNil)
	return status
}

// waitForStatus polls the status until the condition is met. It fails the test
// after 600 attempts, 50 ms apart.
func waitForStatus(c *qt.C, entry settings.Entry, condition func(controlStatus) bool) {
	for range 600 {
		if condition(readStatus(c, entry)) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fatalf("never reached: %+v", readStatus(c, entry))
}
