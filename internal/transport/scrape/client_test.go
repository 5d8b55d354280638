package scrape_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/transport/scrape"
)

// Guards against an error response that is read as metrics, by which a failing
// engine would appear to have no load.
func TestErrorStatusIsNotEmptyLoad(t *testing.T) {
	s := http.StatusOK
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(s)
		fmt.Fprint(w, r.Method, " ", r.URL.Path)
	}))
	defer h.Close()
	k := scrape.New(&net.Dialer{})
	b, e := k.Fetch(t.Context(), h.Listener.Addr().String())
	if e != nil {
		t.Fatal(e)
	}
	defer b.Close()
	g, _ := io.ReadAll(b)
	if d := cmp.Diff("GET /metrics", string(g)); d != "" {
		t.Error(d)
	}
	s = http.StatusServiceUnavailable
	_, e = k.Fetch(t.Context(), h.Listener.Addr().String())
	if d := cmp.Diff("metrics-refused", trail.CodeOf(e)); d != "" {
		t.Error(d)
	}
}
