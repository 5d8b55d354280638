package jobs

import (
	"encoding/json"
	"fmt"
	"math/bits"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// itemResult is the result of a finished item.
type itemResult struct {
	index  int
	failed bool
	// Line in the format of OpenAI's batch output, with its line feed.
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

// requestID returns the request id of an item, which is the same for every
// owner of the job.
func requestID(jobID string, index int) string { return fmt.Sprintf("%s-%d", jobID, index) }

// newResult returns the result of an item, with a response unless status is 0
// and with an error unless err is nil.
func newResult(jobID string, item *batchItem, status int32, body []byte, err *itemError) itemResult {
	o := outputJSON{ID: "batch_req_" + requestID(jobID, item.index), CustomID: item.customID}
	if status != 0 {
		o.Response = &responseJSON{StatusCode: status, RequestID: requestID(jobID, item.index), Body: rawBody(body)}
	}
	if err != nil {
		o.Error = &errorJSON{Code: err.code, Message: err.message}
	}
	b, e := json.Marshal(o)
	if e != nil {
		// Can't happen: strings and valid JSON can always be encoded.
		b = []byte("{}")
	}
	return itemResult{index: item.index, failed: err != nil || status < 200 || status > 299, line: append(b, '\n')}
}

// rawBody returns a body as JSON: unchanged if it is valid JSON, otherwise as a
// string.
func rawBody(body []byte) json.RawMessage {
	if json.Valid(body) {
		return body
	}
	b, _ := json.Marshal(string(body))
	return b
}

// In the done bitmap, bit i%8 of byte i/8 stands for item i.

func isDone(done []byte, index int) bool {
	return index/8 < len(done) && done[index/8]&(1<<(index%8)) != 0
}

// setDone returns the bitmap with the bit of an item set. The result may share
// memory with done.
func setDone(done []byte, index int) []byte {
	for len(done) <= index/8 {
		done = append(done, 0)
	}
	done[index/8] |= 1 << (index % 8)
	return done
}

func countDone(done []byte) int {
	n := 0
	for _, b := range done {
		n += bits.OnesCount8(b)
	}
	return n
}

// isFinal reports whether a job in this state has ended.
func isFinal(state wire.JobState) bool {
	switch state {
	case wire.JobState_JOB_STATE_CANCELLED, wire.JobState_JOB_STATE_COMPLETED, wire.JobState_JOB_STATE_FAILED:
		return true
	}
	return false
}
