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

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// controlStatus is the part of the status that the test reads.
type controlStatus struct {
	Configuration configurationStatus `json:"configuration"`
	Peers         peersStatus         `json:"peers"`
}

// Guards against a daemon whose membership and configuration aren't joined: the
// second instance can't reach the store and must get the configuration, and
// later changes, from the first one.
func TestConfigurationReachesInstanceCutOffFromStore(t *testing.T) {
	c := qt.New(t)
	storeAddress := serve(c, standin.NewStore().Handler())
	list := serve(c, (&standin.Platform{}).Handler())
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

func controlSettings(c *qt.C, list, domain string) settings.Entry {
	return settings.Entry{Instance: "entry-" + domain, Region: "r", FailureDomain: domain, CallerAddress: freeAddress(c),
		PeerAddress: freeAddress(c), AdminAddress: freeAddress(c), PlatformAddress: list, DrainGraceMS: 1}
}

func startControl(c *qt.C, entry settings.Entry) {
	app := New(entry, slog.New(slog.NewTextHandler(io.Discard, nil)))
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
	response, err := http.Get("http://" + entry.AdminAddress + PathStatus)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Assert(json.NewDecoder(response.Body).Decode(&status), qt.IsNil)
	return status
}

// waitForStatus fails only when the condition never holds.
func waitForStatus(c *qt.C, entry settings.Entry, condition func(controlStatus) bool) {
	for range 600 {
		if condition(readStatus(c, entry)) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fatalf("never reached: %+v", readStatus(c, entry))
}
