package valid_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/valid"
)

// Guards against a part of a request that ends it, begins another one or frames its
// body, and against sound requests that are refused.
func TestInvalidRequestIsWritten(t *testing.T) {
	h := func(name, value string) http.Header { return http.Header{name: {"x", value}} }
	l := []struct {
		name, method, target, host string
		header                     http.Header
		// Place of the error, empty for none.
		want string
	}{
		{"sound", "POST", "/a/b?q=%20&x=1#y", "h.example:80", h("X-Prompt-Prefix", "5c1e:800,91bd:410 \t"), ""},
		{"other bytes", "PUT", "/caf\xe9", "h", h("X-Name", "caf\xe9"), ""},
		{"no header", "GET", "/", "", nil, ""},
		{"method with a space", "GET /x HTTP/1.1", "/", "h", nil, "method"},
		{"no method", "", "/", "h", nil, "method"},
		{"line break in the path", "POST", "/a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b", "h", nil, "path"},
		{"space in the path", "POST", "/a b", "h", nil, "path"},
		{"line feed in the path", "POST", "/a\nb", "h", nil, "path"},
		{"no path", "POST", "", "h", nil, "path"},
		{"no slash", "POST", "a", "h", nil, "path"},
		{"broken escape", "POST", "/%zz", "h", nil, "path"},
		{"line break in the host", "POST", "/", "h\r\nX: y", nil, "host"},
		{"line break in a name", "POST", "/", "h", h("X: y\r\nZ", "1"), "header"},
		{"space in a name", "POST", "/", "h", h("X ", "1"), "header"},
		{"line break in a value", "POST", "/", "h", h("X", "1\r\nY: 2"), "header"},
		{"nul in a value", "POST", "/", "h", h("X", "\x00"), "header"},
		{"coding", "POST", "/", "h", h("Transfer-Encoding", "chunked"), "header"},
		{"coding, other case", "POST", "/", "h", h("transfer-encoding", "chunked"), "header"},
		{"length", "POST", "/", "h", h("Content-Length", "0"), "header"},
		{"connection", "POST", "/", "h", h("Connection", "close"), "header"},
		{"second host", "POST", "/", "h", h("Host", "g"), "header"},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			g := ""
			if e, o := valid.Request(k.method, k.target, k.host, k.header).(*trail.Error); o {
				g = e.Place()
				if d := cmp.Diff([]any{valid.CodeInvalid, trail.NotRun}, []any{e.Code(), e.Verdict()}); d != "" {
					t.Error(d)
				}
			}
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
		})
	}
}
