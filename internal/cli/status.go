package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"github.com/samber/oops"

	"github.com/coltsfootdrift/coltsfootdrift/internal/httpbody"
	"github.com/coltsfootdrift/coltsfootdrift/internal/statuspage"
)

const statusHelp = `Shows the state of one instance: configuration revision, peers, backend servers
and limits. ADMIN is the admin address of an entry
instance, or the metrics address of a gateway.`

// maxStatusBytes limits the size of the response.
const maxStatusBytes = 16 << 20

// statusCommand shows the status of one instance.
type statusCommand struct {
	streams
	Address string `long:"address" required:"true" value-name:"ADMIN" description:"admin address of an entry instance or metrics address of a gateway, IP address and port"`
	JSON    bool   `long:"json" description:"print the status as JSON"`
}

// Execute reads and prints the status.
func (c *statusCommand) Execute([]string) error {
	sections, err := c.read()
	if err != nil {
		return oops.In("cli").Code("status_failed").With("address", c.Address).Wrap(err)
	}
	if c.JSON {
		return writeJSON(c.stdout, sections)
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		fmt.Fprintf(c.stdout, "%s:\n", name)
		printValue(c.stdout, "  ", sections[name])
	}
	return nil
}

func (c *statusCommand) read() (map[string]any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+statuspage.Path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status of %s: %s", c.Address, response.Status)
	}
	var sections map[string]any
	err = httpbody.DecodeJSON(response.Body, maxStatusBytes, &sections)
	return sections, err
}

// printValue prints a JSON value as indented lines.
func printValue(w io.Writer, indent string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			printMember(w, indent, name+":", v[name])
		}
	case []any:
		for _, element := range v {
			printMember(w, indent, "-", element)
		}
	default:
		fmt.Fprintf(w, "%s%v\n", indent, v)
	}
}

func printMember(w io.Writer, indent, label string, value any) {
	switch value.(type) {
	case map[string]any, []any:
		fmt.Fprintf(w, "%s%s\n", indent, label)
		printValue(w, indent+"  ", value)
	default:
		fmt.Fprintf(w, "%s%s %v\n", indent, label, value)
	}
}
