package entry

import (
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// unforwardedHeaders are not passed on to backend servers: headers that apply to
// one connection only, and the access keys of callers and operators.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	operatorKeyHeader:     true,
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// servePlain serves /services/{service}/{path...}.
func (s *Entry) servePlain(w http.ResponseWriter, r *http.Request) {
	x, e := s.plainExchange(w, r)
	if e != nil {
		s.refuse(w, e)
		return
	}
	o, e := x.run(r.Context())
	if e != nil {
		s.refuse(w, e)
		return
	}
	if o.stored != nil {
		writeAnswer(w, o.stored, true)
		return
	}
	if !x.storesAnswer {
		x.relay(w, o)
		return
	}
	a, e := o.readAll()
	if e != nil {
		s.refuse(w, e)
		return
	}
	writeAnswer(w, a, x.finish(o.ctx, a))
}

func (s *Entry) plainExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	k, e := s.callerOfBearer(r.Header)
	if e != nil {
		return nil, e
	}
	n, p := splitPath(r.URL)
	v := s.findService(plainKind, n, k)
	if v == nil {
		return nil, trail.NewError("unknown-service", trail.NotRun, "there is no service %q", n)
	}
	d, e := requestTimeout(r.Header)
	if e != nil {
		return nil, e
	}
	for _, h := range []string{requestIDHeader, idempotencyKeyHeader} {
		if len(r.Header.Get(h)) > maxRequestIDLength {
			return nil, trail.NewError("bad-request", trail.NotRun, "header %s has more than %d bytes", h, maxRequestIDLength)
		}
	}
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, s.serviceBodyLimit(v)))
	if e != nil {
		return nil, bodyReadError(e)
	}
	q := &wire.Call{}
	q.SetRequestId(r.Header.Get(requestIDHeader))
	q.SetCaller(k)
	q.SetMethod(r.Method)
	q.SetPath(p)
	q.SetHeaders(forwardedHeaders(r.Header))
	q.SetBody(b)
	q.SetNonIdempotent(!isIdempotent(v, r.Method) || strings.EqualFold(r.Header.Get(nonIdempotentHeader), "true"))
	q.SetCostTokens(1)
	x, e := s.newExchange(v, q, d)
	if e != nil {
		return nil, e
	}
	if q.GetNonIdempotent() {
		x.key = r.Header.Get(idempotencyKeyHeader)
		x.storesAnswer = x.key != ""
	}
	return x, nil
}

func bodyReadError(err error) error {
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return err
	}
	return trail.WrapError(err, "bad-request", trail.NotRun, "the body was not received")
}

// callerOfBearer authenticates the caller of a request that is served outside
// the generated server.
func (s *Entry) callerOfBearer(headers http.Header) (string, error) {
	k, t, _ := strings.Cut(headers.Get("Authorization"), " ")
	if !strings.EqualFold(k, "Bearer") {
		return "", trail.NewError("unauthorized", trail.NotRun, "the request has no caller key")
	}
	return s.callerOfKey(t)
}

// splitPath returns the service name, and the path and query for its backend
// servers in the encoding of the caller.
func splitPath(address *url.URL) (service, path string) {
	p := strings.TrimPrefix(address.EscapedPath(), servicesPrefix)
	n, p, _ := strings.Cut(p, "/")
	p = "/" + p
	if address.RawQuery != "" || address.ForceQuery {
		p += "?" + address.RawQuery
	}
	v, e := url.PathUnescape(n)
	if e != nil {
		return n, p
	}
	return v, p
}

// requestTimeout returns the time limit that the caller sets, or 0.
func requestTimeout(headers http.Header) (time.Duration, error) {
	t := headers.Get(deadlineHeader)
	if t == "" {
		return 0, nil
	}
	n, e := strconv.ParseInt(t, 10, 64)
	if e != nil || n < 1 || n > maxDeadline.Milliseconds() {
		return 0, trail.NewError("bad-request", trail.NotRun,
			"header %s is not a number from 1 to %d", deadlineHeader, maxDeadline.Milliseconds())
	}
	return time.Duration(n) * time.Millisecond, nil
}

// isIdempotent reports whether a call with the method may run twice: by the
// definition of HTTP, or because the service declares the method idempotent.
func isIdempotent(service *wire.Service, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.Contains(service.GetIdempotentMethods(), method)
}

// forwardedHeaders returns the headers that are sent to the backend server.
func forwardedHeaders(headers http.Header) []*wire.Header {
	l := make([]*wire.Header, 0, len(headers))
	for _, n := range sortedNames(headers) {
		if unforwardedHeaders[n] || isConnectionHeader(headers, n) {
			continue
		}
		o := &wire.Header{}
		o.SetName(n)
		o.SetValues(headers[n])
		l = append(l, o)
	}
	return l
}

// isConnectionHeader reports whether the Connection header lists the named
// header, which then applies to this connection only.
func isConnectionHeader(headers http.Header, name string) bool {
	for _, v := range headers["Connection"] {
		for k := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(k), name) {
				return true
			}
		}
	}
	return false
}

func sortedNames(headers http.Header) []string {
	l := make([]string, 0, len(headers))
	for n := range headers {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// copyHeaders copies the headers of an answer to the response. The request id is
// left out, because the response already has the one that the caller knows.
func copyHeaders(w http.ResponseWriter, headers []*wire.Header) {
	for _, h := range headers {
		n := http.CanonicalHeaderKey(h.GetName())
		if unforwardedHeaders[n] || n == requestIDHeader {
			continue
		}
		w.Header()[n] = slices.Clone(h.GetValues())
	}
}

// relay forwards an answer as it is received. When receiving fails, the
// connection is aborted, because the status has already been sent.
func (x *exchange) relay(w http.ResponseWriter, response *response) {
	defer response.Close()
	copyHeaders(w, response.head.GetHeaders())
	w.WriteHeader(int(response.head.GetStatus()))
	for {
		b, e := response.receiveBody()
		if e == io.EOF {
			x.entry.metrics.answerCount.WithLabelValues(x.service.GetName(), boolText(false)).Inc()
			return
		}
		if e != nil {
			x.warn(e, "entry: answer not received completely", "")
			panic(http.ErrAbortHandler)
		}
		_, e = w.Write(b)
		if e != nil {
			return
		}
	}
}

func writeAnswer(w http.ResponseWriter, answer *wire.StoredAnswer, stored bool) {
	copyHeaders(w, answer.GetHeaders())
	w.Header().Set(verdictHeader, trail.Ran.String())
	w.Header().Set(storedHeader, boolText(stored))
	w.WriteHeader(int(answer.GetStatus()))
	_, _ = w.Write(answer.GetBody())
}
