package depot_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

var payload = bytes.Repeat([]byte("vamp length 12\n"), 20_000)

// put stores the payload and returns its segment.
func (n *cluster) put() *wire.Segment {
	n.t.Helper()
	g, e := n.bulk().Put(n.c, bytes.NewReader(payload))
	if e != nil {
		n.t.Fatal(e)
	}
	return g
}

// get reads a range, or returns the code of the error.
func (n *cluster) get(g *wire.Segment, offset, length int64) string {
	r, e := n.bulk().Get(n.c, g, offset, length)
	if e != nil {
		return trail.CodeOf(e)
	}
	defer r.Close()
	b, e := io.ReadAll(r)
	if e != nil {
		return trail.CodeOf(e)
	}
	return string(b)
}

// A segment must be on disk in two data centres, and each copy must be enough
// to read it: when one depot is lost, and when the other one's disk fails.
func TestEitherCopy(t *testing.T) {
	run(t, []string{"a", "a", "b"}, func(n *cluster) {
		g := n.put()
		if d := cmp.Diff(true, len(g.GetDepots()) == 2 && g.GetDepots()[1] == "d3"); d != "" {
			n.t.Fatal(d, g)
		}
		for _, d := range g.GetDepots() {
			n.fail(d)
			if x := cmp.Diff(string(payload), n.get(g, 0, 0)); x != "" {
				n.t.Fatal(x)
			}
			if x := cmp.Diff(string(payload[70_000:250_000]), n.get(g, 70_000, 180_000)); x != "" {
				n.t.Fatal(x)
			}
			n.recover(d)
		}
		b, _ := os.ReadFile(n.segment(g.GetDepots()[0], g))
		b[150_000]++
		_ = os.WriteFile(n.segment(g.GetDepots()[0], g), b, 0o600)
		if x := cmp.Diff(string(payload[70_000:]), n.get(g, 70_000, 0)); x != "" {
			n.t.Fatal(x)
		}
		n.fail(g.GetDepots()[1])
		if x := cmp.Diff("segment-unavailable", n.get(g, 0, 0)); x != "" {
			n.t.Fatal(x)
		}
	})
}

// When a depot fails another pair must be taken, but never two depots of one
// data centre while there are others.
func TestAnotherPair(t *testing.T) {
	run(t, []string{"a", "a", "b", "b"}, func(n *cluster) {
		g := n.put()
		for _, d := range g.GetDepots() {
			n.fail(d)
			h := n.put()
			x := h.GetDepots()
			if len(x) != 2 || (x[0] < "d3") == (x[1] < "d3") || strings.Contains(strings.Join(x, " "), d) {
				n.t.Fatalf("%s has failed, copies are at %v", d, x)
			}
		}
		n.fail("d3")
		n.fail("d4")
		_, e := n.bulk().Put(n.c, bytes.NewReader(payload))
		if x := cmp.Diff([]string{"depots-unavailable", "not-run"}, []string{trail.CodeOf(e), trail.VerdictOf(e).String()}); x != "" {
			n.t.Fatal(x)
		}
	})
}

// A single depot must be refused unless one copy is set, because its disk
// would be the only place.
func TestSingleDepot(t *testing.T) {
	run(t, []string{"a"}, func(n *cluster) {
		_, e := n.bulk().Put(n.c, bytes.NewReader(payload))
		if x := cmp.Diff("depots-unavailable", trail.CodeOf(e)); x != "" {
			n.t.Fatal(x)
		}
		g, e := n.bulk().WithCopies(1).Put(n.c, bytes.NewReader(payload))
		if e != nil {
			n.t.Fatal(e)
		}
		if x := cmp.Diff(string(payload), n.get(g, 0, 0)); x != "" {
			n.t.Fatal(x)
		}
	})
	run(t, []string{"a", "a"}, func(n *cluster) {
		if x := cmp.Diff(2, len(n.put().GetDepots())); x != "" {
			n.t.Fatal(x)
		}
	})
}

// putOpen returns the first message of a Put of "one" with a copy at d2.
func putOpen(id string) *wire.Open {
	g := &wire.Segment{}
	g.SetId(id)
	p := &wire.Put{}
	p.SetSegment(g)
	p.SetCopyTo("d2")
	o := &wire.Open{}
	o.SetPut(p)
	return o
}

func chunk(last bool) *wire.Chunk {
	k := &wire.Chunk{}
	k.SetBytes([]byte("one"))
	k.SetLast(last)
	return k
}

// A reply to a failed Put must say which copies exist, and a stream that ends
// early must leave none.
func TestPutReplies(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		n.fail("d2")
		s := n.open("d1", putOpen("s1"))
		_ = s.Send(chunk(true))
		r := &wire.PutReply{}
		e := s.Recv(r)
		if x := cmp.Diff([]string{"copy-failed", "d1"}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); x != "" || e != nil {
			n.t.Fatal(x, e)
		}
		_ = s.Close()
		s = n.open("d1", putOpen("s2"))
		_ = s.Send(chunk(false))
		_ = s.Close()
		e = s.Recv(r)
		if x := cmp.Diff([]string{"stream-broken", ""}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); x != "" || e != nil {
			n.t.Fatal(x, e)
		}
		n.recover("d2")
		for i, w := range map[string]string{"s1": "", "s2": "segment-missing"} {
			g := &wire.Segment{}
			g.SetId(i)
			p := &wire.Copy{}
			p.SetSegment(g)
			p.SetFrom("d1")
			o := &wire.Open{}
			o.SetCopy(p)
			s = n.open("d2", o)
			e = s.Recv(r)
			if x := cmp.Diff(w, r.GetCode()); x != "" || e != nil {
				n.t.Fatal(x, e)
			}
			_ = s.Close()
		}
	})
}

// A depot that shuts down must finish the Put in progress and refuse others.
func TestDrain(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		s := n.open("d1", putOpen("s1"))
		_ = s.Send(chunk(false))
		synctest.Wait()
		q := make(chan error, 1)
		go func() { q <- n.depots["d1"].Drain(context.WithoutCancel(n.c)) }()
		synctest.Wait()
		w := n.open("d1", putOpen("s2"))
		r := &wire.PutReply{}
		e := w.Recv(r)
		if x := cmp.Diff("draining", r.GetCode()); x != "" || e != nil || len(q) > 0 {
			n.t.Fatal(x, e, len(q))
		}
		// A segment that is larger than the window of a stream must be refused
		// at once too.
		b := time.Now()
		_, e = n.bulk().Put(n.c, bytes.NewReader(payload))
		if x := cmp.Diff([]string{"depots-unavailable", "0s"}, []string{trail.CodeOf(e), time.Since(b).String()}); x != "" {
			n.t.Fatal(x)
		}
		_ = s.Send(chunk(true))
		e = s.Recv(r)
		if x := cmp.Diff([]string{"", "d1 d2"}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); x != "" || e != nil {
			n.t.Fatal(x, e)
		}
		if x := cmp.Diff(nil, <-q); x != "" {
			n.t.Fatal(x)
		}
		_, _ = s.Close(), w.Close()
	})
}
