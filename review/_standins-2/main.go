// Program standins plays the cases of the second review. It starts gateways as processes and
// meets them with stand-ins of the platform's store, replicas and clients on loopback. It exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var cases = map[string]func(*scene){}

// scene is one play of a case.
type scene struct {
	// folder is a temporary folder, trouble whether the disruption is played.
	folder  string
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
	broken bool
}

// note writes a line into record.txt.
func (s *scene) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// breakRule notes that the rule of the case is broken.
func (s *scene) breakRule(format string, arguments ...any) {
	s.note("RULE BROKEN: "+format, arguments...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = true
}

var (
	exitMu sync.Mutex
	atExit []func()
)

// onExit has a function called before the program ends.
func onExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	atExit = append(atExit, f)
}

func exit(code int) {
	exitMu.Lock()
	defer exitMu.Unlock()
	for _, f := range atExit {
		f()
	}
	os.Exit(code)
}

// fatal ends a case that cannot run.
func fatal(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "case cannot run: "+format+"\n", arguments...)
	exit(2)
}

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: standins CASE FOLDER")
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fatal("record: %v", err)
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fatal("folder: %v", err)
	}
	if os.Getenv("KEEP") == "" {
		onExit(func() { os.RemoveAll(folder) })
	} else {
		fmt.Println(folder)
	}
	s := &scene{folder: folder, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	time.AfterFunc(maxDuration, func() { fatal("it takes longer than %v", maxDuration) })
	cases[os.Args[1]](s)
	if s.broken {
		fmt.Println("the rule was broken")
		exit(1)
	}
	fmt.Println("the rule held")
	exit(0)
}
