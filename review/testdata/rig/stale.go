package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// Longest time for which the store turns machines away (platform_down nodes).
	turnedAwayFor = 9 * time.Second
	maxWaitS      = 60
	itemEvents    = 40
	eventPace     = 20 * time.Millisecond
)

// staleConfig is the configuration of the case: version 2 adds a batch route.
func staleConfig(version int) string {
	b := `{"Name":"r-%s","Hostname":"ficu95.example","PathPrefix":"/%s/","RouteType":"batch","TimeoutMs":15000,"LatencyTargetMs":400,"Priority":2,"Service":"huvo11a","MaxAttempts":3,"DueMs":18000,"MaxWaitS":%d,"SessionAffinity":true,"Resumable":true}`
	l := fmt.Sprintf(b, "old", "pule252", maxWaitS)
	if version > 1 {
		l += "," + fmt.Sprintf(b, "new", "dovi118", maxWaitS)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":210,"Engine":{"Slots":8,"KvCapacity":147261}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version, l)
}

// staleRoute: the store turns one front away for 9 s, the operator adds a batch route,
// and the front that has accepted jobs on it is stopped as planned.
func staleRoute(r *rig) string {
	l := r.smallDeployment(staleConfig(1), eventPace)
	a, b, c := l[0], l[1], l[2]
	if r.trouble {
		b.gate.set(true)
	}
	o := time.Now()
	r.store.Put("config", "main", staleConfig(2))
	r.note("operator: version 2, with a second batch route, is acknowledged")
	time.Sleep(500 * time.Millisecond)
	j := r.submitAll(a, "/dovi118/", 12, 10)
	a.signal(syscall.SIGTERM)
	time.Sleep(time.Until(o.Add(turnedAwayFor)))
	if r.trouble {
		b.gate.set(false)
	}
	s := r.judgeJobs(c, j, 20*time.Second)
	for _, f := range l {
		f.noteLog("given up", "left to another front", "run here from now on", "configuration in force", "no longer run here")
	}
	return s
}

// submitAll submits jobs at a front and returns the accepted ones.
func (r *rig) submitAll(f *front, prefix string, jobs, items int) []*batchJob {
	var l []*batchJob
	for n := range jobs {
		j := newJob(fmt.Sprintf("%08x", 0x7c41e000+n), prefix, items)
		if f.submit(j) == http.StatusAccepted {
			l = append(l, j)
		}
	}
	if len(l) == 0 {
		panic("no job was accepted")
	}
	return l
}

// judgeJobs reads all results of jobs, and returns what a client sees broken: an item
// that was given up though no runner has failed it, its longest wait is not over, and
// its job and its route have not ended.
func (r *rig) judgeJobs(f *front, jobs []*batchJob, limit time.Duration) string {
	d := time.Now().Add(limit)
	n, k := 0, 0
	var x string
	for _, j := range jobs {
		l := r.readAll(f, j, d)
		for _, v := range l {
			if v.State == "done" {
				k++
				if v.Output != wholeOutput(v.ID, itemEvents) {
					return "MIXED: output of " + v.ID + " is not the whole one"
				}
				continue
			}
			n++
			x = fmt.Sprintf("MIXED: %s of job %s is listed as %s %.1f s after it was sent", v.ID, j.id, v.State, time.Since(j.sentAt).Seconds())
		}
	}
	r.note("judge: %d items done, %d given up", k, n)
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%s; %d items of %d given up, none failed at a runner, MaxWaitS is %d", x, n, n+k, maxWaitS)
}

// readAll reads the results of a job until all are there or the time is over.
func (r *rig) readAll(f *front, j *batchJob, end time.Time) []jobResult {
	var l []jobResult
	for len(l) < len(j.items) && time.Now().Before(end) {
		p, _ := f.read(j.id, len(l))
		l = append(l, p.Results...)
		if len(p.Results) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
	r.note("judge: job %s has %d results of %d", j.id, len(l), len(j.items))
	return l
}
