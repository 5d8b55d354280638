//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	staleJobItems = 200
	// Age of the old copies at the store.
	copyAge = 5 * time.Second
	// Time for which a front is frozen.
	freezeTime = 4 * time.Second
	// Time from the start of the freeze until the client ends the job. By then another
	// front has taken the job over.
	endAfterFreeze = 2900 * time.Millisecond

	cancelBound  = 3 * time.Second
	contactBound = 3 * time.Second
)

// endedJob has a front frozen while it runs a job. Another one takes the job over, and
// the client ends it; the frozen front wakes.
func endedJob(b *bed) (string, error) {
	a, e := serve(&lagged{next: b.platform, lag: copyAge, writes: map[string][]write{}})
	if e != nil {
		return "", e
	}
	b.store = a
	b.setConfig(1, askRoute+","+jobsRoute)
	e = b.addEngines(4, engineBehaviour{slots: 2, events: 10, interval: 60 * time.Millisecond})
	if e == nil {
		e = b.startFronts()
	}
	if e != nil {
		return "", e
	}
	c := &jobClient{record: b.record, host: jobsHost, prefix: "/jobs/"}
	if !c.submit(b.fronts, jobID, c.newItems(jobID, staleJobItems)) {
		return "", errors.New("job was not accepted")
	}
	time.Sleep(copyAge + 2*time.Second)
	w := time.Now()
	if b.trouble {
		b.fronts[0].signal(syscall.SIGSTOP)
	}
	time.Sleep(endAfterFreeze)
	r := send(http.MethodDelete, b.fronts[1].api, jobsHost, "/lots/"+jobID, nil, nil, callTimeout)
	t := time.Now()
	b.add("client: end of job %s at %s: %s", jobID, b.fronts[1].name, r)
	if r.err != nil || r.status != http.StatusOK {
		return "", errors.New("end of the job was not acknowledged")
	}
	time.Sleep(time.Until(w.Add(freezeTime)))
	if b.trouble {
		b.fronts[0].signal(syscall.SIGCONT)
	}
	// From then on all fronts are in touch, and the end must be heeded.
	d := max(time.Until(w.Add(freezeTime+contactBound)), time.Until(t.Add(cancelBound)))
	time.Sleep(d)
	s := time.Now()
	b.add("the job has ended for %s, and no front was disturbed for %s", s.Sub(t).Round(time.Millisecond), contactBound)
	q := b.endedRuns()
	time.Sleep(8 * time.Second)
	for i, x := range b.endedRuns() {
		b.add("%s: %d runs of items have ended since", b.fronts[i].name, x-q[i])
	}
	n := 0
	for _, g := range b.engines {
		n += g.startsAfter(s, func(id string) bool { return strings.HasPrefix(id, jobID) })
	}
	if n == 0 {
		return "", nil
	}
	return fmt.Sprintf("UNASKED: %d runs of items of an ended job began later than CancelMs after the acknowledgement of its end, from a front in touch", n), nil
}

// endedRuns returns for each front how many runs of items have ended, by its log.
func (b *bed) endedRuns() []int {
	var l []int
	for _, f := range b.fronts {
		v, e := os.ReadFile(f.logPath)
		if e != nil {
			b.add("%s: log not read: %v", f.name, e)
		}
		l = append(l, bytes.Count(v, []byte("batch: run of an item ended")))
	}
	return l
}
