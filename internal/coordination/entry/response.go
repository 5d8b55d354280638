package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxAnswerBytes bounds an answer that is held in memory to be stored. One
// message between processes carries it.
const maxAnswerBytes = 12 << 20

const maxStatus = 999

// opened is an answer that has begun, or one that was stored before.
type opened struct {
	// Not nil for a stored answer; the other fields are empty then.
	stored *wire.StoredAnswer

	x       *exchange
	c       context.Context
	cancel  context.CancelFunc
	replies trail.Replies
	head    *wire.Head
}

func (o *opened) receiveHead() error {
	r, e := o.replies.Recv()
	if e != nil {
		return unended(e)
	}
	if !r.HasHead() {
		return endError(r.GetEnd())
	}
	o.head = r.GetHead()
	// net/http panics for a status that is none, and takes others as the
	// announcement of a further head.
	if o.head.GetStatus() < http.StatusOK || o.head.GetStatus() > maxStatus {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has status %d", o.head.GetStatus())
	}
	return nil
}

// next returns the next bytes of the body, and io.EOF when it is complete.
func (o *opened) next() ([]byte, error) {
	for {
		r, e := o.replies.Recv()
		if e != nil {
			return nil, unended(e)
		}
		switch {
		case r.HasEnd() && r.GetEnd().GetCode() == "":
			return nil, io.EOF
		case r.HasEnd():
			return nil, endError(r.GetEnd())
		case len(r.GetData().GetChunk()) > 0:
			return r.GetData().GetChunk(), nil
		}
	}
}

// unended turns the end of replies without an End into a failure, so that
// nobody takes it for the end of a body. The comparison is exact here and
// where a body is read: a lost connection may have io.EOF as its cause.
func unended(e error) error {
	if e == io.EOF {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer ended early")
	}
	return e
}

func endError(n *wire.End) error {
	if n.GetCode() == "" {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has no head")
	}
	v := trail.VerdictFromProto(n.GetVerdict())
	return trail.NewError(n.GetCode(), v, "%s", n.GetMessage()).WithRetryAfter(time.Duration(n.GetRetryAfterMs()) * time.Millisecond)
}

// whole receives the rest of the answer and ends the call.
func (o *opened) whole() (*wire.StoredAnswer, error) {
	defer o.Close()
	var b []byte
	for {
		k, e := o.next()
		if e == io.EOF {
			return o.answer(b), nil
		}
		if e == nil && len(b)+len(k) > maxAnswerBytes {
			e = trail.NewError("answer-too-large", trail.Ran, "the answer has more than %d bytes", maxAnswerBytes)
		}
		if e != nil {
			return nil, o.x.failed(o.c, e)
		}
		b = append(b, k...)
	}
}

func (o *opened) answer(body []byte) *wire.StoredAnswer {
	a := &wire.StoredAnswer{}
	a.SetStatus(o.head.GetStatus())
	a.SetHeaders(o.head.GetHeaders())
	a.SetBody(body)
	return a
}

// Close gives up the rest of the answer.
func (o *opened) Close() {
	_ = o.replies.Close()
	o.cancel()
}

// headerOf returns the first value of a header, the empty string when there is
// none.
func headerOf(l []*wire.Header, name string) string {
	for _, h := range l {
		if strings.EqualFold(h.GetName(), name) && len(h.GetValues()) > 0 {
			return h.GetValues()[0]
		}
	}
	return ""
}

func isStream(l []*wire.Header) bool {
	return strings.HasPrefix(headerOf(l, "Content-Type"), "text/event-stream")
}
