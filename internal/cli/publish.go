package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootdrift/coltsfootdrift/config"
	"github.com/coltsfootdrift/coltsfootdrift/internal/configuration"
	"github.com/coltsfootdrift/coltsfootdrift/internal/store"
)

const publishHelp = `Collects the operators' files of a folder, checks the whole set, shows the
difference to the configuration in force and puts the set in force. When another
operator's change came first, it shows that change and exits with 1.`

// publishTimeout limits one publish. The first publish writes some hundred parts.
const publishTimeout = time.Minute

// publishCommand checks operators' files and puts them in force.
type publishCommand struct {
	streams
	Store  string `long:"store" required:"true" value-name:"ADDRESS" description:"store, IP address and port"`
	Author string `long:"author" required:"true" description:"who makes the change"`
	Reason string `long:"reason" required:"true" description:"why the change is made"`
	Base   int64  `long:"base" value-name:"REVISION" description:"refuse unless this revision is in force"`
	DryRun bool   `long:"dry-run" description:"show the difference and change nothing"`
	JSON   bool   `long:"json" description:"print the result as JSON"`
	Args   struct {
		Folder string `positional-arg-name:"DIR" description:"folder of operators' files"`
	} `positional-args:"true" required:"true"`
}

// Execute publishes the folder.
func (c *publishCommand) Execute([]string) error {
	set, err := checkFolder(c.streams, c.Args.Folder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	request := config.Request{Author: c.Author, Reason: c.Reason, Set: set, Base: c.Base}
	result, err := configuration.Publish(ctx, store.NewHTTP(c.Store), request, c.DryRun)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(c.stdout, result)
	}
	c.print(result)
	return nil
}

func (c *publishCommand) print(result config.Result) {
	fmt.Fprint(c.stdout, result.Difference.Text())
	switch {
	case !result.Changed:
		fmt.Fprintf(c.stdout, "revision %d stays in force\n", result.Revision)
	case c.DryRun:
		fmt.Fprintf(c.stdout, "dry run: revision %d stays in force\n", result.Revision)
	default:
		fmt.Fprintf(c.stdout, "revision %d is in force\n", result.Revision)
	}
}

// writeJSON prints a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
