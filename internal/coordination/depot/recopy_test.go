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

// Upper bound on the time from a loss until a few segments are copied: the
// delay of 60 s, the observation interval and the copying.
const checkTime = 90 * time.Second

const answerCount = 12

// storeData stores some segments and answers and waits for the first check of
// each depot, which must not copy anything.
func (n *cluster) storeData() []*wire.Segment {
	n.t.Helper()
	var l []*wire.Segment
	for range 6 {
		l = append(l, n.putSegment())
	}
	k, f := n.answerClient("e1")
	defer f()
	for i := range answerCount {
		r, e := k.Store(n.ctx, numberedRequest(i))
		checkEqual(n.t, fmt.Sprintf("RESULT_STORED a%d 2", i), describe(r, e))
	}
	n.checkUnchanged(func() { time.Sleep(checkTime) })
	return l
}

func numberedRequest(index int) *wire.Answer {
	a := answerRequest(fmt.Sprint("a", index))
	a.SetRequestId(fmt.Sprint("r", index))
	return a
}

// checkReadable fails the test unless all data of storeData can be read.
func (n *cluster) checkReadable(segments []*wire.Segment) {
	n.t.Helper()
	for _, g := range segments {
		if d := cmp.Diff(string(payload), n.getSegment(g, 0, 0)); d != "" {
			n.t.Fatal(g, d)
		}
	}
	k, f := n.answerClient("e2")
	defer f()
	for i := range answerCount {
		r, e := k.Read(n.ctx, numberedRequest(i))
		checkEqual(n.t, fmt.Sprintf("RESULT_STORED a%d 0", i), describe(r, e))
	}
}

// fileSizes returns the sizes of all files of all depots, by depot and file
// name.
func (n *cluster) fileSizes() map[string]int64 {
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

// pendingChecks returns the number of depots for which a depot has not finished
// its check of second copies.
func (n *cluster) pendingChecks(id string) float64 {
	l, _ := n.metrics[id].Gather()
	for _, f := range l {
		if f.GetName() == "bulrushtrail_depot_recopy_pending" {
			return f.GetMetric()[0].GetGauge().GetValue()
		}
	}
	return -1
}

// checkUnchanged fails the test if the action changes the files of the depots.
func (n *cluster) checkUnchanged(action func()) {
	n.t.Helper()
	w := n.fileSizes()
	action()
	if d := cmp.Diff(w, n.fileSizes()); d != "" {
		n.t.Fatal(d)
	}
}

// Guards against data loss when depots are lost permanently one after another:
// the copies of the first must be replaced before the second is lost, so that
// the last one has all data. Also guards against a pending metric that reaches
// 0 too early, which would tell the operator that the next depot can be
// replaced.
func TestDataSurvivesSuccessiveDepotLosses(t *testing.T) {
	runCluster(t, []string{"a", "b", "c"}, func(n *cluster) {
		l := n.storeData()
		n.killDepot("d1")
		time.Sleep(10 * time.Second)
		if d := cmp.Diff([]float64{1, 1}, []float64{n.pendingChecks("d2"), n.pendingChecks("d3")}); d != "" {
			n.t.Fatal(d)
		}
		time.Sleep(checkTime)
		if d := cmp.Diff([]float64{0, 0}, []float64{n.pendingChecks("d2"), n.pendingChecks("d3")}); d != "" {
			n.t.Fatal(d)
		}
		n.checkReadable(l)
		n.killDepot("d2")
		time.Sleep(checkTime)
		n.checkReadable(l)
	})
}

// Guards against data loss when all depots of a data centre are lost at once
// and those of another one later. The survivors in both other data centres copy
// concurrently.
func TestDataSurvivesDataCentreLosses(t *testing.T) {
	runCluster(t, []string{"a", "a", "b", "b", "c", "c"}, func(n *cluster) {
		l := n.storeData()
		n.killDepot("d1")
		n.killDepot("d2")
		time.Sleep(checkTime)
		n.killDepot("d3")
		n.killDepot("d4")
		n.checkReadable(l)
	})
}

// Guards against data loss when a depot rejoins under its id with an empty
// disk, before or after the delay, and the other depot is lost afterwards.
func TestDepotBackWithEmptyFolderGetsCopies(t *testing.T) {
	for _, d := range []time.Duration{10 * time.Second, 5 * time.Minute} {
		t.Run(d.String(), func(t *testing.T) {
			runCluster(t, []string{"a", "b"}, func(n *cluster) {
				l := n.storeData()
				n.restartDepot("d2", n.t.TempDir(), d)
				// A survivor without another depot retries after the delay.
				time.Sleep(2 * checkTime)
				n.killDepot("d1")
				n.checkReadable(l)
			})
		})
	}
}

// Guards against missing a new incarnation with an empty disk when the depot is
// briefly absent from the members and then rejoins.
func TestEmptyFolderFoundDespiteShortAbsence(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		l := n.storeData()
		n.restartDepot("d2", n.t.TempDir(), time.Second)
		time.Sleep(20 * time.Second)
		m := n.removeMember("d2")
		time.Sleep(20 * time.Second)
		n.addMember(m)
		time.Sleep(2 * checkTime)
		n.killDepot("d1")
		n.checkReadable(l)
	})
}

