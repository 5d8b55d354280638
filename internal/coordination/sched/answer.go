package sched

import (
	"bytes"
	"encoding/json"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// answer tracks how much of the answer was sent to the requester.
type answer struct {
	send func(*wire.Reply) error
	// Attempt id of the requester, which each of its replies carries.
	attemptID string
	headSent  bool
	// Bytes of the body sent.
	bytesSent int64
	// Tokens sent in whole events; counted only if wholeEvents is set.
	tokensSent int64
	// Whether data is sent in whole events only, so that a later attempt can
	// resume after any of them.
	wholeEvents bool
}

// attemptOutput is the state of the output of one attempt.
type attemptOutput struct {
	head *wire.Head
	// Bytes of the body received from this attempt.
	received int64
	// Whether bytes are missing, so that the answer cannot be completed.
	hasGap bool
	// Whether the task has permitted this attempt to send data.
	permitted bool
	// Whether the attempt continues an answer and has sent no token of its own
	// yet.
	resumed bool
	// Data not sent yet: an incomplete event, or everything after the last
	// token.
	buffered []byte
	// Whether an event after the last token has been received.
	tailReached bool
}

// newAnswer returns an empty answer. Streams of batch calls are sent in whole
// events, because they can be preempted.
func newAnswer(request *wire.Call, send func(*wire.Reply) error) *answer {
	return &answer{
		send:        send,
		attemptID:   request.GetAttemptId(),
		wholeEvents: request.GetClass() == wire.Class_CLASS_BATCH && request.GetStream(),
	}
}

// newOutput returns the output state of a new attempt.
func (a *answer) newOutput() *attemptOutput { return &attemptOutput{resumed: a.bytesSent > 0} }

// writeData sends a chunk of the attempt's body, or buffers it up to the end of
// an event.
func (a *answer) writeData(output *attemptOutput, chunk []byte) error {
	if !a.wholeEvents {
		return a.write(output, chunk)
	}
	output.buffered = append(output.buffered, chunk...)
	for !output.tailReached {
		i := bytes.Index(output.buffered, []byte("\n\n"))
		if i < 0 {
			return nil
		}
		i += 2
		t := parseEvent(output.buffered[:i])
		if t == eventTail {
			// An attempt that resumes after the last token repeats these
			// events, so they are sent only with the end of the answer.
			output.tailReached = true
			return nil
		}
		e := a.writeEvent(output, t, output.buffered[:i])
		if e != nil {
			return e
		}
		output.buffered = output.buffered[i:]
	}
	return nil
}

// writeEvent sends one event. It skips the events before the first token of a
// resumed attempt, which the requester has already received.
func (a *answer) writeEvent(output *attemptOutput, kind eventKind, event []byte) error {
	if output.resumed && kind == eventEmpty {
		return nil
	}
	if kind == eventToken {
		output.resumed = false
		a.tokensSent++
	}
	return a.write(output, event)
}

// flush sends the buffered data, preceded by the head if it was not sent yet.
func (a *answer) flush(output *attemptOutput) error {
	h := output.buffered
	output.buffered = nil
	return a.write(output, h)
}

func (a *answer) write(output *attemptOutput, chunk []byte) error {
	if !a.headSent {
		a.headSent = true
		e := a.send(wire.Reply_builder{AttemptId: &a.attemptID, Head: output.head}.Build())
		if e != nil {
			return e
		}
	}
	if len(chunk) == 0 {
		return nil
	}
	o := a.bytesSent
	a.bytesSent += int64(len(chunk))
	return a.send(wire.Reply_builder{
		AttemptId: &a.attemptID,
		Data:      wire.Data_builder{Offset: &o, Chunk: bytes.Clone(chunk)}.Build(),
	}.Build())
}

// sendEnd sends the last reply. Its error is ignored: it means that the
// requester is gone.
func (a *answer) sendEnd(end *wire.End) {
	_ = a.send(wire.Reply_builder{AttemptId: &a.attemptID, End: end}.Build())
}

// eventKind classifies an event of a chat completion stream.
type eventKind int

const (
	// The end of the answer, usage, or an unknown event.
	eventTail eventKind = iota
	eventToken
	// A chunk without a token, such as the first one, which carries the role.
	eventEmpty
)

// completionChunk contains the fields of a chat completion chunk that are read
// here.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// parseEvent classifies an event in the format of the engines: one data line
// with a chat completion chunk or the text [DONE]. An event without a data
// line, such as a comment, is empty.
func parseEvent(event []byte) eventKind {
	d, f := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	if !f {
		return eventEmpty
	}
	var k completionChunk
	if json.Unmarshal(d, &k) != nil || len(k.Choices) == 0 {
		return eventTail
	}
	for _, c := range k.Choices {
		if c.Delta.Content != "" {
			return eventToken
		}
		if c.FinishReason != "" {
			return eventTail
		}
	}
	return eventEmpty
}
