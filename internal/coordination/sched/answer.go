package sched

import (
	"bytes"
	"encoding/json"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// answer is what the requester has of the answer to its call.
type answer struct {
	emit func(*wire.Reply) error
	// The requester's attempt id, which each reply to it names.
	attempt string
	headed  bool
	// Bytes of the body passed on.
	passed int64
	// Tokens passed on in whole events; only counted when whole is set.
	tokens int64
	// Whether only whole events are passed on, so that a later attempt can go
	// on after any of them.
	whole bool
}

// part is what one attempt adds to the answer.
type part struct {
	head *wire.Head
	// Bytes of this attempt's body.
	received int64
	// Whether bytes are missing, so that the answer can't become complete.
	gap bool
	// Whether the task has allowed to pass on data.
	permitted bool
	// Whether the requester has tokens of an earlier attempt.
	resumed bool
	// Begin of an event whose end has not arrived, or all events since the
	// last token.
	held []byte
	// Whether the events after the last token have begun.
	tail bool
}

// newAnswer returns an empty answer. Streams of batch calls can be preempted,
// and so are passed on in whole events.
func newAnswer(r *wire.Call, emit func(*wire.Reply) error) *answer {
	return &answer{
		emit:    emit,
		attempt: r.GetAttemptId(),
		whole:   r.GetClass() == wire.Class_CLASS_BATCH && r.GetStream(),
	}
}

// resume begins the part of a new attempt.
func (a *answer) resume() *part { return &part{resumed: a.passed > 0} }

// data passes on a chunk of the attempt's body.
func (a *answer) data(w *part, chunk []byte) error {
	if !a.whole {
		return a.pass(w, chunk)
	}
	w.held = append(w.held, chunk...)
	for !w.tail {
		i := bytes.Index(w.held, []byte("\n\n"))
		if i < 0 {
			return nil
		}
		i += 2
		t := parseEvent(w.held[:i])
		if t == eventTail {
			// An attempt that is resumed after the last token repeats these
			// events, so they are passed on only with the end of the answer.
			w.tail = true
			return nil
		}
		e := a.event(w, t, w.held[:i])
		if e != nil {
			return e
		}
		w.held = w.held[i:]
	}
	return nil
}

// event passes on one event. The events before the first token of a resumed
// attempt repeat what the requester has.
func (a *answer) event(w *part, t eventKind, event []byte) error {
	if w.resumed && t == eventEmpty {
		return nil
	}
	if t == eventToken {
		w.resumed = false
		a.tokens++
	}
	return a.pass(w, event)
}

// flush passes on the head and what is held.
func (a *answer) flush(w *part) error {
	h := w.held
	w.held = nil
	return a.pass(w, h)
}

func (a *answer) pass(w *part, chunk []byte) error {
	if !a.headed {
		a.headed = true
		e := a.emit(wire.Reply_builder{AttemptId: &a.attempt, Head: w.head}.Build())
		if e != nil {
			return e
		}
	}
	if len(chunk) == 0 {
		return nil
	}
	o := a.passed
	a.passed += int64(len(chunk))
	return a.emit(wire.Reply_builder{
		AttemptId: &a.attempt,
		Data:      wire.Data_builder{Offset: &o, Chunk: bytes.Clone(chunk)}.Build(),
	}.Build())
}

// end passes on the last reply. An error means that the requester is gone.
func (a *answer) end(d *wire.End) {
	_ = a.emit(wire.Reply_builder{AttemptId: &a.attempt, End: d}.Build())
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
