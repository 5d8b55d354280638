package main

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Most items of a job, and the size of the body of each: together they stay below
	// the body limit of the configuration, 4 MiB.
	mostItems     = 200
	largeItemSize = 15000
	smallItemSize = 75
	// Jobs that come at once, and how often.
	burstJobs  = 7
	rounds     = 18
	roundPause = 5 * time.Second
	// Ends of one process that break the rule, on two machines at least.
	faultEnds      = 3
	faultMachines  = 2
	memoryInterval = 5 * time.Millisecond
	// Time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
)

// guard does what the platform does with a machine's process: it kills it when it uses
// more memory than the machine has, and starts it again.
type guard struct {
	front *front
	kills atomic.Int32
	most  atomic.Int32
	stop  chan struct{}
	done  chan struct{}
}

func newGuard(f *front) *guard {
	g := &guard{front: f, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *guard) run() {
	defer close(g.done)
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(memoryInterval):
		}
		m := g.front.residentMB()
		g.most.Store(max(g.most.Load(), int32(m)))
		if m <= frontMemoryMB {
			continue
		}
		g.front.rig.note("platform: %s uses %d MB of %d and is killed", g.front.name, m, frontMemoryMB)
		g.kills.Add(1)
		g.front.kill()
		time.Sleep(restartDelay)
		g.front.start()
	}
}

func (g *guard) close() {
	close(g.stop)
	<-g.done
}

// residentMB returns the memory that the front's process has made its own, without the
// program's file, 0 if it has ended.
func (f *front) residentMB() int {
	b, e := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if e != nil {
		return 0
	}
	for _, t := range strings.Split(string(b), "\n") {
		v, o := strings.CutPrefix(t, "RssAnon:")
		if o {
			n, _ := strconv.Atoi(strings.Fields(v)[0])
			return n >> 10
		}
	}
	return 0
}

// largeJobs: many batch jobs come at once, each as large as the pages allow.
func largeJobs(r *rig) string {
	r.quiet = true
	l := r.smallDeployment(nestedConfig(1, ""), eventPace)
	var g []*guard
	for _, f := range l {
		g = append(g, newGuard(f))
	}
	z := smallItemSize
	if r.trouble {
		z = largeItemSize
	}
	for n := range rounds {
		var w sync.WaitGroup
		for i := range burstJobs {
			w.Go(func() {
				j := sizedJob(n*burstJobs+i, z)
				// The client tries twice, at two nodes.
				for k := range 2 {
					if l[(i+k)%len(l)].submit(j) == http.StatusAccepted {
						return
					}
				}
			})
		}
		w.Wait()
		time.Sleep(roundPause)
	}
	n := 0
	for _, x := range g {
		x.close()
		r.note("judge: %s was killed %d times, most memory %d MB", x.front.name, x.kills.Load(), x.most.Load())
		if x.kills.Load() >= faultEnds {
			n++
		}
	}
	if n < faultMachines {
		return ""
	}
	return fmt.Sprintf("Fault: on %d machines of %d the process ended by itself %d times or more, for memory over the limit", n, len(l), faultEnds)
}

// sizedJob returns a job of as many items as the pages allow, each with a body of a size.
func sizedJob(index, bodyBytes int) *batchJob {
	j := newJob(fmt.Sprintf("%08x", 0x5a000000+index), "/dovi118/", mostItems)
	for n := range j.items {
		j.items[n].Body = base64.StdEncoding.EncodeToString([]byte(strings.Repeat("q", bodyBytes)))
	}
	return j
}
