package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	trail "bulrushtrail.example/trail"
)

const (
	// Results that may wait for the task that gathers them.
	resultBuffer = 1024
	// Kept connections for each entry.
	idleConnections = 256
	idleTimeout     = 30 * time.Second
	// Jobs that are followed at the same time.
	maxJobs = 2000
)

// Tool drives traces against entries. It is safe to run several traces one
// after another.
type Tool struct {
	entries []string
	l       log.Interface
	h       *http.Client
	keys    map[string]string
	// Requests in flight at most, without jobs.
	inFlight   int
	timeout    time.Duration
	jobTimeout time.Duration
	poll       time.Duration
	speed      float64
	// Resends of one request at most.
	resends   int
	json      bool
	checkText bool
	// Counts requests, to take the entries in turn.
	turn atomic.Uint64
	// Makes request ids of one run differ from those of another.
	id string
}

// New returns a tool for entries, which are IP and port each. Without options
// it sends a trace at its own speed, with 1000 requests in flight at most, 120
// s for a request, an hour for a job, no resends, and a report as text.
func New(entries []string, d trail.Dialer, l log.Interface, options ...func(*Tool)) *Tool {
	s := &Tool{
		entries: entries, l: l, inFlight: 1000, timeout: 2 * time.Minute,
		jobTimeout: time.Hour, poll: time.Second, speed: 1, id: uuid.NewString(),
	}
	s.h = &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Keys gives callers their keys. A caller without one uses its name.
func Keys(keys map[string]string) func(*Tool) {
	return func(s *Tool) { s.keys = keys }
}

// InFlight bounds the requests in flight, without jobs. A request that waits
// for others counts as late.
func InFlight(n int) func(*Tool) {
	return func(s *Tool) { s.inFlight = n }
}

// Timeouts bound a request with its resends, and a job from its submission to
// its results, which is asked after each poll period.
func Timeouts(request, job, poll time.Duration) func(*Tool) {
	return func(s *Tool) { s.timeout, s.jobTimeout, s.poll = request, job, poll }
}

// Speed divides the times of the trace.
func Speed(factor float64) func(*Tool) {
	return func(s *Tool) { s.speed = factor }
}

// Resends lets a request be sent again so many times when the answer says that
// it did not run and when to come back, or when the connection was lost and
// the request has an id or a key that keeps it from running twice.
func Resends(n int) func(*Tool) {
	return func(s *Tool) { s.resends = n }
}

// JSON makes the report JSON.
func JSON(on bool) func(*Tool) {
	return func(s *Tool) { s.json = on }
}

// CheckText compares each answer with the text that engine stand-ins give.
func CheckText(on bool) func(*Tool) {
	return func(s *Tool) { s.checkText = on }
}

// Run sends a trace and writes the report to w after the last answer, or when
// c ends, which cuts the requests in flight. The error tells of a trace that
// can't be read (nothing was sent then), of a run that c cut, or of w.
func (s *Tool) Run(c context.Context, trace io.Reader, w io.Writer) error {
	l, e := read(trace)
	if e != nil {
		return e
	}
	if len(s.entries) == 0 {
		return errors.New("no entries are given")
	}
	b := time.Now()
	r := make(chan result, resultBuffer)
	go func() {
		defer close(r)
		s.send(c, l, b, r)
	}()
	m := newSummary()
	for x := range r {
		m.add(x)
	}
	s.h.CloseIdleConnections()
	e = s.write(w, m.report(time.Since(b)))
	if e != nil {
		return e
	}
	return errors.Wrap(c.Err(), "run was cut")
}

func (s *Tool) write(w io.Writer, f reportForm) error {
	if !s.json {
		return f.print(w)
	}
	n := json.NewEncoder(w)
	n.SetIndent("", "  ")
	return n.Encode(f)
}

// send starts each line at its time and returns when all have ended.
func (s *Tool) send(c context.Context, l []*line, begin time.Time, r chan<- result) {
	var g, j errgroup.Group
	g.SetLimit(s.inFlight)
	j.SetLimit(maxJobs)
	for _, x := range l {
		t := begin.Add(time.Duration(float64(x.at()) / s.speed))
		if !sleep(c, time.Until(t)) {
			break
		}
		o := &g
		if x.Kind == kindBatch {
			o = &j
		}
		o.Go(func() error {
			a := s.do(c, x, t)
			a.ended = time.Since(begin)
			r <- a
			return nil
		})
	}
	_ = g.Wait()
	_ = j.Wait()
}

// do sends one line that was planned for a time.
func (s *Tool) do(c context.Context, x *line, planned time.Time) result {
	r := result{line: x, late: max(0, time.Since(planned))}
	d := s.timeout
	if x.Kind == kindBatch {
		d = s.jobTimeout
	}
	c, f := context.WithTimeout(c, d)
	defer f()
	if x.Kind == kindBatch {
		s.submit(c, &r)
		return r
	}
	s.exchange(c, &r, planned)
	return r
}

// entry returns the entry for one sending of a request: the entries in turn
// for the requests, and the next one for each resend, so that a resend doesn't
// meet the same entry by chance.
func (s *Tool) entry(request uint64, resend int) string {
	return s.entries[(request+uint64(resend))%uint64(len(s.entries))]
}

func (s *Tool) key(caller string) string {
	if k := s.keys[caller]; k != "" {
		return k
	}
	return caller
}

// sleep waits, and reports whether c is still live.
func sleep(c context.Context, d time.Duration) bool {
	if d <= 0 {
		return c.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.Done():
		return false
	}
}
