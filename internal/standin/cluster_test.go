package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// backendServer returns the address of a server in the form of the backend adapter.
func backendServer(s *Server) backend.Server {
	return backend.Server{ID: s.Member().ID, Address: s.Member().Address}
}

// recordedRuns reads the recorded runs of a server from its admin path.
func recordedRuns(c *qt.C, s *Server) []Run {
	response, err := http.Get("http://" + s.Member().Address + PathRuns)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	var runs []Run
	c.Assert(json.NewDecoder(response.Body).Decode(&runs), qt.IsNil)
	return runs
}

// Guards against example deployments with a pool or pipeline that lacks stand-ins in
// a region, and against a restart that loses the recorded runs.
func TestExamplesHaveStandIns(t *testing.T) {
	c := qt.New(t)
	for folder, want := range map[string]map[string]int{
		"tavares":   {"assistant": 12, "ledger": 3, "labelling": 5, "invoicing": 5, "distributor-portal": 5},
		"pondslots": {"model": 12, "booking": 3, "roster": 4, "pond-catalogue": 5, "fee-ledger": 5},
	} {
		cluster, err := StartCluster(ClusterConfig{Folder: "../../examples/" + folder, Speed: 100})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { cluster.Close() })
		for pool, replicas := range want {
			c.Assert(cluster.Pool(pool), qt.HasLen, replicas)
		}
		for _, p := range cluster.Set.Pipelines {
			for _, stage := range p.Stages {
				_, err := callStage(c.Context(), backendServer(cluster.Pool(stage.Pool)[0]), backend.StageRequest{Type: stage.Type, Model: stage.Model})
				c.Assert(err, qt.IsNil)
				regions := map[string]bool{}
				for _, server := range cluster.Pool(stage.Pool) {
					regions[server.Member().Region] = true
				}
				c.Assert(regions, qt.HasLen, len(cluster.Set.Deployment.Regions))
			}
		}
		server := cluster.Pool("encoders")[0]
		before := server.Backend().Runs()
		c.Assert(server.Kill(), qt.IsNil)
		_, err = callStage(c.Context(), backendServer(server), backend.StageRequest{Type: pipeline.StageEncode})
		c.Assert(errors.Is(err, backend.ErrNotSent), qt.IsTrue)
		c.Assert(server.Restart(), qt.IsNil)
		c.Assert(recordedRuns(c, server), qt.DeepEquals, before)
		c.Assert(slices.Contains(cluster.InstanceList.Members(), server.Member()), qt.IsTrue)
	}
}

// Guards against a fault that is applied to another target than the named one, and
// against a mistyped fault that is ignored.
func TestSetFault(t *testing.T) {
	c := qt.New(t)
	cluster, err := StartCluster(ClusterConfig{Folder: "../../examples/tavares"})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	c.Assert(cluster.SetFault("ledger-2:share.error=0.5"), qt.IsNil)
	c.Assert(cluster.SetFault("ledger:slowdown=3"), qt.IsNil)
	for i, server := range cluster.Pool("ledger") {
		c.Assert(server.Backend().Faults().Slowdown, qt.Equals, 3.0)
		c.Assert(server.Backend().Faults().Share[FaultError] > 0, qt.Equals, i == 1)
	}
	c.Assert(cluster.SetFault("store:delay_ms=50"), qt.IsNil)
	c.Assert(cluster.Store.Faults().WritesPerSecond, qt.Equals, float64(DefaultWritesPerSecond))
	c.Assert(cluster.Store.Faults().DelayMS, qt.Equals, int64(50))
	for _, invalid := range []string{"ledger", "ledger:slowdown", "no-such:slowdown=1", "store:delay=50", "list:lag_ms=soon"} {
		c.Assert(cluster.SetFault(invalid), qt.IsNotNil, qt.Commentf("%s", invalid))
	}
}

// Guards against two listeners with the same port in the generated settings.
func TestSettingsHaveOwnPorts(t *testing.T) {
	c := qt.New(t)
	cluster, err := StartCluster(ClusterConfig{Folder: "../../examples/pondslots"})
	c.Assert(err, qt.IsNil)
	defer cluster.Close()
	entries, err := cluster.EntrySettings("../../examples/pondslots", 3, cluster.PortAllocator())
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 9)
	seen := map[string]bool{}
	for _, entry := range entries {
		for _, address := range []string{entry.CallerAddress, entry.PeerAddress, entry.AdminAddress} {
			c.Assert(seen[address], qt.IsFalse)
			seen[address] = true
		}
		c.Assert(entry.Peers, qt.HasLen, len(entries)-1)
	}
}
