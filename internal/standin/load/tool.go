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
	// Results that may be pending for the goroutine that aggregates them.
	resultBuffer = 1024
	// Idle connections kept for each entry.
	idleConnsPerEntry = 256
	idleTimeout       = 30 * time.Second
	// Jobs that are polled concurrently.
	maxJobsInFlight = 2000
)

// Tool replays traces against entries. One Tool may run several traces in
// sequence.
type Tool struct {
	entries []string
	logger  log.Interface
	client  *http.Client
	apiKeys map[string]string
	// Limit of requests in flight, not counting jobs.
	maxInFlight  int
	timeout      time.Duration
	jobTimeout   time.Duration
	pollInterval time.Duration
	speed        float64
	maxResends   int
	json         bool
	checkText    bool
	// Counts requests, for round-robin selection of the entries.
	nextEntry atomic.Uint64
	// Prefix of request ids, which keeps them distinct between runs.
	runID string
}

// New returns a Tool for entries, each given as IP:port. By default it replays
// a trace at its recorded speed with at most 1000 requests in flight, a timeout
// of 120 s for a request and one hour for a job, no resends, and a text report.
func New(entries []string, dialer trail.Dialer, logger log.Interface, options ...func(*Tool)) *Tool {
	s := &Tool{
		entries: entries, logger: logger, maxInFlight: 1000, timeout: 2 * time.Minute,
		jobTimeout: time.Hour, pollInterval: time.Second, speed: 1, runID: uuid.NewString(),
	}
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnsPerEntry, IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}}
	for _, o := range options {
		o(s)
	}
	return s
}

// APIKeys sets the API key of each caller. A caller without a key uses its
// name as the key.
func APIKeys(keys map[string]string) func(*Tool) {
	return func(s *Tool) { s.apiKeys = keys }
}

// MaxInFlight limits the requests in flight, not counting jobs. The time that a
// request waits at this limit counts as send delay.
func MaxInFlight(limit int) func(*Tool) {
	return func(s *Tool) { s.maxInFlight = limit }
}

// Timeouts limits the time of a request including its resends, and of a job
// from its submission to its results. Jobs are polled at the poll interval.
func Timeouts(request, job, poll time.Duration) func(*Tool) {
	return func(s *Tool) { s.timeout, s.jobTimeout, s.pollInterval = request, job, poll }
}

// Speed divides the start times of the trace by factor.
func Speed(factor float64) func(*Tool) {
	return func(s *Tool) { s.speed = factor }
}

// MaxResends limits the resends of a request. It is sent again when the answer
// reports that it did not run and gives a retry delay, or when the connection
// was lost and the request is idempotent or has an id or an idempotency key that
// prevents it from running twice.
func MaxResends(limit int) func(*Tool) {
	return func(s *Tool) { s.maxResends = limit }
}

// JSON makes the report JSON.
func JSON(on bool) func(*Tool) {
	return func(s *Tool) { s.json = on }
}

// CheckText compares each answer with the text expected from engine stand-ins.
func CheckText(on bool) func(*Tool) {
	return func(s *Tool) { s.checkText = on }
}

// Run replays a trace and writes the report after the last answer, or after ctx
// is cancelled, which aborts the requests in flight. It returns an error when
// the trace is invalid, in which case nothing has been sent, when ctx ended the
// run early, or when the report cannot be written.
func (s *Tool) Run(ctx context.Context, trace io.Reader, report io.Writer) error {
	l, e := readTrace(trace)
	if e != nil {
		return e
	}
	if len(s.entries) == 0 {
		return errors.New("no entries given")
	}
	b := time.Now()
	r := make(chan result, resultBuffer)
	go func() {
		defer close(r)
		s.send(ctx, l, b, r)
	}()
	m := newSummary()
	for x := range r {
		m.add(x)
	}
	s.client.CloseIdleConnections()
	e = s.write(report, m.report(time.Since(b)))
	if e != nil {
		return e
	}
	return errors.Wrap(ctx.Err(), "run ended early")
}

func (s *Tool) write(writer io.Writer, report reportForm) error {
	if !s.json {
		return report.print(writer)
	}
	n := json.NewEncoder(writer)
	n.SetIndent("", "  ")
	return n.Encode(report)
}

// send starts each line at its planned time and returns when all have ended.
func (s *Tool) send(ctx context.Context, lines []*traceLine, begin time.Time, results chan<- result) {
	var g, j errgroup.Group
	g.SetLimit(s.maxInFlight)
	j.SetLimit(maxJobsInFlight)
	for _, x := range lines {
		t := begin.Add(time.Duration(float64(x.at()) / s.speed))
		if !sleep(ctx, time.Until(t)) {
			break
		}
		o := &g
		if x.Kind == kindBatch {
			o = &j
		}
		o.Go(func() error {
			a := s.runLine(ctx, x, t)
			a.endedAt = time.Since(begin)
			results <- a
			return nil
		})
	}
	_ = g.Wait()
	_ = j.Wait()
}

// runLine executes one line whose planned start is given.
func (s *Tool) runLine(ctx context.Context, line *traceLine, planned time.Time) result {
	r := result{line: line, sendDelay: max(0, time.Since(planned))}
	d := s.timeout
	if line.Kind == kindBatch {
		d = s.jobTimeout
	}
	c, f := context.WithTimeout(ctx, d)
	defer f()
	if line.Kind == kindBatch {
		s.runJob(c, &r)
		return r
	}
	s.sendRequest(c, &r, planned)
	return r
}

// entryFor selects the entry for one attempt of a request: round-robin over the
// requests, and the next entry for each resend, so that with more than one
// entry consecutive attempts never use the same one.
func (s *Tool) entryFor(request uint64, resend int) string {
	return s.entries[(request+uint64(resend))%uint64(len(s.entries))]
}

func (s *Tool) apiKey(caller string) string {
	if k := s.apiKeys[caller]; k != "" {
		return k
	}
	return caller
}

// sleep waits for duration and returns false when ctx has ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
