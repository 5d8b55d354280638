package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"bulrushtrail.example/trail/internal/standin/load"
)

// Kinds of trace lines.
const (
	kindOnline = "online"
	kindBatch  = "batch"
)

const (
	bytesPerToken = 4
	// Prompt tokens of a request that names none.
	defaultAnswer = 256
	// Requests a second of the trace from which the capacity is calculated.
	sampleRate   = 200
	sampleLength = 20 * time.Second
)

// line is a line of a trace of package load, without what only the load tool
// needs.
type line struct {
	AtMS         int64  `json:"at-ms"`
	Caller       string `json:"caller"`
	Kind         string `json:"kind"`
	Service      string `json:"service"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt-tokens"`
	Prefix       string `json:"prefix"`
	PrefixTokens int    `json:"prefix-tokens"`
	AnswerTokens int    `json:"answer-tokens"`
	Stream       bool   `json:"stream"`
	Items        int    `json:"items"`
	Window       string `json:"window"`
	DeadlineMS   int64  `json:"deadline-ms"`
	// The completion window.
	window time.Duration
}

func (l *line) at() time.Duration { return time.Duration(l.AtMS) * time.Millisecond }

// tokens is the cost that an entry estimates.
func (l *line) tokens() int { return l.PrefixTokens + l.PromptTokens + l.AnswerTokens }

func (l *line) prefix() uint64 { return xxhash.Sum64String(l.Service + "\x00" + l.Prefix) }

// slotTime is the time that a request takes at a full runner without its
// prefix in the cache.
func (l *line) slotTime(slots int) time.Duration {
	return time.Duration(l.PrefixTokens+l.PromptTokens)*promptTokenTime +
		time.Duration(l.AnswerTokens)*(tokenTime+time.Duration(slots)*tokenPerRequest)
}

// trace is the online and batch lines of one model service.
type trace struct {
	name   string
	d      *deployment
	length time.Duration
	lines  []*line
}

// read parses a trace. Calls of plain services are passed over.
func read(name string, r io.Reader) (*trace, error) {
	t := &trace{name: name}
	n := json.NewDecoder(r)
	for i := 1; ; i++ {
		l := &line{}
		e := n.Decode(l)
		if e == io.EOF {
			break
		}
		if e == nil && l.at() < t.length {
			e = errors.New("line is out of order")
		}
		if e == nil && (l.Kind == kindOnline || l.Kind == kindBatch) {
			e = t.add(l)
		}
		if e != nil {
			return nil, errors.Wrapf(e, "trace %s, line %d", name, i)
		}
		t.length = l.at()
	}
	if t.d == nil {
		return nil, errors.Newf("trace %s has no request of a model service", name)
	}
	return t, nil
}

func (t *trace) add(l *line) error {
	d := deploymentOf(l.Service)
	if d == nil || t.d != nil && t.d != d {
		return errors.Newf("service %q is not the model service of one deployment", l.Service)
	}
	t.d = d
	if l.Prompt != "" {
		l.PromptTokens = len(l.Prompt) / bytesPerToken
	}
	if l.AnswerTokens < 1 {
		l.AnswerTokens = defaultAnswer
	}
	if l.Kind == kindBatch {
		w, e := time.ParseDuration(l.Window)
		if e != nil || l.Items < 1 {
			return errors.Newf("batch job has window %q and %d items", l.Window, l.Items)
		}
		l.window = w
	}
	t.lines = append(t.lines, l)
	return nil
}

// generated returns a trace of the generator whose online requests take a
// share of the capacity on average. The system prompt of each caller is its
// own, with a shop's stock list or a studio's fitting notes, and completion
// windows are squeezed like the day.
func generated(name string, d *deployment, seed uint64, length time.Duration, share float64) (*trace, error) {
	s, e := sampled(name, d, seed, sampleLength, sampleRate)
	if e != nil {
		return nil, e
	}
	var w time.Duration
	for _, l := range s.lines {
		if l.Kind == kindOnline {
			w += l.slotTime(d.slots)
		}
	}
	q := float64(w) / float64(sampleLength) / float64(d.runners*d.slots)
	t, e := sampled(name, d, seed, length, sampleRate*share/q)
	if e != nil {
		return nil, e
	}
	t.length = length
	for _, l := range t.lines {
		l.Prefix += "/" + l.Caller
		l.window = max(time.Duration(float64(l.window)*float64(length)/float64(dayLength)), minWindow)
	}
	return t, nil
}

func sampled(name string, d *deployment, seed uint64, length time.Duration, rate float64) (*trace, error) {
	var b bytes.Buffer
	e := load.Generate(&b, d.name, seed, length, rate)
	if e != nil {
		return nil, e
	}
	return read(name, &b)
}
