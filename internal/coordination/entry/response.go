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

// maxAnswerBytes limits an answer that is held in memory to be stored. It must
// fit into one message between processes.
const maxAnswerBytes = 12 << 20

const maxStatus = 999

// response is an answer whose head has been received, or a stored answer.
type response struct {
	// Set for a stored answer, in which case all other fields are empty.
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
	// net/http panics on a status outside 100 to 999, and treats one below 200
	// as informational, to be followed by another head.
	if o.head.GetStatus() < http.StatusOK || o.head.GetStatus() > maxStatus {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has status %d", o.head.GetStatus())
	}
	return nil
}

// receiveBody returns the next bytes of the body, or io.EOF when the body is
// complete.
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

// truncationError turns an io.EOF that was not preceded by an End reply into a
// failure, so that it isn't mistaken for the end of the body. Here and where a
// body is read, errors are compared by == and not by errors.Is, because a lost
// connection may have io.EOF as its cause.
func truncationError(err error) error {
	if err == io.EOF {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer ended early")
	}
	return err
}

// endError returns the failure that an End reply reports.
func endError(end *wire.End) error {
	if end.GetCode() == "" {
		return trail.NewError("answer-incomplete", trail.MayHaveRun, "the answer has no head")
	}
	v := trail.VerdictFromProto(end.GetVerdict())
	return trail.NewError(end.GetCode(), v, "%s", end.GetMessage()).WithRetryAfter(time.Duration(end.GetRetryAfterMs()) * time.Millisecond)
}

// readAll receives the rest of the body and closes the response.
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

// Close discards the rest of the answer and cancels the call if it is running.
func (o *response) Close() {
	_ = o.replies.Close()
	o.cancel()
}

// headerValue returns the first value of a header, or the empty string.
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
