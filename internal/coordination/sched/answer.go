package sched

import (
	"bytes"
	"encoding/json"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// answer is what the requester has of the answer to its call.
type answer struct {
	send func(*wire.Reply) error
	// The requester's attempt id, which each reply to it names.
	attemptID string
	headSent  bool
	// Bytes of the body passed on.
	bytesSent int64
	// Tokens passed on in whole events; only counted when whole is set.
	tokensSent int64
	// Whether only whole events are passed on, so that a later attempt can go
	// on after any of them.
	wholeEvents bool
}

// attemptOutput is what one attempt adds to the answer.
type attemptOutput struct {
	head *wire.Head
	// Bytes of this attempt's body.
	received int64
	// Whether bytes are missing, so that the answer can't become complete.
	hasGap bool
	// Whether the task has allowed to pass on data.
	permitted bool
	// Whether the requester has tokens of an earlier attempt.
	resumed bool
	// Begin of an event whose end has not arrived, or all events since the
	// last token.
	buffered []byte
	// Whether the events after the last token have begun.
	tailReached bool
}

// newAnswer returns an empty answer. Streams of batch calls can be preempted,
// and so are passed on in whole events.
func newAnswer(request *wire.Call, send func(*wire.Reply) error) *answer {
	return &answer{
		send:        send,
		attemptID:   request.GetAttemptId(),
		wholeEvents: request.GetClass() == wire.Class_CLASS_BATCH && request.GetStream(),
	}
}

// newOutput begins the part of a new attempt.
func (a *answer) newOutput() *attemptOutput { return &attemptOutput{resumed: a.bytesSent > 0} }

// writeData passes on a chunk of the attempt's body.
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
			// An attempt that is resumed after the last token repeats these
			// events, so they are passed on only with the end of the answer.
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

// writeEvent passes on one event. The events before the first token of a resumed
// attempt repeat what the requester has.
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

// flush passes on the head and what is held.
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

// sendEnd passes on the last reply. An error means that the requester is gone.
func (a *answer) sendEnd(end *wire.End) {
	_ = a.send(wire.Reply_builder{AttemptId: &a.attemptID, End: end}.Build())
}

// eventKind says what an event of a chat completion stream carries.
type eventKind int

const (
	// The end of the answer, usage, or anything that is not known.
	eventTail eventKind = iota
	eventToken
	// A chunk without a token, as the first one with the role.
	eventEmpty
)

// completionChunk is the part of a chat completion chunk that is read here.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// parseEvent reads an event as the engines write it: one data line with a chat
// completion chunk, or the word [DONE]. Comments are empty events.
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
