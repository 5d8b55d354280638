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

// Headers that are not forwarded: those that apply to a single connection (RFC
// 9110, section 7.6.1), and those that net/http sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}

// newHTTPRequest returns the HTTP request of a call, with the backend server's
// model in its body and the attempt's id as its request id.
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
		// The caller's body may name the service, which the engine does not
		// know.
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

// endToEndHeaders returns the headers without the hop-by-hop headers.
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

// removeHopByHop removes the hop-by-hop headers, including those that the
// Connection header lists.
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

// newHead returns the status and the end-to-end headers of a response, and the process
// that sent it unless that is nil.
func newHead(response *http.Response, process *process) *wire.Head {
	h := response.Header.Clone()
	removeHopByHop(h)
	o := &wire.Head{}
	o.SetStatus(int32(response.StatusCode))
	if process != nil {
		o.SetProcessStartUnixMs(process.start)
		o.SetProcessUnknown(process.unknown)
	}
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
