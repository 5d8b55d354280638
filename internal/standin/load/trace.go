package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Kinds of trace lines.
const (
	kindOnline  = "online"
	kindBatch   = "batch"
	kindService = "service"
)

const (
	maxLineBytes = 16 << 20
	// Traces are held in memory while they run.
	maxLines      = 5_000_000
	bytesPerToken = 4
)

// traceLine is one line of a trace.
type traceLine struct {
	// Milliseconds from the start of the trace.
	AtMS    int64  `json:"at-ms"`
	Caller  string `json:"caller"`
	Kind    string `json:"kind"`
	Service string `json:"service"`

	// Text of a question, or of every item of a job. When it is empty, filler
	// text of PromptTokens tokens is used instead. It follows PrefixTokens
	// tokens that are the same in all lines with the same Prefix.
	Prompt       string `json:"prompt,omitempty"`
	PromptTokens int    `json:"prompt-tokens,omitempty"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix-tokens,omitempty"`
	AnswerTokens int    `json:"answer-tokens,omitempty"`
	Stream       bool   `json:"stream,omitempty"`

	// Items of a batch job and its completion window, such as "2h".
	Items  int    `json:"items,omitempty"`
	Window string `json:"window,omitempty"`

	// Call of a plain service; the path is relative to the service.
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	Body           string `json:"body,omitempty"`
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	NonIdempotent  bool   `json:"non-idempotent,omitempty"`
	// Deadline of the caller, from the planned start; 0 for the default of the
	// service.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`

	// Line number in the trace, from 1.
	number int
}

func (s *traceLine) at() time.Duration { return time.Duration(s.AtMS) * time.Millisecond }

// check validates a line.
func (s *traceLine) check() error {
	switch {
	case s.Caller == "" || s.Service == "":
		return errors.New("caller or service is missing")
	case s.AtMS < 0:
		return errors.New("at-ms is negative")
	case s.Kind == kindService && (s.Method == "" || !strings.HasPrefix(s.Path, "/")):
		return errors.New("a call of a service needs a method and an absolute path")
	case s.Kind == kindBatch && (s.Items < 1 || s.Window == ""):
		return errors.New("a batch job needs items and a window")
	case s.Kind != kindOnline && s.Kind != kindBatch && s.Kind != kindService:
		return errors.Newf("kind %q is unknown", s.Kind)
	}
	return nil
}

// readTrace parses a trace, whose lines must be in order of start time.
func readTrace(reader io.Reader) ([]*traceLine, error) {
	var l []*traceLine
	b := bufio.NewScanner(reader)
	b.Buffer(nil, maxLineBytes)
	for b.Scan() {
		n := len(l) + 1
		if n > maxLines {
			return nil, errors.Newf("trace has more than %d lines", maxLines)
		}
		x := &traceLine{number: n}
		e := json.Unmarshal(b.Bytes(), x)
		if e == nil {
			e = x.check()
		}
		if e == nil && n > 1 && x.AtMS < l[n-2].AtMS {
			e = errors.New("at-ms is less than that of the previous line")
		}
		if e != nil {
			return nil, errors.Wrapf(e, "trace line %d", n)
		}
		l = append(l, x)
	}
	return l, b.Err()
}

// chatForm is the request body of a question or of a batch item.
type chatForm struct {
	Model     string        `json:"model"`
	Messages  []messageForm `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
}

type messageForm struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody returns the request body of a question, or of the item of a job at
// index.
func (s *traceLine) chatBody(index int) ([]byte, error) {
	var m []messageForm
	if s.PrefixTokens > 0 {
		m = append(m, messageForm{"system", fillerText(s.Prefix, 0, s.PrefixTokens)})
	}
	p := s.Prompt
	if p == "" {
		p = fillerText(s.Caller, s.number<<20+index, s.PromptTokens)
	}
	m = append(m, messageForm{"user", p})
	return json.Marshal(chatForm{Model: s.Service, Messages: m, MaxTokens: s.AnswerTokens, Stream: s.Stream})
}

var fillerWords = strings.Fields(`stock reorder code counter crate strainer mesh handle box shape vamp length platform
	shank width drawstring studio class note size order shelf supplier catalogue restock summary delivery shift`)

// fillerText returns deterministic text of about the given number of tokens,
// seeded by name and number.
func fillerText(name string, number, tokens int) string {
	var b strings.Builder
	h := xxhash.Sum64String(name) + uint64(number)
	for b.Len() < tokens*bytesPerToken {
		// Linear congruential generator; only its high bits are random enough.
		h = h*6364136223846793005 + 1442695040888963407
		b.WriteString(fillerWords[(h>>33)%uint64(len(fillerWords))])
		b.WriteByte(' ')
	}
	return b.String()[:tokens*bytesPerToken]
}
