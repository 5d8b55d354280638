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

// batchItem is one line of a job's input.
type batchItem struct {
	// Number of the line, without blank lines, from 0.
	index    int
	customID string
	method   string
	path     string
	body     []byte
	// Answer tokens that the request allows.
	answerTokens int64
	// Set when the line can't be run.
	err *itemError
	// Attempts that may have run.
	attempts int
	// Refusals since the last attempt that may have run.
	refusals int
	// Start of the last attempt.
	lastStart time.Time
	// Earliest start of the next attempt.
	notBefore time.Time
}

// itemError says why an item failed.
type itemError struct {
	code, message string
}

type inputLineJSON struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

type bodyJSON struct {
	MaxTokens           int64 `json:"max_tokens"`
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// parseItem reads a line in the format of OpenAI's batch API.
func parseItem(index int, line []byte) *batchItem {
	var l inputLineJSON
	e := json.Unmarshal(line, &l)
	if e != nil {
		return &batchItem{index: index, err: &itemError{"invalid-item", "the line is not a JSON object: " + e.Error()}}
	}
	t := &batchItem{index: index, customID: l.CustomID, method: l.Method, path: l.URL, body: bytes.Clone(l.Body)}
	if t.method == "" {
		t.method = defaultMethod
	}
	if t.path == "" {
		t.err = &itemError{"invalid-item", "the line names no url"}
	}
	// A body that is not an object has no maximum.
	var b bodyJSON
	_ = json.Unmarshal(l.Body, &b)
	t.answerTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if t.answerTokens <= 0 {
		t.answerTokens = defaultAnswerTokens
	}
	return t
}

// fingerprint is the xxhash of method, path and body with a zero byte between
// them. Every process must compute it in the same way to recognise a request
// that crashes backend servers.
func (t *batchItem) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(t.method + "\x00" + t.path + "\x00")
	_, _ = h.Write(t.body)
	return h.Sum64()
}

// withStreaming returns the body with the answer asked for as an event stream: a
// preempted stream is resumed, while a whole answer would start anew.
func withStreaming(body []byte) []byte {
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

// newCall returns the request of one attempt.
func (t *batchItem) newCall(job *wire.Job, model, attemptID string, configVersion int64) *wire.Call {
	h := &wire.Header{}
	h.SetName("Content-Type")
	h.SetValues([]string{"application/json"})
	r := &wire.Call{}
	r.SetAttemptId(attemptID)
	r.SetRequestId(requestID(job.GetId(), t.index))
	r.SetCaller(job.GetCaller())
	r.SetService(job.GetService())
	r.SetClass(wire.Class_CLASS_BATCH)
	r.SetMethod(t.method)
	r.SetPath(t.path)
	r.SetHeaders([]*wire.Header{h})
	r.SetBody(withStreaming(t.body))
	r.SetStream(true)
	r.SetDeadlineUnixMs(job.GetDeadlineUnix() * 1000)
	r.SetCostTokens(int64(len(t.body))/bytesPerToken + t.answerTokens)
	r.SetFingerprint(t.fingerprint())
	r.SetModel(model)
	r.SetConfigVersion(configVersion)
	return r
}
