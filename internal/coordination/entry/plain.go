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

// unpassed are the headers that belong to one connection, and the keys, which
// the backend server must not learn.
var unpassed = map[string]bool{
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
		writePlain(w, o.stored, true)
		return
	}
	if !x.keeps {
		x.relay(w, o)
		return
	}
	a, e := o.whole()
	if e != nil {
		s.refuse(w, e)
		return
	}
	writePlain(w, a, x.finished(o.c, a))
}

func (s *Entry) plainExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	k, e := s.bearer(r.Header)
	if e != nil {
		return nil, e
	}
	n, p := splitPath(r.URL)
	v := s.service(plainKind, n, k)
	if v == nil {
		return nil, trail.NewError("unknown-service", trail.NotRun, "there is no service %q", n)
	}
	d, e := deadlineOf(r.Header)
	if e != nil {
		return nil, e
	}
	for _, h := range []string{requestIDHeader, keyHeader} {
		if len(r.Header.Get(h)) > maxRequestIDLength {
			return nil, trail.NewError("bad-request", trail.NotRun, "header %s has more than %d bytes", h, maxRequestIDLength)
		}
	}
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, s.bodyLimit(v)))
	if e != nil {
		return nil, unreadBody(e)
	}
	q := &wire.Call{}
	q.SetRequestId(r.Header.Get(requestIDHeader))
	q.SetCaller(k)
	q.SetMethod(r.Method)
	q.SetPath(p)
	q.SetHeaders(passed(r.Header))
	q.SetBody(b)
	q.SetNonIdempotent(!repeatable(v, r.Method) || strings.EqualFold(r.Header.Get(nonIdempotentHeader), "true"))
	q.SetCostTokens(1)
	x, e := s.newExchange(v, q, d)
	if e != nil {
		return nil, e
	}
	if q.GetNonIdempotent() {
		x.key = r.Header.Get(keyHeader)
		x.keeps = x.key != ""
	}
	return x, nil
}

func unreadBody(e error) error {
	var m *http.MaxBytesError
	if errors.As(e, &m) {
		return e
	}
	return trail.WrapError(e, "bad-request", trail.NotRun, "the body was not received")
}

// bearer finds the caller of a request outside the generated server.
func (s *Entry) bearer(h http.Header) (string, error) {
	k, t, _ := strings.Cut(h.Get("Authorization"), " ")
	if !strings.EqualFold(k, "Bearer") {
		return "", trail.NewError("unauthorized", trail.NotRun, "the request has no caller key")
	}
	return s.caller(t)
}

// splitPath returns the service, and the path and query for its backend
// servers as the caller wrote them.
func splitPath(u *url.URL) (service, path string) {
	p := strings.TrimPrefix(u.EscapedPath(), servicesPrefix)
	n, p, _ := strings.Cut(p, "/")
	p = "/" + p
	if u.RawQuery != "" || u.ForceQuery {
		p += "?" + u.RawQuery
	}
	v, e := url.PathUnescape(n)
	if e != nil {
		return n, p
	}
	return v, p
}

// deadlineOf returns the caller's deadline, 0 for none.
func deadlineOf(h http.Header) (time.Duration, error) {
	t := h.Get(deadlineHeader)
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

// repeatable says whether a call may run twice.
func repeatable(v *wire.Service, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.Contains(v.GetIdempotentMethods(), method)
}

// passed returns the headers that go to the backend server.
func passed(h http.Header) []*wire.Header {
	l := make([]*wire.Header, 0, len(h))
	for _, n := range sortedKeys(h) {
		if unpassed[n] || named(h, n) {
			continue
		}
		o := &wire.Header{}
		o.SetName(n)
		o.SetValues(h[n])
		l = append(l, o)
	}
	return l
}

// named says whether the Connection header names the header n.
func named(h http.Header, n string) bool {
	for _, v := range h["Connection"] {
		for k := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(k), n) {
				return true
			}
		}
	}
	return false
}

func sortedKeys(h http.Header) []string {
	l := make([]string, 0, len(h))
	for n := range h {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// setHeaders copies the headers of an answer. The request id stays the one
// that the caller knows.
func setHeaders(w http.ResponseWriter, l []*wire.Header) {
	for _, h := range l {
		n := http.CanonicalHeaderKey(h.GetName())
		if unpassed[n] || n == requestIDHeader {
			continue
		}
		w.Header()[n] = slices.Clone(h.GetValues())
	}
}

// relay passes an answer on as it arrives. When it breaks, the connection is
// cut, because the status is already sent.
func (x *exchange) relay(w http.ResponseWriter, o *opened) {
	defer o.Close()
	setHeaders(w, o.head.GetHeaders())
	w.WriteHeader(int(o.head.GetStatus()))
	for {
		b, e := o.next()
		if e == io.EOF {
			x.s.counts.answers.WithLabelValues(x.service.GetName(), yesNo(false)).Inc()
			return
		}
		if e != nil {
			x.warn(e, "entry: answer broke off", "")
			panic(http.ErrAbortHandler)
		}
		_, e = w.Write(b)
		if e != nil {
			return
		}
	}
}

func writePlain(w http.ResponseWriter, a *wire.StoredAnswer, stored bool) {
	setHeaders(w, a.GetHeaders())
	w.Header().Set(verdictHeader, trail.Ran.String())
	w.Header().Set(storedHeader, yesNo(stored))
	w.WriteHeader(int(a.GetStatus()))
	_, _ = w.Write(a.GetBody())
}
