package order

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	callTimeout      = 5 * time.Second
	maxResponseBytes = 1 << 20
)

// call sends one request to an engine and returns the response body. A request
// with a body is an order, which is marked as non-idempotent so that it is sent
// only once.
func (o *Reconciler) call(ctx context.Context, host *wire.Host, method, path string, body []byte, token int64) ([]byte, error) {
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	r := wire.Call_builder{
		AttemptId: proto.String(uuid.NewString()), Service: proto.String(host.GetService()), Method: proto.String(method), Path: proto.String(path),
		Class: wire.Class_CLASS_ONLINE.Enum(), Body: body, NonIdempotent: proto.Bool(body != nil),
	}.Build()
	if token > 0 {
		r.SetHeaders([]*wire.Header{wire.Header_builder{Name: proto.String(tokenHeader), Values: []string{strconv.FormatInt(token, 10)}}.Build()})
	}
	a, e := o.backends.Call(c, host.GetAddress(), r)
	if e != nil {
		return nil, e
	}
	defer a.Close()
	return readResponse(a, host.GetName())
}

// readResponse reads a complete response. A status other than 2xx is an error.
func readResponse(replies trail.Replies, host string) ([]byte, error) {
	var b []byte
	n := 0
	for {
		r, e := replies.Recv()
		if errors.Is(e, io.EOF) {
			return b, nil
		}
		if e != nil {
			return nil, e
		}
		switch r.WhichPart() {
		case wire.Reply_Head_case:
			n = int(r.GetHead().GetStatus())
		case wire.Reply_Data_case:
			b = append(b, r.GetData().GetChunk()...)
			if len(b) > maxResponseBytes {
				return nil, trail.NewError("engine-answer", trail.MayHaveRun, "engine response exceeds %d bytes", maxResponseBytes).WithPlace(host)
			}
		case wire.Reply_End_case:
			if r.GetEnd().GetCode() != "" {
				return nil, trail.NewError(r.GetEnd().GetCode(), trail.MayHaveRun, "%s", r.GetEnd().GetMessage()).WithPlace(host)
			}
			if n < http.StatusOK || n >= http.StatusMultipleChoices {
				return nil, trail.NewError("engine-refused", trail.NotRun, "engine responded with status %d: %s", n, b).WithPlace(host)
			}
		}
	}
}
