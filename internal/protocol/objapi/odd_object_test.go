package objapi_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/protocol/objapi"
	"bulrushtrail.example/trail/internal/standin/memnet"
)

func storedObject(name, version, spec string) string {
	return fmt.Sprintf(`{"kind":"hosts","metadata":{"name":%q,"resourceVersion":%q},"spec":%s}`, name, version, spec)
}

// Guards against one object of another writer, nested very deeply, that hides the
// other ones in a list and in a watch.
func TestOddObjectHidesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l := n.Listen("platform:80")
		a, b, c := storedObject("a", "1", "{}"), storedObject("b", "2", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)), storedObject("c", "3", "{}")
		h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("watch") {
				for _, o := range []string{a, b, c} {
					_, _ = io.WriteString(w, `{"type":"ADDED","object":`+o+"}\n")
				}
				return
			}
			_, _ = io.WriteString(w, `{"metadata":{"resourceVersion":"3"},"items":[`+a+","+b+","+c+"]}")
		})}
		go func() { _ = h.Serve(l) }()
		x, o := context.WithCancel(t.Context())
		s := objapi.New("http://platform:80", n, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
		k, v, e := s.List(x, "hosts")
		requireNoError(t, e)
		g := []any{v}
		for _, o := range k {
			g = append(g, o.Name())
		}
		w, e := s.Watch(x, "hosts", 0)
		requireNoError(t, e)
		for range 3 {
			y := <-w
			g = append(g, y.Object().Name(), y.Object().Version())
		}
		if d := cmp.Diff([]any{int64(3), "a", "b", "c", "a", int64(1), "b", int64(2), "c", int64(3)}, g); d != "" {
			t.Error(d)
		}
		o()
		_ = h.Close()
		synctest.Wait()
	})
}
