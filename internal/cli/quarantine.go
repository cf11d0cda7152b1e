package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/internal/gateway"
	"github.com/coltsfootdrift/coltsfootdrift/platform"
)

const quarantineHelp = `Lists the quarantines of prompt parts under which model servers ended. With
--lift, ends one of them before its time, for example when a new version of the
service has mended the fault. STORE is the store of the users' platform.`

var errNoAuthor = errors.New("--lift needs --author and --reason")

// quarantineCommand lists the quarantines, or lifts one.
type quarantineCommand struct {
	streams
	Store  string `long:"store" required:"true" value-name:"STORE" description:"store of the platform, IP address and port"`
	Lift   string `long:"lift" value-name:"ID" description:"the quarantine to lift"`
	Author string `long:"author" description:"who lifts it"`
	Reason string `long:"reason" description:"why it is lifted"`
	JSON   bool   `long:"json" description:"print the list as JSON"`
}

// Execute lists the quarantines or lifts one.
func (c *quarantineCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	st := platform.NewStore(c.Store)
	if c.Lift != "" {
		return c.lift(ctx, st)
	}
	list, err := gateway.ListQuarantines(ctx, st)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.stdout, list)
	}
	for _, q := range list {
		c.print(q)
	}
	return nil
}

func (c *quarantineCommand) lift(ctx context.Context, st gateway.RegistrationStore) error {
	if c.Author == "" || c.Reason == "" {
		return errNoAuthor
	}
	if err := gateway.LiftQuarantine(ctx, st, c.Lift, c.Author, c.Reason); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "quarantine %s is lifted\n", c.Lift)
	return nil
}

func (c *quarantineCommand) print(q gateway.QuarantineEntry) {
	fmt.Fprintf(c.stdout, "%s  service %s  parts %s  %d servers ended  until %s", q.ID, q.Service, strings.Join(q.Parts, ","), q.Crashes, q.Until.Format(time.RFC3339))
	if q.Lifted {
		fmt.Fprintf(c.stdout, "  lifted by %q: %s", q.Author, q.Reason)
	}
	fmt.Fprintln(c.stdout)
}
