package trail_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Guards against a message that cannot be encoded and is taken for one that was sent
// and whose answer was lost: the same message would be tried again for ever.
func TestUnencodableMessageMayHaveBeenSent(t *testing.T) {
	_, e := object.Encode("batch-results", "job.0", 0, wire.BatchResults_builder{
		Results: []*wire.BatchResult{wire.BatchResult_builder{Output: proto.String("\xff")}.Build()},
	}.Build())
	l := []struct {
		name string
		err  error
		want trail.Verdict
	}{
		{"not encodable", e, trail.NotRun},
		{"wrapped", errors.Wrap(e, "write of results"), trail.NotRun},
		{"with a verdict", trail.WrapError(e, "lost", trail.MayHaveRun, "lost"), trail.MayHaveRun},
		{"without a verdict", errors.New("unknown"), trail.MayHaveRun},
	}
	for _, k := range l {
		if d := cmp.Diff(k.want, trail.VerdictOf(k.err)); d != "" {
			t.Errorf("%s: %s", k.name, d)
		}
	}
}
