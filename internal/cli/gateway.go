package cli

import (
	"context"
	"log/slog"

	"github.com/coltsfootdrift/coltsfootdrift/internal/gateway"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/platform"
)

const gatewayHelp = `Runs a gateway on the users' platform until SIGTERM or SIGINT. It then
withdraws its readiness, finishes running requests and exits with 0. SIGHUP
reads the settings file again.`

// gatewayCommand runs the gateway.
type gatewayCommand struct {
	streams
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file, JSON with comments"`
}

// Execute runs the gateway until a signal stops it.
func (c *gatewayCommand) Execute([]string) error {
	gatewaySettings, err := settings.ReadGateway(c.Settings)
	if err != nil {
		return c.printMistakes(err)
	}
	logWriter := gateway.NewLogWriter(c.stdout)
	defer logWriter.Close()
	adapter := gateway.Adapter{
		Protocol: platform.Protocol{},
		Store:    func(address string) gateway.Store { return platform.NewStore(address) },
	}
	logger := slog.New(slog.NewJSONHandler(logWriter, nil))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go logWriter.ReportDropped(ctx, logger)
	return gateway.Run(c.Settings, gatewaySettings, adapter, logger)
}
