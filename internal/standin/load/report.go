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
	// Histograms count microseconds up to an hour with three digits.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	digits          = 3
)

// stats gathers the results of one kind. One task owns it.
type stats struct {
	sent, answered, attempts int
	// By code and verdict.
	refused            map[[2]string]int
	first, gaps, total *hdrhistogram.Histogram
	late               *hdrhistogram.Histogram
}

func newStats() *stats {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, digits) }
	return &stats{refused: map[[2]string]int{}, first: h(), gaps: h(), total: h(), late: h()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func (s *stats) add(r result) {
	s.sent++
	s.attempts += r.attempts
	record(s.late, r.late)
	if r.code != "" {
		s.refused[[2]string{r.code, r.verdict}]++
		return
	}
	s.answered++
	record(s.total, r.total)
	if r.first > 0 {
		record(s.first, r.first)
	}
	for _, g := range r.gaps {
		record(s.gaps, g)
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
	// Time to first token, and between tokens; of streams only.
	FirstMS timesForm `json:"first-token-ms"`
	GapsMS  timesForm `json:"between-tokens-ms"`
	TotalMS timesForm `json:"total-ms"`
	// How late the tool itself sent.
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
	// Items without a result, and results beyond the first, in the files of
	// jobs that ended.
	Missing  int `json:"items-missing"`
	Repeated int `json:"items-repeated"`
	// Results with another text than the item must give.
	Wrong int `json:"items-wrong"`
	// Completed items from the first submission to the last end.
	ItemsPerSecond float64   `json:"items-per-second"`
	JobMS          timesForm `json:"job-ms"`
}

func times(h *hdrhistogram.Histogram) timesForm {
	if h.TotalCount() == 0 {
		return timesForm{}
	}
	m := func(v int64) float64 { return float64(v) / 1000 }
	return timesForm{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: m(h.ValueAtQuantile(50)), P95: m(h.ValueAtQuantile(95)), P99: m(h.ValueAtQuantile(99)), Max: m(h.Max()),
	}
}

func (s *stats) form() kindForm {
	return kindForm{
		Sent: s.sent, Answered: s.answered, Attempts: s.attempts, Refused: s.refusals(),
		FirstMS: times(s.first), GapsMS: times(s.gaps), TotalMS: times(s.total), LateMS: times(s.late),
	}
}

// refusals lists the failures, most frequent first.
func (s *stats) refusals() []refusedForm {
	l := []refusedForm{}
	for k, n := range s.refused {
		l = append(l, refusedForm{k[0], k[1], n})
	}
	slices.SortFunc(l, func(a, b refusedForm) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Code, b.Code), cmp.Compare(a.Verdict, b.Verdict))
	})
	return l
}

// summary gathers all results. One task owns it.
type summary struct {
	online, service, batch *stats
	form                   batchForm
	// First submission and last end of jobs, from the start of the trace.
	from, to time.Duration
}

func newSummary() *summary {
	return &summary{online: newStats(), service: newStats(), batch: newStats()}
}

func (s *summary) add(r result) {
	switch r.line.Kind {
	case kindOnline:
		s.online.add(r)
	case kindService:
		s.service.add(r)
	case kindBatch:
		r.total = r.job
		s.batch.add(r)
		s.form.Completed += r.completed
		s.form.Failed += r.failed
		s.form.Missing += r.missing
		s.form.Repeated += r.repeated
		s.form.Wrong += r.wrong
		if s.batch.sent == 1 || r.line.at() < s.from {
			s.from = r.line.at()
		}
		s.to = max(s.to, r.ended)
	}
}

func (s *summary) report(wall time.Duration) reportForm {
	b := s.form
	b.Jobs, b.JobsEnded, b.Refused, b.JobMS = s.batch.sent, s.batch.answered, s.batch.refusals(), times(s.batch.total)
	if d := s.to - s.from; d > 0 {
		b.ItemsPerSecond = float64(b.Completed) / d.Seconds()
	}
	return reportForm{
		WallMS: float64(wall) / float64(time.Millisecond),
		Online: s.online.form(), Service: s.service.form(), Batch: b,
	}
}

// print writes the report as text.
func (s reportForm) print(w io.Writer) error {
	t := &printer{w: w}
	t.line("wall time %.0f ms", s.WallMS)
	t.kind("online", s.Online)
	t.kind("service", s.Service)
	b := s.Batch
	t.line("batch: %d jobs, %d ended; items: %d completed, %d failed, %d missing, %d repeated, %d wrong; %.1f items/s",
		b.Jobs, b.JobsEnded, b.Completed, b.Failed, b.Missing, b.Repeated, b.Wrong, b.ItemsPerSecond)
	t.times("job", b.JobMS)
	t.refused(b.Refused)
	return t.e
}

// printer keeps the first error of its writer.
type printer struct {
	w io.Writer
	e error
}

func (s *printer) line(text string, arguments ...any) {
	if s.e == nil {
		_, s.e = fmt.Fprintf(s.w, text+"\n", arguments...)
	}
}

func (s *printer) kind(name string, k kindForm) {
	s.line("%s: %d sent, %d answered, %d attempts", name, k.Sent, k.Answered, k.Attempts)
	s.times("first token", k.FirstMS)
	s.times("between tokens", k.GapsMS)
	s.times("total", k.TotalMS)
	s.times("send delay", k.LateMS)
	s.refused(k.Refused)
}

func (s *printer) times(name string, t timesForm) {
	if t.Count == 0 {
		return
	}
	s.line("  %-15s ms: mean %.1f  p50 %.1f  p95 %.1f  p99 %.1f  max %.1f  (%d)", name, t.Mean, t.P50, t.P95, t.P99, t.Max, t.Count)
}

func (s *printer) refused(l []refusedForm) {
	for _, r := range l {
		s.line("  refused %s, %s: %d", r.Code, r.Verdict, r.Count)
	}
}
