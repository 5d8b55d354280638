//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseFunc plays a case and returns what was found and whether the rule was broken.
type caseFunc func(p *play) (string, bool)

var cases = map[string]caseFunc{
	"prefix-hang":    prefixHang,
	"prefix-limit":   prefixLimit,
	"prefix-memory":  prefixMemory,
	"poll-crowd":     pollCrowd,
	"prefix-lots":    prefixLots,
	"read-herd":      readHerd,
	"results-memory": resultsMemory,
}

func main() {
	n := flag.String("case", "", "name of the case")
	r := flag.String("root", ".", "root of the repository")
	o := flag.String("record", "record.txt", "file for what was sent, answered and run")
	t := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	os.Exit(run(*n, *r, *o, *t))
}

func run(name, root, recordPath string, trouble bool) (status int) {
	f, k := cases[name]
	if !k {
		fmt.Println("no such case:", name)
		return cannotRun
	}
	x, e := filepath.Abs(root)
	if e != nil {
		fmt.Println(e)
		return cannotRun
	}
	w, e := newRecord(recordPath)
	if e != nil {
		fmt.Println(e)
		return cannotRun
	}
	defer w.close()
	p := &play{root: x, record: w, trouble: trouble}
	defer p.end()
	defer func() {
		r := recover()
		if r == nil {
			return
		}
		w.add("case could not run: %v", r)
		fmt.Println("case could not run:", r)
		status = cannotRun
	}()
	b := time.Now()
	s, d := f(p)
	w.add("result: %s, rule broken: %v, seconds: %.0f", s, d, time.Since(b).Seconds())
	fmt.Println(s)
	if d {
		return broken
	}
	return held
}
