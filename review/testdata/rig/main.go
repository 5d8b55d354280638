// Command rig plays the scripted cases of the second review. It starts the programs
// of the deploy file as separate processes on loopback addresses, with stand-ins for
// the platform's store, the runners, the clients and the operator, and judges only
// what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Time after which a case is ended as one that could not run.
const caseTimeout = 115 * time.Second

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenarios are the cases by name. Each returns what was broken, empty for nothing.
var scenarios = map[string]func(r *rig) string{
	"stale-route":    staleRoute,
	"nested-route":   nestedRoute,
	"whole-host":     wholeHostRoute,
	"unlisted-front": unlistedFront,
	"large-jobs":     largeJobs,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD-FILE")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status. Whatever the case cannot set up makes
// it one that could not run.
func play(name, path string) (status int) {
	r, e := newRig(path, os.Getenv("TROUBLE") != "0")
	if e != nil {
		fmt.Fprintln(os.Stderr, e)
		return exitCannotRun
	}
	defer r.close()
	go r.endEarly()
	defer func() {
		if p := recover(); p != nil {
			r.note("could not run: %v", p)
			status = exitCannotRun
		}
	}()
	b := scenarios[name](r)
	if b != "" {
		r.note("BROKEN: %s", b)
		return exitBroken
	}
	r.note("held")
	return exitHeld
}

// endEarly ends the case and its processes when a signal asks for it or the time is over.
func (r *rig) endEarly() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-c:
		r.note("could not run: %s", s)
	case <-time.After(caseTimeout):
		r.note("could not run: not done within %s", caseTimeout)
	}
	r.close()
	os.Exit(exitCannotRun)
}
