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
	// English text has about four bytes per token.
	bytesPerToken = 4
	// Answer tokens assumed for an item that sets no maximum.
	defaultAnswerTokens = 256
	defaultMethod       = "POST"
)

// batchItem is one item of a job's input.
type batchItem struct {
	// Position in the input from 0, not counting blank lines.
	index    int
	customID string
	method   string
	path     string
	body     []byte
	// Answer tokens that the request allows.
	answerTokens int64
	// Set when the line is invalid.
	err *itemError
	// Failed attempts that may have run. Preempted ones do not count.
	attempts int
	// Times that the item lost its backend server or was stopped because of it.
	losses int
	// Refusals since the last attempt that may have run but gave no answer.
	refusals int
	// The last attempt was rejected, maybe for the item's size.
	tooLarge bool
	// Start of the last attempt.
	lastStart time.Time
	// Earliest start of the next attempt.
	notBefore time.Time
}

// itemError is the error in the result of a failed item.
type itemError struct {
	code, message string
}

// The results of invalid lines quote the name of this type, so it is fixed.
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

// parseItem parses a line in the format of OpenAI's batch API.
func parseItem(index int, line []byte) *batchItem {
	var l lineJSON
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
	// A body that is not an object sets no maximum.
	var b bodyJSON
	_ = json.Unmarshal(l.Body, &b)
	t.answerTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if t.answerTokens <= 0 {
		t.answerTokens = defaultAnswerTokens
	}
	return t
}

// fingerprint returns the xxhash of method, path and body, separated by zero
// bytes. All processes must compute it in the same way, because it identifies
// requests that crash backend servers.
func (t *batchItem) fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(t.method + "\x00" + t.path + "\x00")
	_, _ = h.Write(t.body)
	return h.Sum64()
}

// withStreaming changes the body to request the answer as an event stream, which
// can be resumed after a preemption, while a non-streaming answer would start
// over. A body that is not an object stays as it is.
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

// newCall returns the call for one attempt.
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
