package view_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/view"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

// platform returns configurations in the order in which the test sends them, so
// that lists and watches can be stale.
type platform struct {
	trail.Store
	lists chan int64
	// Receives the channel of each watch, for the test to send changes on.
	watches chan chan trail.Change
}

func config(version int64) object.Object {
	return object.New("configs", "current", version, fmt.Appendf(nil, `{"services":[{"name":"v%d"}]}`, version))
}

func (p *platform) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	if kind != "configs" {
		<-ctx.Done()
		return nil, 0, trail.ErrUnavailable
	}
	select {
	case v := <-p.lists:
		return []object.Object{config(v)}, v, nil
	case <-ctx.Done():
		return nil, 0, trail.ErrUnavailable
	}
}

func (p *platform) Watch(ctx context.Context, _ string, _ int64) (<-chan trail.Change, error) {
	w := make(chan trail.Change)
	select {
	case p.watches <- w:
		return w, nil
	case <-ctx.Done():
		return nil, trail.ErrUnavailable
	}
}

func (p *platform) Create(context.Context, object.Object) (object.Object, error) {
	return object.Object{}, trail.ErrUnavailable
}

type unreachable struct{}

func (unreachable) DialContext(context.Context, string, string) (net.Conn, error) {
	return nil, net.ErrClosed
}

// A watch that delivers changes out of order or restarts from a stale replica
// must not make the configuration revert to an older version.
func TestConfigNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, f := context.WithCancel(t.Context())
		l := &log.Logger{Handler: discard.New()}
		p := &platform{lists: make(chan int64), watches: make(chan chan trail.Change)}
		m := mesh.New(c, &wire.Hello{}, unreachable{}, l)
		s := wire.Member_builder{Id: proto.String("sched-1"), Role: proto.String("sched"), DataCentre: proto.String("regina")}.Build()
		v := view.New(c, s, p, m, nil, l, prometheus.NewRegistry())
		k := configChecker(t, v)
		p.lists <- 5
		k(5)
		w := <-p.watches
		w <- trail.NewChange(config(7), false)
		k(7)
		w <- trail.NewChange(config(6), false)
		k(7)
		// The watch ends, and the next one starts from a stale replica.
		close(w)
		w = <-p.watches
		w <- trail.NewChange(config(3), false)
		k(7)
		w <- trail.NewChange(config(8), false)
		k(8)
		close(w)
		f()
		synctest.Wait()
	})
}

func configChecker(t *testing.T, views *view.Views) func(version int64) {
	return func(w int64) {
		t.Helper()
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g := views.Latest().GetConfig()
		if d := cmp.Diff(w, g.GetVersion()); d != "" {
			t.Fatal(d)
		}
		if d := cmp.Diff(fmt.Sprintf("v%d", w), g.GetText().GetServices()[0].GetName()); d != "" {
			t.Fatal(d)
		}
	}
}

// startedPlatform lists members at once, and configurations only after the test
// has sent their number.
type startedPlatform struct {
	platform
	configs chan int
}

func (p *startedPlatform) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	if kind != "configs" {
		return nil, 1, nil
	}
	select {
	case n := <-p.configs:
		return []object.Object{config(5)}[:n], 5, nil
	case <-ctx.Done():
		return nil, 0, trail.ErrUnavailable
	}
}

// A process that accepts work before it knows the configuration refuses calls to
// services that exist. A system without a configuration must become ready too.
func TestNotKnownBeforeConfig(t *testing.T) {
	for n, w := range []int64{0, 5} {
		synctest.Test(t, func(t *testing.T) {
			c, f := context.WithCancel(t.Context())
			l := &log.Logger{Handler: discard.New()}
			p := &startedPlatform{platform{watches: make(chan chan trail.Change)}, make(chan int)}
			s := wire.Member_builder{Id: proto.String("entry-1"), Role: proto.String("entry"), DataCentre: proto.String("regina")}.Build()
			v := view.New(c, s, p, mesh.New(c, &wire.Hello{}, unreachable{}, l), nil, l, prometheus.NewRegistry())
			synctest.Wait()
			if v.Known() || v.Latest().GetMembersVersion() == 0 {
				t.Error("view is known without the configuration")
			}
			p.configs <- n
			synctest.Wait()
			if d := cmp.Diff(w, v.Latest().GetConfig().GetVersion()); d != "" || !v.Known() {
				t.Error(d, v.Known())
			}
			f()
			synctest.Wait()
		})
	}
}
