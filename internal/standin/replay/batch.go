package replay

import (
	"time"
)

// backlog is the number of batch items without a deadline that always wait or
// run: the most that one job has in flight.
const backlog = 256

// backlogCaller submits the backlog, in jobs of so many items each.
const (
	backlogCaller = "backlog"
	backlogItems  = 500
)

// job is a batch job of the trace.
type job struct {
	deadline time.Time
	missed   bool
}

// submit sends all items of a job.
func (r *run) submit(l *line) {
	j := &job{deadline: r.c.now.Add(l.window)}
	for range l.Items {
		r.arrive(&call{l: l, j: j})
	}
}

// startBacklog keeps items waiting from the start, like those of the trace's
// jobs.
func (r *run) startBacklog() {
	for _, x := range r.s.t.lines {
		if x.Kind == kindBatch {
			o := *x
			o.Caller = backlogCaller
			r.backlog = append(r.backlog, &o)
		}
	}
	if len(r.backlog) == 0 {
		return
	}
	for range backlog {
		r.arrive(r.next())
	}
}

// next returns the next item of the backlog. One job follows the other, so
// that most items in flight have the same prefix.
func (r *run) next() *call {
	r.taken++
	return &call{l: r.backlog[r.taken/backlogItems%len(r.backlog)]}
}

// itemEnded sends an item again that was not completed, or the next one of the
// backlog.
func (r *run) itemEnded(k *call, code string, wait time.Duration) {
	n := &call{l: k.l, j: k.j}
	switch {
	case k.j == nil && code == "":
		r.c.after(0, func() { r.arrive(r.next()) })
	case k.j == nil:
		r.c.after(wait, func() { r.arrive(n) })
	case code == "":
		if r.c.now.After(k.j.deadline) {
			r.missed(k.j)
		}
	case r.c.now.Add(wait).After(k.j.deadline):
		r.missed(k.j)
	default:
		r.c.after(wait, func() { r.arrive(n) })
	}
}

func (r *run) missed(j *job) {
	r.f.missedItems++
	if !j.missed {
		j.missed = true
		r.f.missedJobs++
	}
}

// burstCaller is the one with many requests.
const burstCaller = "region"

// startBurst sends a caller's burst at half time, and one request each of the
// small callers in the rest of the trace. The requests of the burst have the
// lengths of the trace's; with equal lengths the slots would free at once.
func (r *run) startBurst() {
	var l []*line
	for _, x := range r.s.t.lines {
		if x.Kind == kindOnline {
			l = append(l, x)
		}
	}
	if len(l) == 0 {
		return
	}
	r.c.after(r.s.t.length/2, func() {
		for i := range r.s.burst {
			o := *l[i%len(l)]
			o.Caller, o.Prefix = burstCaller, burstCaller
			r.arrive(&call{l: &o, online: true})
		}
	})
	g := r.s.t.length / 2 / time.Duration(r.s.small+1)
	for i := range r.s.small {
		o := *l[0]
		o.Caller = hostName(i)
		o.Prefix = o.Caller
		r.c.after(r.s.t.length/2+time.Duration(i+1)*g, func() { r.arrive(&call{l: &o, online: true, small: true}) })
	}
}
