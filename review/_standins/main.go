// Command reviewstandins runs one case of the review: it starts gateways as processes, with
// stand-ins of the store, the replicas and the clients, and checks one rule.
//
//	reviewstandins CASE FOLDER
//
// FOLDER gets record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// errBroken reports a broken rule.
type errBroken struct{ what string }

func (e errBroken) Error() string { return e.what }

// scene is what each case gets.
type scene struct {
	folder  string // for settings and logs, removed at the end
	trouble bool
	record  *record
}

var cases = map[string]func(*scene) error{
	"reused-address":   reusedAddress,
	"last-tenant":      lastTenant,
	"left-server":      leftServer,
	"unreadable-entry": unreadableEntry,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandins CASE FOLDER")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	err = cases[os.Args[1]](&scene{folder: folder, trouble: os.Getenv("TROUBLE") != "0", record: r})
	switch broken := (errBroken{}); {
	case err == nil:
		r.say("result: the rule held")
		return 0
	case asBroken(err, &broken):
		r.say("result: BROKEN: %s", broken.what)
		return 1
	default:
		r.say("result: the case could not run: %v", err)
		return 2
	}
}

func asBroken(err error, target *errBroken) bool {
	broken, ok := err.(errBroken)
	if ok {
		*target = broken
	}
	return ok
}
