package gossip_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
)

// Guards against a permit that is granted without the front that counts, and
// against a request for one that waits beyond its context.
func TestPermitsComeFromOtherFront(t *testing.T) {
	runFleet(t, 1, func(e *network, l []*front) {
		time.Sleep(2 * time.Second)
		q := func(server string) (string, time.Duration) {
			c, f := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer f()
			b := time.Now()
			r, e := l[0].gossip.AskPermit(c, l[1].name, wire.PermitRequest_builder{Server: proto.String(server)}.Build())
			synctest.Wait()
			switch {
			case e != nil:
				return "no reply", time.Since(b)
			case r.GetGranted():
				return "granted", 0
			}
			return "denied", time.Duration(r.GetWaitMs()) * time.Millisecond
		}
		var g []any
		for _, s := range []string{"granted", "other"} {
			r, w := q(s)
			g = append(g, r, w)
		}
		e.mu.Lock()
		e.muted[l[1].address] = true
		e.mu.Unlock()
		r, w := q("granted")
		g = append(g, r, w)
		if d := cmp.Diff([]any{"granted", time.Duration(0), "denied", 7 * time.Millisecond, "no reply", 100 * time.Millisecond}, g); d != "" {
			t.Error(d)
		}
	})
}

// Guards against a stream whose build only the front knows that began it: fronts
// of its data centre must hear of it, and others, or one that has missed all
// datagrams, must find it with a question.
func TestBegunStreamIsKnownToOneFrontOnly(t *testing.T) {
	runFleet(t, 5, func(e *network, l []*front) {
		time.Sleep(2 * time.Second)
		b := build.New("v", "v2")
		l[0].streams.Add(time.Now(), "id", b)
		l[0].gossip.TriggerSend()
		time.Sleep(100 * time.Millisecond)
		e.mu.Lock()
		e.muted[l[0].address] = true
		e.mu.Unlock()
		for n, x := range l[1:] {
			c, f := context.WithTimeout(context.Background(), time.Second)
			g, _, r := x.streams.Find(c, "id", []string{"v", "w"})
			if r != nil || g != b {
				t.Error("front", n+1, g, r)
			}
			f()
		}
		_, _, r := l[1].streams.Find(context.Background(), "other", []string{"v", "w"})
		if d := cmp.Diff("stream-unknown not-run", trail.CodeOf(r)+" "+trail.VerdictOf(r).String()); d != "" {
			t.Error(d)
		}
	})
}

// Guards against fronts that learn of a limit only by their own answers, in all
// data centres of a large fleet, and against a limit that they keep after its end.
func TestLimitReachesAllFronts(t *testing.T) {
	runFleet(t, 5, func(_ *network, l []*front) {
		time.Sleep(2 * time.Second)
		s := wire.BackendServer_builder{Id: proto.String("s-a")}.Build()
		var g []int
		for _, p := range []float64{2.5, 0} {
			l[0].fleet.RecordLimit(time.Now(), s, 0, p)
			l[0].gossip.TriggerSend()
			time.Sleep(1500 * time.Millisecond)
			n := 0
			for _, f := range l {
				if f.fleet.Limit("s-a") == p {
					n++
				}
			}
			g = append(g, n)
		}
		if d := cmp.Diff([]int{len(l), len(l)}, g); d != "" {
			t.Error(d)
		}
	})
}
