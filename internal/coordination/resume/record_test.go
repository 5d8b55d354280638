package resume_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/builds"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/resume"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
)

func newRecord() *resume.Record {
	k := builds.New(nil, fleet.New("front", "a"), func() []string { return nil }, func() int { return 0 }, &log.Logger{Handler: discard.New()})
	return resume.New(k, nil, func() []string { return nil })
}

// find returns the version at which a stream may go on, or "none".
func find(record *resume.Record, attempt string) string {
	b, e := record.Find(context.Background(), attempt, []string{"v"})
	if e != nil {
		return "none"
	}
	return b.Version()
}

// Guards against a stream that is forgotten while it can be taken up, kept for
// ever, or resumed although fronts have told of two versions for it.
func TestStreamIsForgottenOrMistaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, o := newRecord(), newRecord()
		r.Add(time.Now(), "a", build.New("v", "v1"))
		r.Add(time.Now(), "b", build.New("v", "v2"))
		r.Add(time.Now(), "c", build.New("v", ""))
		o.Merge(time.Now(), r.Report(time.Now()))
		g := []string{find(o, "a"), find(o, "b"), find(o, "c"), find(o, "d")}
		o.Add(time.Now(), "b", build.New("v", "v1"))
		g = append(g, find(o, "b"))
		time.Sleep(50 * time.Second)
		g = append(g, find(r, "a"))
		for n := range 3 {
			time.Sleep(61 * time.Second)
			r.Add(time.Now(), string(rune('x'+n)), build.New("v", "v1"))
		}
		g = append(g, find(r, "a"))
		if d := cmp.Diff([]string{"v1", "v2", "none", "none", "none", "v1", "none"}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against datagrams that grow with the rate of streams.
func TestReportGrowsWithoutBound(t *testing.T) {
	r := newRecord()
	for n := range 1000 {
		r.Add(time.Now(), string(rune('a'+n)), build.New("v", "v1"))
	}
	l := r.Report(time.Now())
	if n := proto.Size(wire.Load_builder{Streams: l}.Build()); len(l) != 256 || n > 8<<10 {
		t.Error(len(l), "streams,", n, "bytes")
	}
}
