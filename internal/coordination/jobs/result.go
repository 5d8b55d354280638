package jobs

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// result is one finished item.
type result struct {
	index  int
	failed bool
	// A line in the format of OpenAI's batch output, with its line feed.
	line []byte
}

type outputJSON struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id"`
	Response *responseJSON `json:"response"`
	Error    *errorJSON    `json:"error"`
}

type responseJSON struct {
	StatusCode int32           `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type errorJSON struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// requestID names an item of a job, also when its job is run by another owner.
func requestID(job string, index int) string { return fmt.Sprintf("%s-%d", job, index) }

// newResult returns the result of an item, with a response unless status is 0
// and with an error unless f is nil.
func newResult(job string, t *item, status int32, body []byte, f *fault) result {
	o := outputJSON{ID: "batch_req_" + requestID(job, t.index), CustomID: t.custom}
	if status != 0 {
		o.Response = &responseJSON{StatusCode: status, RequestID: requestID(job, t.index), Body: rawBody(body)}
	}
	if f != nil {
		o.Error = &errorJSON{Code: f.code, Message: f.message}
	}
	b, e := json.Marshal(o)
	if e != nil {
		// Strings and checked JSON always encode.
		b = []byte("{}")
	}
	return result{index: t.index, failed: f != nil || status < 200 || status > 299, line: append(b, '\n')}
}

// rawBody returns a body as JSON: as it is, or as a string.
func rawBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	b, _ := json.Marshal(string(body))
	return b
}

// The done bitmap: bit i%8 of byte i/8 stands for item i.

func isDone(done []byte, i int) bool {
	return i/8 < len(done) && done[i/8]&(1<<(i%8)) != 0
}

// setDone returns a bitmap with bit i set, which may share memory with done.
func setDone(done []byte, i int) []byte {
	for len(done) <= i/8 {
		done = append(done, 0)
	}
	done[i/8] |= 1 << (i % 8)
	return done
}

// countDone returns the number of bits that are set.
func countDone(done []byte) int {
	n := 0
	for _, b := range done {
		n += bits.OnesCount8(b)
	}
	return n
}

// final says whether a job's state can't change any more.
func final(s wire.JobState) bool {
	switch s {
	case wire.JobState_JOB_STATE_CANCELLED, wire.JobState_JOB_STATE_COMPLETED, wire.JobState_JOB_STATE_FAILED:
		return true
	}
	return false
}
