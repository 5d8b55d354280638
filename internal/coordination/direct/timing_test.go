package direct_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// pacedUpstream answers with a stream of eight events. Each takes 50 ms; at server s1 four
// times as long, or 1 ms and a status of 500 if it fails.
type pacedUpstream struct {
	fleet *fleet.Fleet
	fails bool
	// Most tokens in flight at a server.
	tokens int64
}

func (u *pacedUpstream) Send(_ context.Context, server *wire.BackendServer, _ *trail.Request, _ string) (*trail.Response, error) {
	for _, l := range u.fleet.LocalLoads(time.Now()) {
		u.tokens = max(u.tokens, l.GetTokens())
	}
	r := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}
	d := 50 * time.Millisecond
	if server.GetId() == "s1" {
		d *= 4
	}
	if server.GetId() == "s1" && u.fails {
		d, r.StatusCode = time.Millisecond, http.StatusInternalServerError
	}
	a, b := io.Pipe()
	r.Body = a
	go func() {
		for n := range 8 {
			time.Sleep(d)
			_, _ = fmt.Fprintf(b, "id: %d\ndata: x\n\n", n+1)
		}
		_ = b.Close()
	}()
	return trail.NewResponse(r, 0), nil
}

// Guards against responses that are not measured or counted without their tokens, and
// against a server that looks fast because it fails at once: what callers would get more of
// are its failures.
func TestResponsesAreMeasured(t *testing.T) {
	for _, k := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := fleet.New("front", "a")
			f.LearnCapacity()
			var l []*wire.BackendServer
			for n := range 3 {
				l = append(l, wire.BackendServer_builder{Id: proto.String(fmt.Sprint("s", n)), Service: proto.String("v"), DataCentre: proto.String("a"), Slots: proto.Int32(8)}.Build())
			}
			f.SetServers(time.Now(), l, time.Now(), time.Now())
			u := &pacedUpstream{fleet: f, fails: k}
			s := newDirect(f, u)
			// The failing or slow server has looked fast.
			h := false
			for n := range 60 {
				q := trail.NewRequest(fmt.Sprint("r", n), "POST", "/p", "h", nil, nil).WithTokens(700)
				f.VisitEstimates(time.Now(), func(i, _ string, v float64, _, _ int) { h = h || i == "s1" && v > 1.1 })
				_ = s.Serve(t.Context(), route(wire.Repeat_REPEAT_ONCE, true, false, 1), 1, q, httptest.NewRecorder())
			}
			// Takes over the estimates.
			f.VisitEstimates(time.Now().Add(time.Second), func(string, string, float64, int, int) {})
			v, _, _ := f.Estimate("s1")
			w, _, _ := f.Estimate("s0")
			g := []bool{v < w, h, len(f.LocalLoads(time.Now())) > 0 && f.LocalLoads(time.Now())[0].GetTokens() > 0}
			if d := cmp.Diff([]bool{!k, false, false}, g); d != "" || u.tokens != 700 {
				t.Error(d, v, w, u.tokens)
			}
		})
	}
}
