package jobs

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// English text has about four bytes to a token.
	bytesPerToken = 4
	// Answer tokens of an item that names no maximum.
	defaultAnswerTokens = 256
	defaultMethod       = "POST"
)

// item is one line of a job's input.
type item struct {
	// Number of the line, without blank lines, from 0.
	index  int
	custom string
	method string
	path   string
	body   []byte
	// Answer tokens that the request allows.
	tokens int64
	// Set when the line can't be run.
	fault *fault
	// Attempts that may have run.
	attempts int
	// Refusals since the last attempt that may have run.
	refusals int
	// Start of the last attempt.
	sent time.Time
	// Earliest start of the next attempt.
	notBefore time.Time
}

// fault says why an item failed.
type fault struct {
	code, message string
}

type lineJSON struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

type bodyJSON struct {
	MaxTokens           int64 `json:"max_tokens"`
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// parse reads a line in the format of OpenAI's batch API.
func parse(index int, line []byte) *item {
	var l lineJSON
	e := json.Unmarshal(line, &l)
	if e != nil {
		return &item{index: index, fault: &fault{"invalid-item", "the line is not a JSON object: " + e.Error()}}
	}
	t := &item{index: index, custom: l.CustomID, method: l.Method, path: l.URL, body: bytes.Clone(l.Body)}
	if t.method == "" {
		t.method = defaultMethod
	}
	if t.path == "" {
		t.fault = &fault{"invalid-item", "the line names no url"}
	}
	// A body that is not an object has no maximum.
	var b bodyJSON
	_ = json.Unmarshal(l.Body, &b)
	t.tokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if t.tokens <= 0 {
		t.tokens = defaultAnswerTokens
	}
	return t
}

// fingerprint is the xxhash of method, path and body with a zero byte between
// them. Every process must compute it in the same way to recognise a request
// that crashes backend servers.
func (t *item) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(t.method + "\x00" + t.path + "\x00")
	_, _ = h.Write(t.body)
	return h.Sum64()
}

// streamed returns the body with the answer asked for as an event stream: a
// preempted stream is resumed, while a whole answer would start anew.
func streamed(body []byte) []byte {
	if !gjson.ParseBytes(body).IsObject() {
		return body
	}
	b, e := sjson.SetBytes(body, "stream", true)
	if e != nil {
		return body
	}
	n, e := sjson.SetBytes(b, "stream_options.include_usage", true)
	if e != nil {
		return b
	}
	return n
}

// call returns the request of one attempt.
func (t *item) call(j *wire.Job, model, attempt string, configVersion int64) *wire.Call {
	h := &wire.Header{}
	h.SetName("Content-Type")
	h.SetValues([]string{"application/json"})
	r := &wire.Call{}
	r.SetAttemptId(attempt)
	r.SetRequestId(requestID(j.GetId(), t.index))
	r.SetCaller(j.GetCaller())
	r.SetService(j.GetService())
	r.SetClass(wire.Class_CLASS_BATCH)
	r.SetMethod(t.method)
	r.SetPath(t.path)
	r.SetHeaders([]*wire.Header{h})
	r.SetBody(streamed(t.body))
	r.SetStream(true)
	r.SetDeadlineUnixMs(j.GetDeadlineUnix() * 1000)
	r.SetCostTokens(int64(len(t.body))/bytesPerToken + t.tokens)
	r.SetFingerprint(t.fingerprint())
	r.SetModel(model)
	r.SetConfigVersion(configVersion)
	return r
}
