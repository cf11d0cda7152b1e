package entry

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/fx"

	"github.com/coltsfootdrift/coltsfootdrift/internal/backend"
	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
	"github.com/coltsfootdrift/coltsfootdrift/order"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

// Guards against a daemon whose leader election, configuration and engines are not
// connected: the engine must get the configured version from exactly one leader.
func TestConfiguredModelIsLoaded(t *testing.T) {
	c := qt.New(t)
	engine := startServer(c, standin.NewBackend(standin.BackendConfig{
		ID: "g1", Slots: 1, Engine: standin.EngineConfig{FencesOrders: true, Models: []string{"m@1"}},
	}).Handler())
	list := &standin.InstanceList{}
	list.Set([]platform.Member{{ID: "g1", Role: platform.RoleBackend, Address: engine, Pool: "engines",
		Region: "r", FailureDomain: "a", State: platform.StateLive}})
	entry := controlSettings(c, startServer(c, list.Handler()), "a")
	entry.StoreAddress = startServer(c, standin.NewStore().Handler())
	set := &pipeline.Set{Deployment: pipeline.Deployment{
		Regions: []pipeline.Region{{Name: "r", FailureDomains: []string{"a"}}},
		Pools:   []pipeline.Pool{{Name: "engines", Type: pipeline.StageGenerate, Slots: 1, Models: []string{"m@2"}, FencesOrders: true}},
	}}
	startControl(c, entry, fx.Decorate(func() ConfigurationSource { return fixedConfiguration{set} }))

	engines := &backend.HTTPEngines{Client: http.DefaultClient}
	var observed order.Observed
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		state, err := engines.State(c.Context(), "g1", engine)
		c.Assert(err, qt.IsNil)
		if observed = state; len(observed.Models) == 1 && observed.Models[0] == "m@2" {
			return
		}
	}
	c.Fatalf("engine has %v", observed.Models)
}
