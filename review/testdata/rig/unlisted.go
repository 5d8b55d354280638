package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Greatest age of the copy from which the store answers reads with AllowStale.
const staleAge = 5 * time.Second

// ageCopy makes the store answer reads with AllowStale from a copy as of now. Its answers
// are up to staleAge old if it is called that often.
func (r *rig) ageCopy() {
	r.store.SetStaleReadsFrozen(true)
	r.note("store: reads with AllowStale are answered from a copy as of now")
}

// unlistedFront: a front restarts as planned while the store turns another one away, so
// that this one has seen it leave and not come back. A client ends a job of the first
// front at the second.
func unlistedFront(r *rig) string {
	l := r.smallDeployment(nestedConfig(1, ""), slowPace)
	b, c := l[1], l[2]
	b.signal(syscall.SIGTERM)
	<-b.exited
	r.note("front %s: process ended", b.name)
	r.await("its registration is gone", func() bool { s, _ := r.store.Get("fronts", b.name); return s == "" })
	// The other fronts hear of it.
	time.Sleep(restartDelay)
	o := time.Now()
	if r.trouble {
		c.gate.set(true)
	}
	b.start()
	b.awaitReady()
	time.Sleep(time.Until(o.Add(1500 * time.Millisecond)))
	j := newJob("7c41e0bb", "/dovi118/", mostItems)
	q := newJob("7c41e0cc", "/dovi118/", mostItems)
	for _, x := range []*batchJob{j, q} {
		if b.submit(x) != http.StatusAccepted {
			panic("a job was not accepted")
		}
	}
	// A front that has just started looks at all jobs once more after 2.8 s.
	time.Sleep(time.Until(o.Add(3 * time.Second)))
	r.ageCopy()
	a := time.Now()
	e, k := r.endJob(c, j)
	time.Sleep(time.Until(a.Add(staleAge)))
	r.ageCopy()
	time.Sleep(time.Until(o.Add(turnedAwayFor)))
	if r.trouble {
		c.gate.set(false)
	}
	time.Sleep(3 * time.Second)
	n := r.runsAfter(j, e.Add(cancelTime))
	r.note("judge: end of job %s acknowledged: %v; %d of its items reached runners later than %s after that", j.id, k, n, cancelTime)
	for _, f := range l {
		f.noteLog("ended job", "ended by its caller", "left to another", "no longer run here", "front heard", "went silent")
	}
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("UNASKED: %d items of the ended job reached runners later than %s after the ack of its end", n, cancelTime)
}
