package batch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/batch"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// crowd is some fronts that hear each other.
type crowd struct {
	names  []string
	fleets map[string]*fleet.Fleet
	jobs   map[string]*batch.Jobs
	beats  uint64
}

func newCrowd(c context.Context, s *store, g *engine, names ...string) *crowd {
	r := &crowd{names: names, fleets: map[string]*fleet.Fleet{}, jobs: map[string]*batch.Jobs{}}
	for _, n := range names {
		r.fleets[n] = fleet.New(n, "a")
		r.jobs[n] = newJobsOf(c, r.fleets[n], n, s, g, valueBytes)
	}
	return r
}

// run lets time pass in which all fronts hear each other, but for one.
func (r *crowd) run(d time.Duration, silent string) {
	for b := time.Now(); time.Since(b) < d; time.Sleep(250 * time.Millisecond) {
		r.beats++
		for _, n := range r.names {
			for _, p := range r.names {
				if n != p && n != silent {
					r.fleets[p].UpdatePeer(time.Now(), wire.Load_builder{Name: &n, Incarnation: proto.Uint64(1), Sequence: &r.beats}.Build())
				}
			}
			for range r.fleets[n].ExpirePeers(time.Now()) {
				r.jobs[n].Lost()
			}
		}
	}
}

// Guards against a job that is left to a front which has just started and does
// not take jobs over yet: it must let all look for it.
func TestJobLeftToNewFront(t *testing.T) {
	play(t, func(t *testing.T, c context.Context, s *store, g *engine) {
		r := newCrowd(c, s, g, "front-1")
		r.run(5*time.Second, "")
		accept(t, c, r.jobs["front-1"], "job", 10)
		r.names = append(r.names, "front-2")
		r.fleets["front-2"] = fleet.New("front-2", "a")
		r.jobs["front-2"] = newJobsOf(c, r.fleets["front-2"], "front-2", s, g, valueBytes)
		r.run(500*time.Millisecond, "")
		d, f := context.WithTimeout(c, 100*time.Millisecond)
		defer f()
		r.jobs["front-1"].Drain(d)
		time.Sleep(100 * time.Millisecond)
		if d := cmp.Diff(uint32(1), r.jobs["front-2"].Released()); d != "" {
			t.Error(d)
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against fronts that all list the jobs each time that one of them stops
// or goes silent: a restart of a large fleet would cost the square of its size.
// Pattern: the restart of all fronts in turn on the grown sites.
func TestLeftJobIsNotSearched(t *testing.T) {
	for _, k := range []struct {
		name string
		// The notice of the front that stops does not arrive.
		cut bool
		// The front does not stop but goes silent.
		silent bool
		// Lists of the present by all four fronts after the start.
		lists int
	}{
		{"stopping", false, false, 0},
		{"stopping, notice lost", true, false, 4},
		{"silent", false, true, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			play(t, func(t *testing.T, c context.Context, s *store, g *engine) {
				s.lag = 2 * time.Second
				r := newCrowd(c, s, g, "front-1", "front-2", "front-3", "front-4")
				r.run(5*time.Second, "")
				b := s.listed()
				accept(t, c, r.jobs["front-1"], "job", 100)
				r.run(2500*time.Millisecond, "")
				s.notices.cut = k.cut
				if k.silent {
					s.notices.fronts["front-1"] = nil
					r.run(6*time.Second, "front-1")
				} else {
					d, f := context.WithTimeout(c, time.Second)
					r.jobs["front-1"].Drain(d)
					f()
					if k.cut {
						// Its datagrams tell it.
						for _, n := range r.names {
							r.jobs[n].Review()
						}
					}
				}
				r.run(40*time.Second, "front-1")
				if d := cmp.Diff([]int{100, k.lists}, []int{len(list(t, c, r.jobs["front-2"], "job")), s.listed() - b}); d != "" {
					t.Error(d)
				}
			})
		})
	}
}

// Guards against items that run from their beginning each time that their job is
// left to another front: in a restart of all fronts in turn a job would never get
// done.
// Pattern: the planned stops of inc-d539, 2 s apart, for jobs due in 18 s.
func TestLeftItemsGoOn(t *testing.T) {
	play(t, func(t *testing.T, c context.Context, s *store, g *engine) {
		r := newCrowd(c, s, g, "front-1", "front-2")
		r.run(5*time.Second, "")
		w, x := io.Pipe()
		g.script("i0", w)
		accept(t, c, r.jobs["front-1"], "job", 1)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(x, "id: 1\ndata: i0\n\n")
		time.Sleep(100 * time.Millisecond)
		d, f := context.WithTimeout(c, 100*time.Millisecond)
		defer f()
		r.jobs["front-1"].Drain(d)
		r.run(5*time.Second, "front-1")
		if d := cmp.Diff([]string{"i0 " + output("i0")}, list(t, c, r.jobs["front-2"], "job")); d != "" {
			t.Error(d)
		}
		if d := cmp.Diff([]string{"", "1"}, g.resumes["i0"]); d != "" {
			t.Error(d)
		}
	})
}
