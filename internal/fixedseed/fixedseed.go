// Package fixedseed gives property tests a fixed seed, so that each run of the
// tests has the same verdict. A test package imports it for its effect. A seed
// on the command line (-rapid.seed) goes first. Files of failures are not
// written, because the seed repeats them.
package fixedseed

import (
	"flag"

	// The flag exists once rapid is initialized.
	_ "pgregory.net/rapid"
)

// seed is any number but 0, which rapid takes as a request for a random seed.
const seed = "20261204"

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