// Guards against needless copies to a third depot: a depot that is restarted
// with its folder, or is absent for less than the delay, has lost nothing, so
// all data still has two copies.
func TestNoCopiesWhenNothingIsLost(t *testing.T) {
	for s, f := range map[string]func(n *cluster){
		"restarted": func(n *cluster) { n.restartDepot("d2", n.folders["d2"], 40*time.Second) },
		"away for 50 s": func(n *cluster) {
			n.disconnect("d2")
			m := n.removeMember("d2")
			time.Sleep(50 * time.Second)
			n.reconnect("d2")
			n.addMember(m)
		},
	} {
		t.Run(s, func(t *testing.T) {
			runCluster(t, []string{"a", "b", "c"}, func(n *cluster) {
				l := n.storeData()
				n.checkUnchanged(func() {
					f(n)
					time.Sleep(2 * checkTime)
				})
				n.checkReadable(l)
			})
		})
	}
}

// Guards against dropping a loss whose copies fail at first: the only depot
// that can accept them is unreachable for five minutes.
func TestFailedCheckIsRetried(t *testing.T) {
	runCluster(t, []string{"a", "a", "b"}, func(n *cluster) {
		l := n.storeData()
		n.restartDepot("d3", n.t.TempDir(), time.Second)
		n.disconnect("d3")
		time.Sleep(5 * time.Minute)
		n.reconnect("d3")
		time.Sleep(checkTime)
		n.killDepot("d1")
		n.killDepot("d2")
		n.checkReadable(l)
	})
}

// Guards against dropping a check when the depot that runs it is restarted
// while the only other holder loses its disk.
func TestLossDuringOwnRestartIsChecked(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		l := n.storeData()
		m := n.killDepot("d1")
		n.restartDepot("d2", n.t.TempDir(), time.Second)
		n.startDepot("d1")
		n.addMember(m)
		time.Sleep(checkTime)
		n.killDepot("d1")
		n.checkReadable(l)
	})
}

// Guards against a check that is retried for ever: two depots hold different
// answers to the same request, and neither can accept the other's.
func TestConflictingAnswersEndCheck(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		for _, d := range []string{"d1", "d2"} {
			q := answerRequest(d)
			q.SetAction(wire.Answer_ACTION_STORE)
			o := &wire.Open{}
			o.SetAnswer(q)
			s := n.openStream(d, o)
			r := &wire.AnswerReply{}
			e := s.Recv(r)
			_ = s.Close()
			checkEqual(n.t, "RESULT_STORED "+d+" 1", describe(r, e))
		}
		time.Sleep(checkTime)
		if d := cmp.Diff([]float64{0, 0}, []float64{n.pendingChecks("d1"), n.pendingChecks("d2")}); d != "" {
			n.t.Fatal(d)
		}
	})
}

// Guards against copying that takes network and disk throughput from callers: a
// depot receives at most 16 MB of copies per second, plus a burst of 256 KB.
func TestCopyRateIsLimited(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		for i := range 3 {
			_, e := n.bulkClient().Put(n.ctx, bytes.NewReader(bytes.Repeat([]byte{byte(i)}, 12<<20)))
			if e != nil {
				n.t.Fatal(e)
			}
		}
		time.Sleep(checkTime)
		n.restartDepot("d2", n.t.TempDir(), time.Second)
		var b, x int64
		for range 90 {
			time.Sleep(time.Second)
			synctest.Wait()
			var h int64
			for p, s := range n.fileSizes() {
				if p[:3] == "d2/" {
					h += s
				}
			}
			x = max(x, h-b)
			b = h
		}
		// The allowance of 128 KB covers checksums and one block that was
		// received but not yet written.
		if x > 16<<20+256<<10+128<<10 || b < 36<<20 {
			n.t.Fatalf("%d bytes copied, %d in one second", b, x)
		}
	})
}
