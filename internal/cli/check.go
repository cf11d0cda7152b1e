package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/coltsfootdrift/coltsfootdrift/internal/settings"
	"github.com/coltsfootdrift/coltsfootdrift/pipeline"
)

const checkHelp = `Checks a settings file or a folder of operators' files and prints every
mistake with file, line and column. Exits with 3 when there are mistakes.`

// checkCommand checks files without using them.
type checkCommand struct {
	streams
	Gateway bool `long:"gateway" description:"the file is the settings of a gateway"`
	Args    struct {
		Path string `positional-arg-name:"PATH" description:"settings file, or folder of operators' files"`
	} `positional-args:"true" required:"true"`
}

// Execute checks the path.
func (c *checkCommand) Execute([]string) error {
	info, err := os.Stat(c.Args.Path)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return c.checkSettings()
	}
	_, err = checkFolder(c.streams, c.Args.Path)
	if err == nil {
		fmt.Fprintln(c.stdout, "no mistakes")
	}
	return err
}

// checkSettings checks a settings file.
func (c *checkCommand) checkSettings() error {
	var err error
	if c.Gateway {
		_, err = settings.ReadGateway(c.Args.Path)
	} else {
		_, err = settings.Read(c.Args.Path)
	}
	if err != nil {
		return c.printMistakes(err)
	}
	fmt.Fprintln(c.stdout, "no mistakes")
	return nil
}

// printMistakes prints the mistakes of a settings file and returns ErrInvalid. It
// returns other errors unchanged.
func (s streams) printMistakes(err error) error {
	var mistakes *settings.MistakesError
	if !errors.As(err, &mistakes) {
		return err
	}
	fmt.Fprintln(s.stderr, mistakes)
	return ErrInvalid
}

// checkFolder returns the set of the files in a folder, or prints their mistakes and
// returns ErrInvalid.
func checkFolder(s streams, folder string) (*pipeline.Set, error) {
	set, mistakes, err := pipeline.Check(os.DirFS(folder))
	if err != nil {
		return nil, err
	}
	if len(mistakes) == 0 {
		return set, nil
	}
	for _, mistake := range mistakes {
		fmt.Fprintln(s.stderr, mistake)
	}
	fmt.Fprintf(s.stderr, "%d mistakes\n", len(mistakes))
	return nil, ErrInvalid
}
