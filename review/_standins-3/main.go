// Command cases runs one case of the review: it starts gateways of this project as processes,
// plays their platform, their servers and their clients, and checks one rule of the users.
//
// Usage: cases NAME RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

// cases holds the cases by name.
var cases = map[string]func(*world) (verdict, error){}

// maxCaseTime bounds a case.
const maxCaseTime = 110 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() {
		v, err := cases[os.Args[1]](w)
		switch {
		case err != nil:
			w.record("the case could not run: %v", err)
			done <- 2
		case v.broken:
			w.record("BROKEN: %s", v.reason)
			done <- 1
		default:
			w.record("held: %s", v.reason)
			done <- 0
		}
	}()
	select {
	case code := <-done:
		return code
	case <-interrupted:
		w.record("interrupted")
	case <-time.After(maxCaseTime):
		w.record("the case took too long")
	}
	return 2
}
