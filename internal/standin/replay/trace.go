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
	// Answer tokens of a request that sets none.
	defaultAnswerTokens = 256
	// Requests per second and length of the sample trace from which the capacity
	// is calculated.
	sampleRate   = 200
	sampleLength = 20 * time.Second
)

// traceLine is a line of a trace of package load, without the fields that only
// the load tool needs.
type traceLine struct {
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
	// Completion window parsed from Window.
	window time.Duration
}

func (l *traceLine) at() time.Duration { return time.Duration(l.AtMS) * time.Millisecond }

// tokens returns the cost in tokens that an entry estimates.
func (l *traceLine) tokens() int { return l.PrefixTokens + l.PromptTokens + l.AnswerTokens }

func (l *traceLine) prefix() uint64 { return xxhash.Sum64String(l.Service + "\x00" + l.Prefix) }

// slotTime returns the time that a request holds a slot of a full runner if its
// prefix is not cached.
func (l *traceLine) slotTime(slots int) time.Duration {
	return time.Duration(l.PrefixTokens+l.PromptTokens)*promptTokenTime +
		time.Duration(l.AnswerTokens)*(tokenTime+time.Duration(slots)*tokenPerRequest)
}

// serviceTrace holds the online and batch lines of one model service.
type serviceTrace struct {
	name       string
	deployment *modelDeployment
	length     time.Duration
	lines      []*traceLine
}

// readTrace parses a trace. Calls to plain services are skipped.
func readTrace(name string, reader io.Reader) (*serviceTrace, error) {
	t := &serviceTrace{name: name}
	n := json.NewDecoder(reader)
	for i := 1; ; i++ {
		l := &traceLine{}
		e := n.Decode(l)
		if e == io.EOF {
			break
		}
		if e == nil && l.at() < t.length {
			e = errors.New("time is before that of the previous line")
		}
		if e == nil && (l.Kind == kindOnline || l.Kind == kindBatch) {
			e = t.add(l)
		}
		if e != nil {
			return nil, errors.Wrapf(e, "trace %s, line %d", name, i)
		}
		t.length = l.at()
	}
	if t.deployment == nil {
		return nil, errors.Newf("trace %s has no request of a model service", name)
	}
	return t, nil
}

func (t *serviceTrace) add(line *traceLine) error {
	d := deploymentOf(line.Service)
	if d == nil || t.deployment != nil && t.deployment != d {
		return errors.Newf("service %q has no deployment or differs from the other lines of the trace", line.Service)
	}
	t.deployment = d
	if line.Prompt != "" {
		line.PromptTokens = len(line.Prompt) / bytesPerToken
	}
	if line.AnswerTokens < 1 {
		line.AnswerTokens = defaultAnswerTokens
	}
	if line.Kind == kindBatch {
		w, e := time.ParseDuration(line.Window)
		if e != nil || line.Items < 1 {
			return errors.Newf("invalid batch job: window %q, %d items", line.Window, line.Items)
		}
		line.window = w
	}
	t.lines = append(t.lines, line)
	return nil
}

// generateTrace returns a generated trace whose online requests take the given
// share of the capacity on average. Each caller has a system prompt of its own,
// with a shop's stock list or a studio's fitting notes. Completion windows are
// compressed by the same factor as the day.
func generateTrace(name string, deployment *modelDeployment, seed uint64, length time.Duration, share float64) (*serviceTrace, error) {
	s, e := generateAtRate(name, deployment, seed, sampleLength, sampleRate)
	if e != nil {
		return nil, e
	}
	var w time.Duration
	for _, l := range s.lines {
		if l.Kind == kindOnline {
			w += l.slotTime(deployment.slots)
		}
	}
	q := float64(w) / float64(sampleLength) / float64(deployment.runners*deployment.slots)
	t, e := generateAtRate(name, deployment, seed, length, sampleRate*share/q)
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

func generateAtRate(name string, deployment *modelDeployment, seed uint64, length time.Duration, rate float64) (*serviceTrace, error) {
	var b bytes.Buffer
	e := load.Generate(&b, deployment.name, seed, length, rate)
	if e != nil {
		return nil, e
	}
	return readTrace(name, &b)
}
