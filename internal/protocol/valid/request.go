package valid

import (
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/net/http/httpguts"

	trail "bulrushtrail.example/trail"
)

// CodeInvalid is the code of all errors of this package. Their verdict is NotRun, and
// their place is the part of the request.
const CodeInvalid = "request-invalid"

// framing holds the headers that say where a message ends or concern one connection.
// Who writes a request sets them.
var framing = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func invalid(place, text string, arguments ...any) error {
	return trail.NewError(CodeInvalid, trail.NotRun, text, arguments...).WithPlace(place)
}

// Request returns an error if a part of a request can't be written as it is.
func Request(method, target, host string, header http.Header) error {
	// A method is a token, as the name of a header is.
	if !httpguts.ValidHeaderFieldName(method) {
		return invalid("method", "method %q is not a token", method)
	}
	e := Target(target)
	if e != nil {
		return e
	}
	if !httpguts.ValidHostHeader(host) {
		return invalid("host", "host %q is not a host with an optional port", host)
	}
	for n, l := range header {
		for _, v := range l {
			e := Header(n, v)
			if e != nil {
				return e
			}
		}
	}
	return nil
}

// Target returns an error unless a path and query can stand in a request line: it
// begins with a slash, and has no spaces, no control characters and no broken escapes.
func Target(target string) error {
	if !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r == '\x7f' }) {
		return invalid("path", "path %q does not begin with a slash, or has a space or a control character", target)
	}
	_, e := url.ParseRequestURI(target)
	if e != nil {
		return trail.WrapError(e, CodeInvalid, trail.NotRun, "path is not that of a URI").WithPlace("path")
	}
	return nil
}

// Header returns an error unless a header with a value can be part of a request. One
// that frames the message can't.
func Header(name, value string) error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return invalid("header", "name %q of a header is not a token", name)
	case framing[http.CanonicalHeaderKey(name)]:
		return invalid("header", "header %s is set by the system", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return invalid("header", "value of header %s has a control character", name)
	}
	return nil
}
