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
var hopByHop = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true,
	"Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true,
}

// request builds the HTTP request of a call.
func request(c context.Context, p *progress, target string, r *wire.Call) (*http.Request, *trail.Error) {
	if p.c.Err() != nil {
		k := classify(p, p.c.Err())
		return nil, trail.WrapError(context.Cause(p.c), k.code, trail.NotRun, "call was not started").WithPlace(target)
	}
	if !strings.HasPrefix(r.GetPath(), "/") {
		return nil, trail.NewError(codeInvalid, trail.NotRun, "path %q is not absolute", r.GetPath()).WithPlace(target)
	}
	b := r.GetBody()
	if r.GetModel() != "" {
		// Callers may name the service; the engine only knows its model.
		var e error
		b, e = sjson.SetBytes(b, modelField, r.GetModel())
		if e != nil {
			return nil, trail.WrapError(e, codeInvalid, trail.NotRun, "body names no model").WithPlace(target)
		}
	}
	q, e := http.NewRequestWithContext(c, r.GetMethod(), "http://"+target+r.GetPath(), bytes.NewReader(b))
	if e != nil {
		return nil, trail.WrapError(e, codeInvalid, trail.NotRun, "call is not a valid HTTP request").WithPlace(target)
	}
	q.Header = endToEnd(r.GetHeaders())
	q.Header.Set(requestIDHeader, r.GetAttemptId())
	if r.GetResumeOffset() > 0 {
		q.Header.Set(resumeOffsetHeader, strconv.FormatInt(r.GetResumeOffset(), 10))
	}
	return q, nil
}

// endToEnd returns the headers without those of one connection.
func endToEnd(l []*wire.Header) http.Header {
	h := http.Header{}
	for _, x := range l {
		for _, v := range x.GetValues() {
			h.Add(x.GetName(), v)
		}
	}
	drop(h)
	return h
}

// drop removes the headers of one connection.
func drop(h http.Header) {
	for _, v := range h.Values("Connection") {
		for n := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(n))
		}
	}
	for n := range hopByHop {
		h.Del(n)
	}
}

// head returns the status and end-to-end headers of an answer.
func head(a *http.Response) *wire.Head {
	h := a.Header.Clone()
	drop(h)
	o := &wire.Head{}
	o.SetStatus(int32(a.StatusCode))
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
