package chunks

import (
	"bytes"
	"encoding/json"

	"github.com/openai/openai-go/v3"
	sse "github.com/tmaxmax/go-sse"

	trail "bulrushtrail.example/trail"
)

const (
	codeStream = "answer-stream"
	// Data of the last event of a stream.
	doneEvent = "[DONE]"
	// Maximum size of one event. The event of a token has a few hundred bytes.
	maxEventBytes = 1 << 20
)

// Join returns the chat completion of a complete event stream as JSON. If later
// events come from another attempt, after a resume, the result has the id of the
// first attempt. The verdict of errors is Ran: the response was generated, but
// could not be decoded.
func Join(stream []byte) ([]byte, error) {
	var a openai.ChatCompletionAccumulator
	for v, e := range sse.Read(bytes.NewReader(stream), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if e != nil {
			return nil, trail.WrapError(e, codeStream, trail.Ran, "event stream can't be read")
		}
		if v.Data == doneEvent || v.Data == "" {
			continue
		}
		var k openai.ChatCompletionChunk
		e = json.Unmarshal([]byte(v.Data), &k)
		if e != nil {
			return nil, trail.WrapError(e, codeStream, trail.Ran, "event is not a chunk of a chat completion")
		}
		if a.ID != "" {
			k.ID = a.ID
		}
		if !a.AddChunk(k) {
			return nil, trail.NewError(codeStream, trail.Ran, "chunk does not fit the ones before")
		}
	}
	if len(a.Choices) == 0 {
		return nil, trail.NewError(codeStream, trail.Ran, "event stream has no answer")
	}
	a.Object = "chat.completion"
	return json.Marshal(a.ChatCompletion)
}
