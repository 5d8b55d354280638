package invoke_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/engine"
	"bulrushtrail.example/trail/internal/transport/invoke"
)

// Guards against a TCP reset that is not reported as a crash: a request that
// crashes every engine would then never be detected. Also checks that a draining
// engine rejects calls as leaving.
func TestConnectionResetCountsAsCrash(t *testing.T) {
	g := engine.New(t.Context(), engine.Model("fit-assistant"))
	h := httptest.NewUnstartedServer(g)
	h.Config.ConnContext = g.ConnContext
	h.Start()
	defer h.Close()
	f := func(faults string) {
		a, e := http.Post(h.URL+"/control/faults", "application/json", strings.NewReader(faults))
		if e != nil || a.StatusCode != http.StatusOK {
			t.Fatal(e, a)
		}
		_ = a.Body.Close()
	}
	s := invoke.New(&net.Dialer{}, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
	r := newCall(func(r *wire.Call) {
		r.SetBody([]byte(`{"model":"fit-assistant","stream":true,"max_tokens":4096,"messages":[{"role":"user","content":"vamp"}]}`))
	})
	a, e := s.Call(t.Context(), h.Listener.Addr().String(), r)
	if e != nil {
		t.Fatal(e)
	}
	var l []string
	for {
		m, e := a.Recv()
		if e == io.EOF {
			break
		}
		if e != nil {
			t.Fatal(e)
		}
		switch {
		case m.HasHead():
			f(`{"crash":true}`)
		case m.HasEnd():
			l = append(l, m.GetEnd().GetCode(), m.GetEnd().GetVerdict().String())
			if m.GetEnd().GetCrashed() {
				l = append(l, "crashed")
			}
		}
	}
	if d := cmp.Diff([]string{"backend-lost", mayHaveRun, "crashed"}, l); d != "" {
		t.Fatal(d)
	}
	f(`{"restart":true,"drain":true}`)
	_, e = s.Call(t.Context(), h.Listener.Addr().String(), r)
	if e == nil || !strings.Contains(e.Error(), "leaving") {
		t.Fatal(e)
	}
}
