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

// putSegment stores the payload and returns its segment.
func (n *cluster) putSegment() *wire.Segment {
	n.t.Helper()
	g, e := n.bulkClient().Put(n.ctx, bytes.NewReader(payload))
	if e != nil {
		n.t.Fatal(e)
	}
	return g
}

// getSegment returns a range of a segment, or the code of the error.
func (n *cluster) getSegment(segment *wire.Segment, offset, length int64) string {
	r, e := n.bulkClient().Get(n.ctx, segment, offset, length)
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

// Guards against a segment that depends on a single disk: it must be on disk in
// two data centres, and either copy must be enough to read it, when one depot
// is lost and when a block of the other copy is corrupt.
func TestEitherCopyIsEnoughToRead(t *testing.T) {
	runCluster(t, []string{"a", "a", "b"}, func(n *cluster) {
		g := n.putSegment()
		if d := cmp.Diff(true, len(g.GetDepots()) == 2 && g.GetDepots()[1] == "d3"); d != "" {
			n.t.Fatal(d, g)
		}
		for _, d := range g.GetDepots() {
			n.disconnect(d)
			if x := cmp.Diff(string(payload), n.getSegment(g, 0, 0)); x != "" {
				n.t.Fatal(x)
			}
			if x := cmp.Diff(string(payload[70_000:250_000]), n.getSegment(g, 70_000, 180_000)); x != "" {
				n.t.Fatal(x)
			}
			n.reconnect(d)
		}
		b, _ := os.ReadFile(n.segmentPath(g.GetDepots()[0], g))
		b[150_000]++
		_ = os.WriteFile(n.segmentPath(g.GetDepots()[0], g), b, 0o600)
		if x := cmp.Diff(string(payload[70_000:]), n.getSegment(g, 70_000, 0)); x != "" {
			n.t.Fatal(x)
		}
		n.disconnect(g.GetDepots()[1])
		if x := cmp.Diff("segment-unavailable", n.getSegment(g, 0, 0)); x != "" {
			n.t.Fatal(x)
		}
	})
}

// Guards against Puts that fail, or place both copies in one data centre, when a
// depot is lost: another pair must be chosen, in two data centres. If no depot of
// the other data centre is reachable, Put must fail.
func TestPutAvoidsFailedDepots(t *testing.T) {
	runCluster(t, []string{"a", "a", "b", "b"}, func(n *cluster) {
		g := n.putSegment()
		for _, d := range g.GetDepots() {
			n.disconnect(d)
			h := n.putSegment()
			x := h.GetDepots()
			if len(x) != 2 || (x[0] < "d3") == (x[1] < "d3") || strings.Contains(strings.Join(x, " "), d) {
				n.t.Fatalf("%s has failed, copies are at %v", d, x)
			}
		}
		n.disconnect("d3")
		n.disconnect("d4")
		_, e := n.bulkClient().Put(n.ctx, bytes.NewReader(payload))
		if x := cmp.Diff([]string{"depots-unavailable", "not-run"}, []string{trail.CodeOf(e), trail.VerdictOf(e).String()}); x != "" {
			n.t.Fatal(x)
		}
	})
}

// Guards against silently storing a segment on one disk only: a Put with a
// single depot must fail unless the number of copies is set to one.
func TestSingleDepotNeedsOneCopySetting(t *testing.T) {
	runCluster(t, []string{"a"}, func(n *cluster) {
		_, e := n.bulkClient().Put(n.ctx, bytes.NewReader(payload))
		if x := cmp.Diff("depots-unavailable", trail.CodeOf(e)); x != "" {
			n.t.Fatal(x)
		}
		g, e := n.bulkClient().WithCopies(1).Put(n.ctx, bytes.NewReader(payload))
		if e != nil {
			n.t.Fatal(e)
		}
		if x := cmp.Diff(string(payload), n.getSegment(g, 0, 0)); x != "" {
			n.t.Fatal(x)
		}
	})
	runCluster(t, []string{"a", "a"}, func(n *cluster) {
		if x := cmp.Diff(2, len(n.putSegment().GetDepots())); x != "" {
			n.t.Fatal(x)
		}
	})
}

// putRequest returns the first message of a Put that names d2 for the second
// copy.
func putRequest(id string) *wire.Open {
	g := &wire.Segment{}
	g.SetId(id)
	p := &wire.Put{}
	p.SetSegment(g)
	p.SetCopyTo("d2")
	o := &wire.Open{}
	o.SetPut(p)
	return o
}

func newChunk(last bool) *wire.Chunk {
	k := &wire.Chunk{}
	k.SetBytes([]byte("one"))
	k.SetLast(last)
	return k
}

// Guards against a failed Put that leaves copies unknown to the sender: the
// reply must list the copies on disk, and a stream that ends early must leave
// none.
func TestFailedPutReportsCopies(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		n.disconnect("d2")
		s := n.openStream("d1", putRequest("s1"))
		_ = s.Send(newChunk(true))
		r := &wire.PutReply{}
		e := s.Recv(r)
		if x := cmp.Diff([]string{"copy-failed", "d1"}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); x != "" || e != nil {
			n.t.Fatal(x, e)
		}
		_ = s.Close()
		s = n.openStream("d1", putRequest("s2"))
		_ = s.Send(newChunk(false))
		_ = s.Close()
		e = s.Recv(r)
		if x := cmp.Diff([]string{"stream-broken", ""}, []string{r.GetCode(), strings.Join(r.GetSegment().GetDepots(), " ")}); x != "" || e != nil {
			n.t.Fatal(x, e)
		}
		n.reconnect("d2")
		for i, w := range map[string]string{"s1": "", "s2": "segment-missing"} {
			g := &wire.Segment{}
			g.SetId(i)
			p := &wire.Copy{}
			p.SetSegment(g)
			p.SetFrom("d1")
			o := &wire.Open{}
			o.SetCopy(p)
			s = n.openStream("d2", o)
			e = s.Recv(r)
			if x := cmp.Diff(w, r.GetCode()); x != "" || e != nil {
				n.t.Fatal(x, e)
			}
			_ = s.Close()
		}
	})
}

// Guards against a shutdown that aborts a Put in progress or accepts new ones.
func TestDrainFinishesPutInProgress(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		s := n.openStream("d1", putRequest("s1"))
		_ = s.Send(newChunk(false))
		synctest.Wait()
		q := make(chan error, 1)
		go func() { q <- n.depots["d1"].Drain(context.WithoutCancel(n.ctx)) }()
		synctest.Wait()
		w := n.openStream("d1", putRequest("s2"))
		r := &wire.PutReply{}
		e := w.Recv(r)
		if x := cmp.Diff("draining", r.GetCode()); x != "" || e != nil || len(q) > 0 {
			n.t.Fatal(x, e, len(q))
		}
		// A segment larger than the stream's flow-control window must also be
		// rejected immediately.
		b := time.Now()
		_, e = n.bulkClient().Put(n.ctx, bytes.NewReader(payload))
		if x := cmp.Diff([]string{"depots-unavailable", "0s"}, []string{trail.CodeOf(e), time.Since(b).String()}); x != "" {
			n.t.Fatal(x)
		}
		_ = s.Send(newChunk(true))
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
