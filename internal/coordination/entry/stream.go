package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
)

// doneEvent is the last event of a stream.
const doneEvent = "data: [DONE]"

// maxEventBytes bounds one event, which is held until it is whole.
const maxEventBytes = 1 << 20

// eventStream returns a stream in the form of the generated server, which
// closes data if it is an io.Closer.
func eventStream(data io.Reader) *oapi.CreateChatCompletionOKTextEventStreamHeaders {
	return &oapi.CreateChatCompletionOKTextEventStreamHeaders{
		Response: oapi.CreateChatCompletionOKTextEventStream{Data: data},
	}
}

// events relays a stream of events as it arrives. The last event waits until
// the answer is stored. A stream that breaks ends with an event that holds the
// error. Only whole events are passed on, so that this event can follow.
type events struct {
	o *opened
	// Whole events for the caller.
	out []byte
	// Beginning of an event.
	rest []byte
	// The last event while it waits.
	last []byte
	// All of the body, for the store; nil when it is too large.
	body []byte
	// Whether the body became too large to be stored.
	large bool
	ended bool
}

// Read returns whole events. It returns no error but io.EOF.
func (s *events) Read(p []byte) (int, error) {
	for len(s.out) == 0 && !s.ended {
		s.advance()
	}
	if len(s.out) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.out)
	s.out = s.out[n:]
	return n, nil
}

// advance takes the next bytes, or the end of the answer.
func (s *events) advance() {
	b, e := s.o.next()
	switch {
	case e == nil && len(s.rest)+len(b) > maxEventBytes:
		s.breakOff(trail.NewError("event-too-large", trail.MayHaveRun, "an event of the answer has more than %d bytes", maxEventBytes))
	case e == nil:
		s.take(b)
	case e == io.EOF:
		s.complete()
	default:
		s.breakOff(e)
	}
}

func (s *events) take(b []byte) {
	if len(s.body)+len(b) > maxAnswerBytes {
		s.body = nil
		s.large = true
	}
	if !s.large {
		s.body = append(s.body, b...)
	}
	s.rest = append(s.rest, b...)
	for {
		n := eventEnd(s.rest)
		if n == 0 {
			return
		}
		k := s.rest[:n]
		s.rest = s.rest[n:]
		if bytes.HasPrefix(k, []byte(doneEvent)) {
			s.last = append(s.last, k...)
			continue
		}
		s.out = append(s.out, k...)
	}
}

// eventEnd returns the number of bytes up to the end of the first event, 0
// when it is not complete.
func eventEnd(b []byte) int {
	n := bytes.Index(b, []byte("\n\n"))
	m := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case n < 0 && m < 0:
		return 0
	case n < 0 || m >= 0 && m < n:
		return m + len("\r\n\r\n")
	}
	return n + len("\n\n")
}

// complete stores the answer, marks the stream and lets the last event go.
func (s *events) complete() {
	s.ended = true
	x := s.o.x
	x.keeps = !s.large
	m := mark(x.finished(s.o.c, s.o.answer(s.body)))
	s.out = append(s.out, s.rest...)
	if len(s.rest) > 0 {
		s.out = append(s.out, "\n\n"...)
	}
	s.out = append(s.out, m...)
	s.out = append(s.out, s.last...)
	if len(s.last) == 0 {
		s.out = append(s.out, '\n')
	}
}

// breakOff ends the stream with the error. An event that was not complete is
// left out.
func (s *events) breakOff(e error) {
	s.ended = true
	x := s.o.x
	x.warn(e, "entry: answer broke off", "")
	f := errorBody(x.s.known(x.failed(s.o.c, e)))
	x.s.counts.refusals.WithLabelValues(f.Error.Code, string(f.Error.Verdict)).Inc()
	b, e := json.Marshal(&f)
	if e != nil {
		x.s.l.WithError(e).Error("entry: error not encoded")
		return
	}
	s.out = append(s.out, "data: "...)
	s.out = append(s.out, b...)
	s.out = append(s.out, "\n\n"...)
}

// Close ends the call. One with a claim is received to its end first, so that
// a resend gets the answer.
func (s *events) Close() error {
	for !s.ended && s.o.x.claimed {
		s.out = nil
		s.advance()
	}
	s.o.Close()
	if !s.ended {
		s.ended = true
		_ = s.o.x.failed(s.o.c, context.Canceled)
	}
	return nil
}

// mark is the comment that says whether two copies of the answer exist.
func mark(stored bool) string { return ": stored=" + yesNo(stored) + "\n" }

// withMark puts the mark before the last event of a stored stream.
func withMark(body []byte, stored bool) []byte {
	n := bytes.LastIndex(body, []byte(doneEvent))
	if n < 0 {
		n = len(body)
	}
	b := make([]byte, 0, len(body)+len(mark(stored)))
	b = append(b, body[:n]...)
	b = append(b, mark(stored)...)
	return append(b, body[n:]...)
}
