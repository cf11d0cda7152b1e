package cli

import (
	"context"
	"log/slog"

	"github.com/coltsfootdrift/coltsfootdrift/internal/entry"
	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
)

const entryHelp = `Runs an entry instance until SIGTERM or SIGINT. It then withdraws its
readiness, finishes running requests and exits with 0.`

// entryCommand runs an entry instance.
type entryCommand struct {
	streams
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"settings file, JSON with comments"`
}

// Execute runs the instance until a signal stops it.
func (c *entryCommand) Execute([]string) error {
	entrySettings, err := settings.Read(c.Settings)
	if err != nil {
		return c.printMistakes(err)
	}
	return entry.Run(context.Background(), entrySettings, slog.New(slog.NewJSONHandler(c.stderr, nil)))
}
