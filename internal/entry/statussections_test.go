package entry

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/jobs"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
)

// Guards against sections of the status that a daemon does not register or that
// are empty, so that an operator cannot see its servers, limits and state.
func TestStatusShowsServersLimitsAndState(t *testing.T) {
	c := qt.New(t)
	list := &standin.InstanceList{}
	list.Put(platform.Member{ID: "e1", Role: platform.RoleBackend, Address: "127.0.0.1:1", Pool: "p", Region: "r", FailureDomain: "a", State: platform.StateLive})
	entry := controlSettings(c, startServer(c, list.Handler()), "a")
	entry.StoreAddress = startServer(c, standin.NewStore().Handler())
	var durable *jobs.Jobs
	startControl(c, entry, fx.Populate(&durable))
	// An instance has the job lease only while it has a job or recently had one.
	_, err := durable.Submit(c.Context(), jobs.Job{Organisation: "o", Pipeline: "p", Kind: "k", Body: []byte("{}"), Retention: time.Hour})
	c.Assert(err, qt.IsNil)
	var status struct {
		Servers serversStatus `json:"servers"`
		Limits  limitsStatus  `json:"limits"`
		State   stateStatus   `json:"state"`
	}
	for range 600 {
		response, err := http.Get("http://" + entry.AdminAddress + statuspage.Path)
		c.Assert(err, qt.IsNil)
		c.Assert(json.NewDecoder(response.Body).Decode(&status), qt.IsNil)
		response.Body.Close()
		if status.State.JobLease && len(status.Servers.Pools) == 1 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Assert(status.State.JobLease, qt.IsTrue)
	c.Assert(status.Servers.Pools, qt.HasLen, 1)
	c.Assert(status.Servers.Pools[0].Servers[0], qt.Equals,
		serverStatus{ID: "e1", Address: "127.0.0.1:1", FailureDomain: "a", Weight: 1})
	c.Assert(status.Limits.Store.Configured && status.Limits.Store.WritesPerSecond > 0, qt.IsTrue)
	c.Assert(status.Limits.Instances, qt.Equals, 1)
}
