package invoke

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/tidwall/sjson"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	requestIDHeader    = "X-Request-Id"
	resumeOffsetHeader = "Resume-Offset"
	drainingHeader     = "Draining"
	chatPath           = "/v1/chat/completions"
	modelField         = "model"
)

// Headers of one connection, which are not passed on (RFC 9110, section
// 7.6.1), with those that net/http sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}

// newHTTPRequest builds the HTTP request of a call.
func newHTTPRequest(ctx context.Context, monitor *callMonitor, target string, call *wire.Call) (*http.Request, *trail.Error) {
	if monitor.ctx.Err() != nil {
		k := classify(monitor, monitor.ctx.Err())
		return nil, trail.WrapError(context.Cause(monitor.ctx), k.code, trail.NotRun, "call was not started").WithPlace(target)
	}
	if !strings.HasPrefix(call.GetPath(), "/") {
		return nil, trail.NewError(codeInvalid, trail.NotRun, "path %q is not absolute", call.GetPath()).WithPlace(target)
	}
	b := call.GetBody()
	if call.GetModel() != "" {
		// Callers may name the service; the engine only knows its model.
		var e error
		b, e = sjson.SetBytes(b, modelField, call.GetModel())
		if e != nil {
			return nil, trail.WrapError(e, codeInvalid, trail.NotRun, "body names no model").WithPlace(target)
		}
	}
	q, e := http.NewRequestWithContext(ctx, call.GetMethod(), "http://"+target+call.GetPath(), bytes.NewReader(b))
	if e != nil {
		return nil, trail.WrapError(e, codeInvalid, trail.NotRun, "call is not a valid HTTP request").WithPlace(target)
	}
	q.Header = endToEndHeaders(call.GetHeaders())
	q.Header.Set(requestIDHeader, call.GetAttemptId())
	if call.GetResumeOffset() > 0 {
		q.Header.Set(resumeOffsetHeader, strconv.FormatInt(call.GetResumeOffset(), 10))
	}
	return q, nil
}

// endToEndHeaders returns the headers without those of one connection.
func endToEndHeaders(headers []*wire.Header) http.Header {
	h := http.Header{}
	for _, x := range headers {
		for _, v := range x.GetValues() {
			h.Add(x.GetName(), v)
		}
	}
	removeHopByHop(h)
	return h
}

// removeHopByHop removes the headers of one connection.
func removeHopByHop(header http.Header) {
	for _, v := range header.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			header.Del(textproto.TrimString(n))
		}
	}
	for n := range hopByHopHeaders {
		header.Del(n)
	}
}

// newHead returns the status and end-to-end headers of an answer.
func newHead(response *http.Response) *wire.Head {
	h := response.Header.Clone()
	removeHopByHop(h)
	o := &wire.Head{}
	o.SetStatus(int32(response.StatusCode))
	l := make([]*wire.Header, 0, len(h))
	for n, v := range h {
		x := &wire.Header{}
		x.SetName(n)
		x.SetValues(v)
		l = append(l, x)
	}
	o.SetHeaders(l)
	return o
}
