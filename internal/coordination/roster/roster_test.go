package roster_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/inform"
	"bulrushtrail.example/trail/internal/coordination/member"
	"bulrushtrail.example/trail/internal/coordination/roster"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// store lists registered fronts, alternately in the data centres east and west.
type store struct {
	trail.Store
	fronts int
}

func frontName(index int) string { return fmt.Sprintf("front-%02d", index) }

func (s store) List(context.Context, string) ([]object.Object, int64, error) {
	var l []object.Object
	for n := range s.fronts {
		d := [...]string{"east", "west"}[n%2]
		o, e := object.Encode(member.Kind, frontName(n), 1, wire.Front_builder{
			Name: proto.String(frontName(n)), DataCentre: &d, PeerAddress: proto.String(frontName(n) + ":1"),
		}.Build())
		if e != nil {
			return nil, 0, e
		}
		l = append(l, o)
	}
	return l, 1, nil
}

func (s store) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	context.AfterFunc(ctx, func() { close(w) })
	return w, nil
}

// Guards against a large fleet in which all fronts watch the platform or none
// does, against watchers that can't replicate changes to the others, and against
// a small fleet that depends on two watchers.
func TestOnlyHealthyFrontsAreElectedWatchers(t *testing.T) {
	for _, k := range []struct {
		name   string
		fronts int
		// Index of a front from which nothing was received, of one that the
		// platform does not answer, and of one that stops; -1 for none.
		silent, troubled, leaving int
		want                      []string
	}{
		{"small fleet", 12, -1, -1, -1, nil},
		{"large fleet", 20, -1, -1, -1, []string{frontName(0), frontName(2)}},
		{"silent", 20, 0, -1, -1, []string{frontName(2), frontName(4)}},
		{"platform unavailable", 20, -1, 2, -1, []string{frontName(0), frontName(4)}},
		{"stopping", 20, -1, 2, 0, []string{frontName(4), frontName(6)}},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, f := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer f()
				l := &log.Logger{Handler: discard.New()}
				// This front is the last one in the east.
				w := wire.Front_builder{Name: proto.String(frontName(k.fronts - 2)), DataCentre: proto.String("east")}.Build()
				v := fleet.New(w.GetName(), "east")
				for n := range k.fronts {
					if n == k.silent || frontName(n) == w.GetName() {
						continue
					}
					v.UpdatePeer(time.Now(), wire.Load_builder{
						Name: proto.String(frontName(n)), Incarnation: proto.Uint64(1), Sequence: proto.Uint64(1),
						Troubled: proto.Bool(n == k.troubled), Leaving: proto.Bool(n == k.leaving),
					}.Build())
				}
				r := roster.New(w, inform.New(c, store{fronts: k.fronts}, member.Kind, l), v, l)
				synctest.Wait()
				if d := cmp.Diff(k.want, r.Watchers(time.Now())); d != "" {
					t.Error(d)
				}
				if d := cmp.Diff([]string{frontName(3) + ":1", ""}, []string{r.Address(frontName(3)), r.Address("nobody")}); d != "" {
					t.Error(d)
				}
			})
		})
	}
}
