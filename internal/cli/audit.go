package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

const auditHelp = `Prints the last 200 changes of the configuration, oldest first, with author,
reason, time, revisions and difference.`

// readTimeout limits the commands that only read.
const readTimeout = 10 * time.Second

// auditCommand prints the audit trail.
type auditCommand struct {
	streams
	Store string `long:"store" required:"true" value-name:"ADDRESS" description:"store, IP address and port"`
	JSON  bool   `long:"json" description:"print the trail as JSON"`
}

// Execute prints the trail.
func (c *auditCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	trail, err := configuration.Audit(ctx, store.NewHTTP(c.Store))
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.stdout, trail)
	}
	for _, entry := range trail {
		c.print(entry)
	}
	return nil
}

func (c *auditCommand) print(entry config.AuditEntry) {
	fmt.Fprintf(c.stdout, "revision %d (after %d) by %s at %s: %s\n", entry.ToRevision, entry.FromRevision,
		entry.Author, entry.Time.Format(time.RFC3339), entry.Reason)
	for line := range strings.Lines(entry.Difference) {
		fmt.Fprint(c.stdout, "  ", line)
	}
}
