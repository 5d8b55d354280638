package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
)

// doneMarker is the beginning of the last event of a stream.
const doneMarker = "data: [DONE]"

// maxEventBytes limits one event, which is buffered until it is complete.
const maxEventBytes = 1 << 20

// eventStream returns the response of the generated server for a stream. The
// server closes data if it is an io.Closer.
func eventStream(data io.Reader) *oapi.CreateChatCompletionOKTextEventStreamHeaders {
	return &oapi.CreateChatCompletionOKTextEventStreamHeaders{
		Response: oapi.CreateChatCompletionOKTextEventStream{Data: data},
	}
}

// eventRelay forwards a stream of events as it is received. The last event is
// held back until the answer is stored. A stream that fails ends with an event
// that holds the error; only complete events are forwarded, so that this event
// can follow them.
type eventRelay struct {
	response *response
	// Complete events that the caller has not read yet.
	ready []byte
	// The received part of an event that is not complete.
	partial []byte
	// The last event, held back until the answer is stored.
	lastEvent []byte
	// The whole body, to be stored; nil when it is too large.
	body []byte
	// Whether the body exceeds maxAnswerBytes and is not stored.
	tooLarge bool
	ended    bool
}

// Read returns complete events. It returns no error but io.EOF.
func (s *eventRelay) Read(p []byte) (int, error) {
	for len(s.ready) == 0 && !s.ended {
		s.receiveNext()
	}
	if len(s.ready) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.ready)
	s.ready = s.ready[n:]
	return n, nil
}

// receiveNext receives the next bytes or the end of the answer.
func (s *eventRelay) receiveNext() {
	b, e := s.response.receiveBody()
	switch {
	case e == nil && len(s.partial)+len(b) > maxEventBytes:
		s.fail(trail.NewError("event-too-large", trail.MayHaveRun, "an event of the answer has more than %d bytes", maxEventBytes))
	case e == nil:
		s.splitEvents(b)
	case e == io.EOF:
		s.finish()
	default:
		s.fail(e)
	}
}

// splitEvents appends the received bytes to the body, and moves complete events
// to ready or, for the last event, to lastEvent.
func (s *eventRelay) splitEvents(received []byte) {
	if len(s.body)+len(received) > maxAnswerBytes {
		s.body = nil
		s.tooLarge = true
	}
	if !s.tooLarge {
		s.body = append(s.body, received...)
	}
	s.partial = append(s.partial, received...)
	for {
		n := firstEventLength(s.partial)
		if n == 0 {
			return
		}
		k := s.partial[:n]
		s.partial = s.partial[n:]
		if bytes.HasPrefix(k, []byte(doneMarker)) {
			s.lastEvent = append(s.lastEvent, k...)
			continue
		}
		s.ready = append(s.ready, k...)
	}
}

// firstEventLength returns the number of bytes of the first event with its blank
// line, or 0 when the event is not complete.
func firstEventLength(buffer []byte) int {
	n := bytes.Index(buffer, []byte("\n\n"))
	m := bytes.Index(buffer, []byte("\r\n\r\n"))
	switch {
	case n < 0 && m < 0:
		return 0
	case n < 0 || m >= 0 && m < n:
		return m + len("\r\n\r\n")
	}
	return n + len("\n\n")
}

// finish stores the answer and releases the last event, preceded by a comment
// that says whether the answer is stored.
func (s *eventRelay) finish() {
	s.ended = true
	x := s.response.exchange
	x.storesAnswer = !s.tooLarge
	m := storedComment(x.finish(s.response.ctx, s.response.storedAnswer(s.body)))
	s.ready = append(s.ready, s.partial...)
	if len(s.partial) > 0 {
		s.ready = append(s.ready, "\n\n"...)
	}
	s.ready = append(s.ready, m...)
	s.ready = append(s.ready, s.lastEvent...)
	if len(s.lastEvent) == 0 {
		s.ready = append(s.ready, '\n')
	}
}

// fail ends the stream with an event that holds the error. An incomplete event
// is discarded.
func (s *eventRelay) fail(err error) {
	s.ended = true
	x := s.response.exchange
	x.warn(err, "entry: answer not received completely", "")
	f := errorBody(x.entry.codedError(x.fail(s.response.ctx, err)))
	x.entry.metrics.refusalCount.WithLabelValues(f.Error.Code, string(f.Error.Verdict)).Inc()
	b, e := json.Marshal(&f)
	if e != nil {
		x.entry.logger.WithError(e).Error("entry: error event not encoded")
		return
	}
	s.ready = append(s.ready, "data: "...)
	s.ready = append(s.ready, b...)
	s.ready = append(s.ready, "\n\n"...)
}

// Close cancels the call. An answer to a request with a claim is received to its
// end first, so that a resend gets it.
func (s *eventRelay) Close() error {
	for !s.ended && s.response.exchange.claimed {
		s.ready = nil
		s.receiveNext()
	}
	s.response.Close()
	if !s.ended {
		s.ended = true
		_ = s.response.exchange.fail(s.response.ctx, context.Canceled)
	}
	return nil
}

// storedComment returns the comment of the event stream that says whether two
// copies of the answer exist.
func storedComment(stored bool) string { return ": stored=" + boolText(stored) + "\n" }

// withStoredComment inserts the stored comment before the last event of a
// stream.
func withStoredComment(body []byte, stored bool) []byte {
	n := bytes.LastIndex(body, []byte(doneMarker))
	if n < 0 {
		n = len(body)
	}
	b := make([]byte, 0, len(body)+len(storedComment(stored)))
	b = append(b, body[:n]...)
	b = append(b, storedComment(stored)...)
	return append(b, body[n:]...)
}
