// Command bulrushtrail-soak runs front processes on loopback under random faults
// and checks the responses that callers receive and the requests that backend
// servers run. It exits with 1 if an invariant was violated.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bulrushtrail.example/trail/platform/soak"
)

func main() {
	p := flag.String("program", "bin/bulrushd", "path of the bulrushd program")
	a := flag.String("programs", "", "paths of bulrushd programs, separated by commas; each start of a front chooses one (default: -program)")
	v := flag.Bool("versions", false, "backend servers name software versions, are replaced and start again, as on kowalchuk-fit")
	o := flag.String("deployment", "", "play the shape of a deployment by its name, with its number of fronts")
	d := flag.String("folder", "run/soak", "folder for settings, logs and reports")
	s := flag.Uint64("seed", 0, "seed of the first run; 0 for a random one")
	n := flag.Int("runs", 1, "number of runs; each uses the next seed")
	l := flag.Duration("length", 20*time.Second, "time during which faults are injected in each run")
	f := flag.Int("fronts", 0, "number of front processes (default 4, with -versions 9; that of the deployment with -deployment)")
	c := flag.Int("callers", 0, "number of callers of each kind (default 6, with -versions 10)")
	flag.Parse()
	g := strings.Split(cmp.Or(*a, *p), ",")
	m, k := 4, 6
	if *v {
		m, k = 9, 10
	}
	if *s == 0 {
		*s = rand.Uint64()>>1 + 1
	}
	x := 0
	for i := range *n {
		x += runSoak(g, *d, *s+uint64(i), *l, cmp.Or(*f, m), cmp.Or(*c, k), *v, *o)
	}
	if x > 0 {
		os.Exit(1)
	}
}

// runSoak executes one run, writes its report and returns the number of
// violations. A run that cannot be executed or reported counts as one.
func runSoak(programs []string, folder string, seed uint64, length time.Duration, fronts, callers int, versions bool, deployment string) int {
	d := filepath.Join(folder, fmt.Sprint(seed))
	var s *soak.Soak
	var e error
	if deployment != "" {
		s, e = soak.NewDeployment(programs, d, seed, length, deployment, callers)
	} else {
		s, e = soak.New(programs, d, seed, length, fronts, callers, versions)
	}
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
