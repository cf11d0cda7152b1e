package cli

import (
	"io"
	"os"

	"github.com/coltsfootdrift/coltsfootdrift/internal/explain"
)

const explainHelp = `Prints the log lines of one request from the logs of several instances in the
order of time. Without files, or for the file -, it reads standard input.`

// explainCommand prints the log lines of a request.
type explainCommand struct {
	streams
	ID   string `long:"id" required:"true" value-name:"ID" description:"ID of the request"`
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute finds the lines in all files and prints them.
func (c *explainCommand) Execute([]string) error {
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	var lines []explain.Line
	for _, name := range files {
		found, err := c.find(name)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	return explain.Print(c.stdout, lines)
}

func (c *explainCommand) find(name string) ([]explain.Line, error) {
	var log io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		log = file
	}
	return explain.Find(name, log, c.ID)
}
