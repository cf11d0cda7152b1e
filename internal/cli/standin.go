package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/platform"
	"github.com/coltsfootdrift/coltsfootdrift/internal/standin"
)

const standinHelp = `Runs stand-ins of the platform on loopback until SIGTERM or SIGINT: the
key-value service, the instance list, the weight store and every backend server
of a deployment folder. They lose all data when they stop. The number of servers
of each pool and their speed are set in standin.jsonc beside deployment.jsonc.

Faults are set with --fault or, while it runs, with PUT /admin/faults of the
store, the list or a backend server; GET shows the names and values. GET
/admin/counts of the store counts its calls, GET /admin/runs of a backend server
lists what it ran.`

// standinCommand runs the stand-ins of one deployment.
type standinCommand struct {
	streams
	BasePort    int           `long:"base-port" value-name:"PORT" default:"7400" description:"port of the store; the list, the weight store and the backend servers follow; 0 takes any free ports"`
	Speed       float64       `long:"speed" value-name:"FACTOR" default:"1" description:"divides the times of backend servers"`
	Faults      []string      `long:"fault" value-name:"TARGET:NAME=VALUE" description:"sets a fault, for example store:delay_ms=50, list:lag_ms=3000, ledger-1:slowdown=10, ledger:share.error=0.1; may be repeated"`
	SettingsDir string        `long:"settings-dir" value-name:"DIR" description:"writes settings files of entry instances into this folder"`
	Instances   int           `long:"instances" value-name:"N" default:"1" description:"number of settings files for each failure domain"`
	For         time.Duration `long:"for" value-name:"DURATION" description:"ends after this time, for example 30s"`
	JSON        bool          `long:"json" description:"prints the addresses as one line of JSON"`
	Args        struct {
		Folder string `positional-arg-name:"DEPLOYMENT-FOLDER"`
	} `positional-args:"true" required:"true"`
}

// standinAddresses is what the command prints when all stand-ins listen.
type standinAddresses struct {
	Deployment string            `json:"deployment"`
	Store      string            `json:"store"`
	Platform   string            `json:"platform"`
	Weights    string            `json:"weights"`
	Backends   []platform.Member `json:"backends"`
	// Settings lists the written settings files.
	Settings []string `json:"settings,omitempty"`
}

// Execute runs the stand-ins until a signal or the end of the time.
func (c *standinCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		limited, cancel := context.WithTimeout(ctx, c.For)
		defer cancel()
		ctx = limited
	}
	cluster, err := standin.StartCluster(standin.ClusterConfig{Folder: c.Args.Folder, BasePort: c.BasePort, Speed: c.Speed})
	if err != nil {
		return err
	}
	defer cluster.Close()
	for _, fault := range c.Faults {
		if err := cluster.SetFault(fault); err != nil {
			return err
		}
	}
	if err := c.reportAddresses(cluster); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// reportAddresses writes the settings files and prints the addresses.
func (c *standinCommand) reportAddresses(cluster *standin.Cluster) error {
	addresses := standinAddresses{
		Deployment: cluster.Set.Deployment.Name,
		Store:      cluster.StoreAddress,
		Platform:   cluster.PlatformAddress,
		Weights:    cluster.WeightsAddress,
	}
	for _, server := range cluster.Servers {
		addresses.Backends = append(addresses.Backends, server.Member())
	}
	if c.SettingsDir != "" {
		entries, err := cluster.EntrySettings(c.Args.Folder, c.Instances, cluster.PortAfter())
		if err != nil {
			return err
		}
		if addresses.Settings, err = standin.WriteSettings(c.SettingsDir, entries); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(c.stdout).Encode(addresses)
	}
	return c.print(addresses)
}

func (c *standinCommand) print(a standinAddresses) error {
	fmt.Fprintf(c.stdout, "stand-ins of %s\n  store         %s\n  instance list %s\n  weight store  %s\n",
		a.Deployment, a.Store, a.Platform, a.Weights)
	for _, member := range a.Backends {
		fmt.Fprintf(c.stdout, "  %-22s %s  %s\n", member.ID, member.Address, member.FailureDomain)
	}
	for _, path := range a.Settings {
		fmt.Fprintf(c.stdout, "run an entry instance: coltsfootdrift entry --settings %s\n", path)
	}
	return nil
}
