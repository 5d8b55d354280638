// Command bulrushtrail-soak runs the real programs on loopback under random
// faults and checks what callers and backend servers see.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"bulrushtrail.example/trail/platform/soak"
)

func main() {
	p := flag.String("program", "bin/bulrushd", "program of the fronts")
	d := flag.String("folder", "run/soak", "folder for settings, logs and reports")
	s := flag.Uint64("seed", 0, "seed of the first run, 0 for a fresh one")
	n := flag.Int("runs", 1, "number of runs, each with the next seed")
	l := flag.Duration("length", 20*time.Second, "time of faults in each run")
	f := flag.Int("fronts", 4, "front processes")
	c := flag.Int("callers", 6, "callers of each kind")
	flag.Parse()
	if *s == 0 {
		*s = rand.Uint64()>>1 + 1
	}
	x := 0
	for k := range *n {
		x += runSoak(*p, *d, *s+uint64(k), *l, *f, *c)
	}
	if x > 0 {
		os.Exit(1)
	}
}

// runSoak plays one run and returns the number of things that were broken.
func runSoak(program, folder string, seed uint64, length time.Duration, fronts, callers int) int {
	d := filepath.Join(folder, fmt.Sprint(seed))
	s, e := soak.New(program, d, seed, length, fronts, callers)
	if e != nil {
		fmt.Fprintf(os.Stderr, "bulrushtrail-soak: %v\n", e)
		return 1
	}
	b := s.Run()
	fmt.Print(s.Report())
	e = s.Write(d)
	if e != nil {
		fmt.Fprintf(os.Stderr, "bulrushtrail-soak: report not written: %v\n", e)
		return 1
	}
	return len(b)
}
