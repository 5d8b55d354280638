package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record microseconds up to one hour with three significant
	// digits.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	digits          = 3
)

// kindStats aggregates the results of one kind. It is not safe for concurrent use.
type kindStats struct {
	sent, answered, attempts int
	// Counts by code and verdict.
	failures                          map[[2]string]int
	firstToken, tokenIntervals, total *hdrhistogram.Histogram
	sendDelay                         *hdrhistogram.Histogram
}

func newKindStats() *kindStats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, digits) }
	return &kindStats{failures: map[[2]string]int{}, firstToken: h(), tokenIntervals: h(), total: h(), sendDelay: h()}
}

func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), 1), maxMicroseconds))
}

func (s *kindStats) add(outcome result) {
	s.sent++
	s.attempts += outcome.attempts
	record(s.sendDelay, outcome.sendDelay)
	if outcome.code != "" {
		s.failures[[2]string{outcome.code, outcome.verdict}]++
		return
	}
	s.answered++
	record(s.total, outcome.total)
	if outcome.firstToken > 0 {
		record(s.firstToken, outcome.firstToken)
	}
	for _, g := range outcome.tokenIntervals {
		record(s.tokenIntervals, g)
	}
}

// reportForm is the report in JSON. Times are in milliseconds.
type reportForm struct {
	WallMS  float64   `json:"wall-ms"`
	Online  kindForm  `json:"online"`
	Service kindForm  `json:"service"`
	Batch   batchForm `json:"batch"`
}

type kindForm struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// Requests sent, resends included.
	Attempts int           `json:"attempts"`
	Refused  []refusedForm `json:"refused"`
	// Time to first token and between tokens, for streams only.
	FirstMS timesForm `json:"first-token-ms"`
	GapsMS  timesForm `json:"between-tokens-ms"`
	TotalMS timesForm `json:"total-ms"`
	// Delay between the planned and the actual start, caused by the tool.
	LateMS timesForm `json:"send-delay-ms"`
}

type refusedForm struct {
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
	Count   int    `json:"count"`
}

type timesForm struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

type batchForm struct {
	Jobs      int           `json:"jobs"`
	JobsEnded int           `json:"jobs-ended"`
	Refused   []refusedForm `json:"refused"`
	Completed int           `json:"items-completed"`
	Failed    int           `json:"items-failed"`
	// Items without a result, and results beyond the first for an item, in the
	// files of jobs that ended.
	Missing  int `json:"items-missing"`
	Repeated int `json:"items-repeated"`
	// Results whose text differs from the expected one.
	Wrong int `json:"items-wrong"`
	// Completed items over the time from the first submission to the last end.
	ItemsPerSecond float64   `json:"items-per-second"`
	JobMS          timesForm `json:"job-ms"`
}

func summarise(histogram *hdrhistogram.Histogram) timesForm {
	if histogram.TotalCount() == 0 {
		return timesForm{}
	}
	m := func(v int64) float64 { return float64(v) / 1000 }
	return timesForm{
		Count: histogram.TotalCount(), Mean: histogram.Mean() / 1000,
		P50: m(histogram.ValueAtQuantile(50)), P95: m(histogram.ValueAtQuantile(95)), P99: m(histogram.ValueAtQuantile(99)), Max: m(histogram.Max()),
	}
}

func (s *kindStats) form() kindForm {
	return kindForm{
		Sent: s.sent, Answered: s.answered, Attempts: s.attempts, Refused: s.failureForms(),
		FirstMS: summarise(s.firstToken), GapsMS: summarise(s.tokenIntervals), TotalMS: summarise(s.total), LateMS: summarise(s.sendDelay),
	}
}

// failureForms returns the failures, most frequent first.
func (s *kindStats) failureForms() []refusedForm {
	l := []refusedForm{}
	for k, n := range s.failures {
		l = append(l, refusedForm{k[0], k[1], n})
	}
	slices.SortFunc(l, func(a, b refusedForm) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict))
	})
	return l
}

// summary aggregates all results. It is not safe for concurrent use.
type summary struct {
	online, service, batch *kindStats
	form                   batchForm
	// Of all jobs, measured from the start of the trace.
	firstSubmission, lastEnd time.Duration
}

func newSummary() *summary {
	return &summary{online: newKindStats(), service: newKindStats(), batch: newKindStats()}
}

func (s *summary) add(outcome result) {
	switch outcome.line.Kind {
	case kindOnline:
		s.online.add(outcome)
	case kindService:
		s.service.add(outcome)
	case kindBatch:
		outcome.total = outcome.jobDuration
		s.batch.add(outcome)
		s.form.Completed += outcome.completed
		s.form.Failed += outcome.failed
		s.form.Missing += outcome.missing
		s.form.Repeated += outcome.duplicated
		s.form.Wrong += outcome.wrong
		if s.batch.sent == 1 || outcome.line.at() < s.firstSubmission {
			s.firstSubmission = outcome.line.at()
		}
		s.lastEnd = max(s.lastEnd, outcome.endedAt)
	}
}

func (s *summary) report(wall time.Duration) reportForm {
	b := s.form
	b.Jobs, b.JobsEnded, b.Refused, b.JobMS = s.batch.sent, s.batch.answered, s.batch.failureForms(), summarise(s.batch.total)
	if d := s.lastEnd - s.firstSubmission; d > 0 {
		b.ItemsPerSecond = float64(b.Completed) / d.Seconds()
	}
	return reportForm{
		WallMS: float64(wall) / float64(time.Millisecond),
		Online: s.online.form(), Service: s.service.form(), Batch: b,
	}
}

// print writes the report as text.
func (s reportForm) print(writer io.Writer) error {
	t := &printer{writer: writer}
	t.line("wall time %.0f ms", s.WallMS)
	t.kind("online", s.Online)
	t.kind("service", s.Service)
	b := s.Batch
	t.line("batch: %d jobs, %d ended; items: %d completed, %d failed, %d missing, %d repeated, %d wrong; %.1f items/s",
		b.Jobs, b.JobsEnded, b.Completed, b.Failed, b.Missing, b.Repeated, b.Wrong, b.ItemsPerSecond)
	t.times("job", b.JobMS)
	t.refused(b.Refused)
	return t.err
}

// printer retains the first error of its writer.
type printer struct {
	writer io.Writer
	err    error
}

func (s *printer) line(text string, arguments ...any) {
	if s.err == nil {
		_, s.err = fmt.Fprintf(s.writer, text+"\n", arguments...)
	}
}

func (s *printer) kind(name string, report kindForm) {
	s.line("%s: %d sent, %d answered, %d attempts", name, report.Sent, report.Answered, report.Attempts)
	s.times("first token", report.FirstMS)
	s.times("between tokens", report.GapsMS)
	s.times("total", report.TotalMS)
	s.times("send delay", report.LateMS)
	s.refused(report.Refused)
}

func (s *printer) times(name string, summary timesForm) {
	if summary.Count == 0 {
		return
	}
	s.line("  %-15s ms: mean %.1f  p50 %.1f  p95 %.1f  p99 %.1f  max %.1f  (%d)", name, summary.Mean, summary.P50, summary.P95, summary.P99, summary.Max, summary.Count)
}

func (s *printer) refused(failures []refusedForm) {
	for _, r := range failures {
		s.line("  refused %s, %s: %d", r.Code, r.Verdict, r.Count)
	}
}
