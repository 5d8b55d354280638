package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// Bounds of the installation: an end without an ack in ackTime counts as
	// acknowledged then, and cancelTime after it no item may reach a runner.
	ackTime    = 4 * time.Second
	cancelTime = 3 * time.Second
	// Time after the ack of a configuration in which it is in force everywhere, longer
	// than ConfigApplyMs.
	applyTime = 5 * time.Second
	// Time for which the clients go on to read.
	readTime = 15 * time.Second
	// Items run for about 3 s each.
	slowPace = 75 * time.Millisecond
)

// wholeHostRoute: jobs are accepted, and the operator adds a route for all other paths
// of the host. Clients read the results of one job and end another one.
func wholeHostRoute(r *rig) string {
	l := r.smallDeployment(nestedConfig(1, ""), slowPace)
	j := newJob("7c41e0aa", "/dovi118/", 10)
	k := newJob("7c41e0bb", "/dovi118/", mostItems)
	q := newJob("7c41e0cc", "/dovi118/", mostItems)
	for n, x := range []*batchJob{j, k, q} {
		if l[n].submit(x) != http.StatusAccepted {
			panic("a job was not accepted")
		}
	}
	r.await("a result is read", func() bool { p, _ := l[1].read(j.id, 0); return len(p.Results) > 0 })
	x := ""
	if r.trouble {
		x = onlineRoute("/")
	}
	r.store.Put("config", "main", nestedConfig(2, x))
	r.note("operator: version 2 is acknowledged, its routes besides the batch route: %q", x)
	time.Sleep(applyTime)
	e, o := r.endJob(l[0], k)
	n, m := 0, 0
	for b := time.Now(); time.Since(b) < readTime; time.Sleep(500 * time.Millisecond) {
		for _, f := range l {
			n++
			if f.reads(j.id) {
				m++
			}
		}
	}
	r.note("judge: %d of %d reads of the accepted job brought its results", m, n)
	w := r.runsAfter(k, e.Add(cancelTime))
	r.note("judge: end of job %s acknowledged: %v; %d of its items reached runners later than %s after that", k.id, o, w, cancelTime)
	switch {
	case m == 0 && w > 0:
		return fmt.Sprintf("LOST: none of %d reads at all fronts brought the results of an accepted job; UNASKED: %d items of the ended job reached runners", n, w)
	case m == 0:
		return fmt.Sprintf("LOST: none of %d reads at all fronts brought the results of an accepted job", n)
	case w > 0:
		return fmt.Sprintf("UNASKED: %d items of the ended job reached runners", w)
	}
	return ""
}

// endJob ends a job, and repeats the call until it is acknowledged or ackTime is over. It
// returns when the end counts as acknowledged, and whether there was an ack.
func (r *rig) endJob(f *front, j *batchJob) (time.Time, bool) {
	d := time.Now().Add(ackTime)
	for time.Now().Before(d) {
		a := f.call(http.MethodDelete, "/lots/"+j.id, "", nil, nil, 2*time.Second)
		r.note("client: end of job %s at %s: %d %.60q", j.id, f.name, a.status, a.body)
		if a.status == http.StatusOK && strings.HasPrefix(string(a.body), "ended") {
			return time.Now(), true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return d, false
}

// reads reports whether a read of a job's results is answered with them.
func (f *front) reads(id string) bool {
	a := f.call(http.MethodGet, "/lots/"+id+"?After=0", "", nil, map[string]string{"X-Wait-Ms": "1000"}, 2500*time.Millisecond)
	f.rig.note("client: results of %s at %s: %d %.60q", id, f.name, a.status, a.body)
	var p jobPage
	return a.status == http.StatusOK && json.Unmarshal(a.body, &p) == nil && p.Total > 0
}

// runsAfter returns how many runs of a job's items have begun at runners after a time.
func (r *rig) runsAfter(j *batchJob, after time.Time) int {
	n := 0
	for _, g := range r.runners {
		g.mu.Lock()
		for _, x := range g.runs {
			if strings.HasPrefix(x.id, j.id) && x.at.After(after) {
				n++
			}
		}
		g.mu.Unlock()
	}
	return n
}
