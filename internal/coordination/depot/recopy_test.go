package depot_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Bounds the time from a loss to the end of the copying of a few segments: the
// delay of 60 s, the period of observation, and the copying.
const copied = 90 * time.Second

const answers = 12

// fill stores some segments and answers and waits for the first check of each
// depot, which must find nothing to copy.
func (n *cluster) fill() []*wire.Segment {
	n.t.Helper()
	var l []*wire.Segment
	for range 6 {
		l = append(l, n.put())
	}
	k, f := n.recall("e1")
	defer f()
	for i := range answers {
		r, e := k.Store(n.c, asked(i))
		check(n.t, fmt.Sprintf("RESULT_STORED a%d 2", i), told(r, e))
	}
	n.unchanged(func() { time.Sleep(copied) })
	return l
}

func asked(i int) *wire.Answer {
	a := question(fmt.Sprint("a", i))
	a.SetRequestId(fmt.Sprint("r", i))
	return a
}

// readable fails the test unless all that fill stored can be read.
func (n *cluster) readable(l []*wire.Segment) {
	n.t.Helper()
	for _, g := range l {
		if d := cmp.Diff(string(payload), n.get(g, 0, 0)); d != "" {
			n.t.Fatal(g, d)
		}
	}
	k, f := n.recall("e2")
	defer f()
	for i := range answers {
		r, e := k.Read(n.c, asked(i))
		check(n.t, fmt.Sprintf("RESULT_STORED a%d 0", i), told(r, e))
	}
}

// files returns the sizes of all files of all depots, by path.
func (n *cluster) files() map[string]int64 {
	r := map[string]int64{}
	for d, f := range n.folders {
		_ = filepath.Walk(f, func(p string, i os.FileInfo, _ error) error {
			if i != nil && !i.IsDir() {
				r[d+"/"+i.Name()] += i.Size()
			}
			return nil
		})
	}
	return r
}

// pending returns for how many depots a depot has not finished its check.
func (n *cluster) pending(d string) float64 {
	l, _ := n.metrics[d].Gather()
	for _, f := range l {
		if f.GetName() == "bulrushtrail_depot_recopy_pending" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

// unchanged fails the test when f changes what the depots have.
func (n *cluster) unchanged(f func()) {
	n.t.Helper()
	w := n.files()
	f()
	if d := cmp.Diff(w, n.files()); d != "" {
		n.t.Fatal(d)
	}
}

// Guards against the loss of data when depots are lost for good one after
// another: the copy on the first one must be replaced before the next one
// goes. The last one then has everything. Guards also against a metric that
// tells the operator too early that the next depot may be replaced.
func TestLostOneAfterAnother(t *testing.T) {
	run(t, []string{"a", "b", "c"}, func(n *cluster) {
		l := n.fill()
		n.kill("d1")
		time.Sleep(10 * time.Second)
		if d := cmp.Diff([]float64{1, 1}, []float64{n.pending("d2"), n.pending("d3")}); d != "" {
			n.t.Fatal(d)
		}
		time.Sleep(copied)
		if d := cmp.Diff([]float64{0, 0}, []float64{n.pending("d2"), n.pending("d3")}); d != "" {
			n.t.Fatal(d)
		}
		n.readable(l)
		n.kill("d2")
		time.Sleep(copied)
		n.readable(l)
	})
}

// Guards against the loss of data when all depots of a data centre are lost at
// the same moment, and another data centre afterwards. The survivors in both
// others copy at the same time.
func TestDataCentresLost(t *testing.T) {
	run(t, []string{"a", "a", "b", "b", "c", "c"}, func(n *cluster) {
		l := n.fill()
		n.kill("d1")
		n.kill("d2")
		time.Sleep(copied)
		n.kill("d3")
		n.kill("d4")
		n.readable(l)
	})
}

// Guards against the loss of data when a depot comes back under its id with an
// empty disk, sooner or later than the delay, and the other one is lost then.
func TestEmptyFolder(t *testing.T) {
	for _, d := range []time.Duration{10 * time.Second, 5 * time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			run(t, []string{"a", "b"}, func(n *cluster) {
				l := n.fill()
				n.restart("d2", n.t.TempDir(), d)
				// A survivor that had no other depot tries again after the delay.
				time.Sleep(2 * copied)
				n.kill("d1")
				n.readable(l)
			})
		})
	}
}

