package jobrpc_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/jobrpc"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/standin/golden"
	"bulrushtrail.example/trail/internal/standin/memnet"
	"bulrushtrail.example/trail/internal/transport/frame"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// Guards against Notify reporting success although no front has handled the
// notice, and against a notice that arrives altered. The stream closes without
// a response, the address is unreachable, or the front is unknown.
func TestNotifyNeedsAcknowledgement(t *testing.T) {
	golden.Bubble(t, func(t *testing.T, ctx context.Context) {
		n := memnet.New()
		m := mesh.New(ctx, &wire.Hello{}, n, &log.Logger{Handler: discard.New()})
		var g []any
		go func() {
			_ = m.Serve(ctx, n.Listen("far:1"), func(_ context.Context, stream *frame.Stream, request *wire.Open, _ *wire.Hello) {
				if request.GetJob().GetName() == "ignored" {
					return
				}
				_ = jobrpc.ServeNotice(stream, request.GetJob(), func(j *wire.JobNotice) {
					g = append(g, j.GetName(), j.GetVersion(), string(j.GetValue()), string(j.GetProgress()[0].GetText()))
				})
			})
		}()
		synctest.Wait()
		s := jobrpc.New(m, func(_ context.Context, front string) string {
			return map[string]string{"far": "far:1", "gone": "gone:1"}[front]
		})
		for _, k := range []struct{ front, job, code string }{
			{"far", "job", ""},
			{"far", "ignored", "peer-lost"},
			{"gone", "job", "peer-unreachable"},
			{"unknown", "job", "peer-unknown"},
		} {
			e := s.Notify(ctx, k.front, wire.JobNotice_builder{
				Name: &k.job, Version: proto.Int64(7), Value: []byte("{}"),
				Progress: []*wire.ItemProgress{wire.ItemProgress_builder{Text: []byte("so far")}.Build()},
			}.Build())
			if d := cmp.Diff(k.code, trail.CodeOf(e)); e == nil && k.code != "" || e != nil && d != "" {
				t.Errorf("%s at %s: %v %s", k.job, k.front, e, d)
			}
		}
		if d := cmp.Diff([]any{"job", int64(7), "{}", "so far"}, g); d != "" {
			t.Error(d)
		}
	})
}
