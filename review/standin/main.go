//go:build review

package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnplayed = 2

	// Limit of a whole case.
	caseTimeout = 112 * time.Second
)

// cases holds what each case does, by name. A case returns how the rule was broken,
// empty if it held, and an error if it could not be played.
var cases = map[string]func(b *bed) (string, error){
	"results-of-removed-route": resultsOfRemovedRoute,
	"items-of-removed-route":   itemsOfRemovedRoute,
	"smuggling-items":          smugglingItems,
	"markup-output":            markupOutput,
	"handed-over-item":         handedOverItem,
	"ended-job":                endedJob,
	"oversized-item":           oversizedItem,
	"spoiled-item":             spoiledItem,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitUnplayed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(name, recordPath string) int {
	r, e := newRecord(recordPath)
	if e != nil {
		fmt.Fprintln(os.Stderr, e)
		return exitUnplayed
	}
	b, e := newBed(r, os.Getenv("TROUBLE") != "0")
	if e != nil {
		r.add("case not played: %v", e)
		return exitUnplayed
	}
	defer b.close()
	time.AfterFunc(caseTimeout, func() {
		r.add("case not played: it took longer than %s", caseTimeout)
		b.close()
		os.Exit(exitUnplayed)
	})
	r.add("case %s, disruption: %t", name, b.trouble)
	v, e := cases[name](b)
	b.addLogs()
	switch {
	case e != nil:
		r.add("case not played: %v", e)
		return exitUnplayed
	case v != "":
		r.add("RULE BROKEN: %s", v)
		return exitBroken
	}
	r.add("rule held")
	return exitHeld
}