// Guards against a new incarnation with an empty disk that is forgotten because
// the depot is not a member for a moment and then is one again.
func TestEmptyFolderAndShortAbsence(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		l := n.fill()
		n.restart("d2", n.t.TempDir(), time.Second)
		time.Sleep(20 * time.Second)
		m := n.leave("d2")
		time.Sleep(20 * time.Second)
		n.join(m)
		time.Sleep(2 * copied)
		n.kill("d1")
		n.readable(l)
	})
}

// Guards against copies of data that still has two: a depot that is restarted
// with its folder, or was not a member for less than the delay, has lost
// nothing. A third depot could take needless copies.
func TestNothingToCopy(t *testing.T) {
	for s, f := range map[string]func(n *cluster){
		"restarted": func(n *cluster) { n.restart("d2", n.folders["d2"], 40*time.Second) },
		"away for 50 s": func(n *cluster) {
			n.fail("d2")
			m := n.leave("d2")
			time.Sleep(50 * time.Second)
			n.recover("d2")
			n.join(m)
		},
	} {
		t.Run(s, func(t *testing.T) {
			run(t, []string{"a", "b", "c"}, func(n *cluster) {
				l := n.fill()
				n.unchanged(func() {
					f(n)
					time.Sleep(2 * copied)
				})
				n.readable(l)
			})
		})
	}
}

// Guards against a loss that is forgotten when the copies can't be made at
// once: the only depot that can take them is unreachable for five minutes.
func TestCopiesAreRepeated(t *testing.T) {
	run(t, []string{"a", "a", "b"}, func(n *cluster) {
		l := n.fill()
		n.restart("d3", n.t.TempDir(), time.Second)
		n.fail("d3")
		time.Sleep(5 * time.Minute)
		n.recover("d3")
		time.Sleep(copied)
		n.kill("d1")
		n.kill("d2")
		n.readable(l)
	})
}

// Guards against a check that is forgotten when the depot that makes it is
// restarted: the only other holder loses its disk meanwhile.
func TestLossDuringOwnRestart(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		l := n.fill()
		m := n.kill("d1")
		n.restart("d2", n.t.TempDir(), time.Second)
		n.start("d1")
		n.join(m)
		time.Sleep(copied)
		n.kill("d1")
		n.readable(l)
	})
}

// Guards against a check that is repeated for ever: two depots have different
// answers to the same request, and neither can take the other's.
func TestConflictingAnswers(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		for _, d := range []string{"d1", "d2"} {
			q := question(d)
			q.SetAction(wire.Answer_ACTION_STORE)
			o := &wire.Open{}
			o.SetAnswer(q)
			s := n.open(d, o)
			r := &wire.AnswerReply{}
			e := s.Recv(r)
			_ = s.Close()
			check(n.t, "RESULT_STORED "+d+" 1", told(r, e))
		}
		time.Sleep(copied)
		if d := cmp.Diff([]float64{0, 0}, []float64{n.pending("d1"), n.pending("d2")}); d != "" {
			n.t.Fatal(d)
		}
	})
}

// Guards against copying that takes the network and the disk from callers: a
// depot takes at most 16 MB of copies a second, besides a burst of 256 KB.
func TestCopyRate(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		for i := range 3 {
			_, e := n.bulk().Put(n.c, bytes.NewReader(bytes.Repeat([]byte{byte(i)}, 12<<20)))
			if e != nil {
				n.t.Fatal(e)
			}
		}
		time.Sleep(copied)
		n.restart("d2", n.t.TempDir(), time.Second)
		var b, x int64
		for range 90 {
			time.Sleep(time.Second)
			synctest.Wait()
			var h int64
			for p, s := range n.files() {
				if p[:3] == "d2/" {
					h += s
				}
			}
			x = max(x, h-b)
			b = h
		}
		// Checksums and one block that was received but not written.
		if x > 16<<20+256<<10+128<<10 || b < 36<<20 {
			n.t.Fatalf("%d bytes copied, %d in one second", b, x)
		}
	})
}
