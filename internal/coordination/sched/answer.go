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
	// Begin of an event whose end has not arrived.
	held []byte
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
	for {
		i := bytes.Index(w.held, []byte("\n\n"))
		if i < 0 {
			return nil
		}
		e := a.event(w, w.held[:i+2])
		if e != nil {
			return e
		}
		w.held = w.held[i+2:]
	}
}

// event passes on one event. The events before the first token of a resumed
// attempt repeat what the requester has.
func (a *answer) event(w *part, event []byte) error {
	t := token(event)
	if w.resumed && t.empty {
		return nil
	}
	w.resumed = false
	if t.token {
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

// kind says what an event of a chat completion stream carries.
type kind struct {
	token bool
	// Neither a token nor the end of the answer.
	empty bool
}

// completionChunk is the part of a chat completion chunk that is read here.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
}

// token parses an event as the engines write it: one data line with a chat
// completion chunk, or the word [DONE].
func token(event []byte) kind {
	d, f := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	if !f {
		return kind{empty: true}
	}
	var k completionChunk
	if json.Unmarshal(d, &k) != nil {
		return kind{}
	}
	for _, c := range k.Choices {
		if c.Delta.Content != "" {
			return kind{token: true}
		}
		if c.FinishReason != "" {
			return kind{}
		}
	}
	return kind{empty: len(k.Usage) == 0}
}
