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

// response is an answer that has begun, or one that was stored before.
type response struct {
	// Not nil for a stored answer; the other fields are empty then.
	stored *wire.StoredAnswer

	exchange *exchange
	ctx      context.Context
	cancel   context.CancelFunc
	replies  trail.Replies
	head     *wire.Head
}

func (o *response) receiveHead() error {
	r, e := o.replies.Recv()
	if e != nil {
		return truncationError(e)
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

// receiveBody returns the next bytes of the body, and io.EOF when it is complete.
func (o *response) receiveBody() ([]byte, error) {
	for {
		r, e := o.replies.Recv()
		if e != nil {
			return nil, truncationError(e)
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

// truncationError turns the end of replies without an End into a failure, so that
// nobody takes it for the end of a body. The comparison is exact here and
// where a body is read: a lost connection may have io.EOF as its cause.
func truncationError(err error) error {
	if err == io.EOF {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer ended early")
	}
	return err
}

func endError(end *wire.End) error {
	if end.GetCode() == "" {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has no head")
	}
	v := trail.VerdictFromProto(end.GetVerdict())
	return trail.NewError(end.GetCode(), v, "%s", end.GetMessage()).WithRetryAfter(time.Duration(end.GetRetryAfterMs()) * time.Millisecond)
}

// readAll receives the rest of the answer and ends the call.
func (o *response) readAll() (*wire.StoredAnswer, error) {
	defer o.Close()
	var b []byte
	for {
		k, e := o.receiveBody()
		if e == io.EOF {
			return o.storedAnswer(b), nil
		}
		if e == nil && len(b)+len(k) > maxAnswerBytes {
			e = trail.NewError("answer-too-large", trail.Ran, "the answer has more than %d bytes", maxAnswerBytes)
		}
		if e != nil {
			return nil, o.exchange.fail(o.ctx, e)
		}
		b = append(b, k...)
	}
}

func (o *response) storedAnswer(body []byte) *wire.StoredAnswer {
	a := &wire.StoredAnswer{}
	a.SetStatus(o.head.GetStatus())
	a.SetHeaders(o.head.GetHeaders())
	a.SetBody(body)
	return a
}

// Close gives up the rest of the answer.
func (o *response) Close() {
	_ = o.replies.Close()
	o.cancel()
}

// headerValue returns the first value of a header, the empty string when there is
// none.
func headerValue(headers []*wire.Header, name string) string {
	for _, h := range headers {
		if strings.EqualFold(h.GetName(), name) && len(h.GetValues()) > 0 {
			return h.GetValues()[0]
		}
	}
	return ""
}

func isEventStream(headers []*wire.Header) bool {
	return strings.HasPrefix(headerValue(headers, "Content-Type"), "text/event-stream")
}
