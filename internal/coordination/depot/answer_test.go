package depot_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/answer"
	"bulrushtrail.example/trail/internal/coordination/owner"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// question returns a request of an attempt whose answer is its own name.
func question(attempt string) *wire.Answer {
	w := &wire.StoredAnswer{}
	w.SetBody([]byte(attempt))
	a := &wire.Answer{}
	a.SetCaller("kowalchuk")
	a.SetRequestId("q1")
	a.SetAttemptId(attempt)
	a.SetDigest("d")
	a.SetStored(w)
	return a
}

// told returns a reply in words.
func told(r *wire.AnswerReply, e error) string {
	if e != nil {
		return trail.CodeOf(e)
	}
	return fmt.Sprintf("%s %s %d", r.GetResult(), r.GetStored().GetBody(), r.GetCopies())
}

func check(t *testing.T, want, got string) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// first returns the depots for the question in rendezvous order.
func (n *cluster) first() []*wire.Member {
	return owner.Rank(n.Latest().GetMembers(), "depot", "kowalchuk\x00q1", "")
}

// pair returns the first depot for the question and the next one in another
// data centre.
func (n *cluster) pair() [2]string {
	l := n.first()
	for _, m := range l {
		if m.GetDataCentre() != l[0].GetDataCentre() {
			return [2]string{l[0].GetId(), m.GetId()}
		}
	}
	return [2]string{l[0].GetId()}
}

// begin returns the reply to a Begin.
func (n *cluster) begin(k *answer.Client, attempt string) string {
	return told(k.Begin(n.c, question(attempt)))
}

// A resent question must wait for the attempt that runs and then get its
// answer, whichever entry it reaches; a request id that is used with another
// request must not get it.
func TestResentQuestion(t *testing.T) {
	run(t, []string{"a", "b", "a"}, func(n *cluster) {
		k, _ := n.recall("e1")
		w, _ := n.recall("e2")
		check(n.t, "RESULT_BEGUN  0", n.begin(k, "a1"))
		check(n.t, "RESULT_RUNNING  0", n.begin(w, "a2"))
		check(n.t, "RESULT_RUNNING  0", told(w.Read(n.c, question("a2"))))
		// A long answer must not lose its registration.
		time.Sleep(5 * time.Minute)
		check(n.t, "RESULT_RUNNING  0", n.begin(w, "a2"))
		check(n.t, "RESULT_STORED a1 2", told(k.Store(n.c, question("a1"))))
		check(n.t, "RESULT_STORED a1 0", n.begin(w, "a3"))
		check(n.t, "RESULT_STORED a1 2", told(w.Store(n.c, question("a4"))))
		q := question("a5")
		q.SetDigest("other")
		check(n.t, "RESULT_MISMATCH  0", told(w.Begin(n.c, q)))
		check(n.t, "RESULT_MISMATCH  0", told(w.Read(n.c, q)))
	})
}

// The registration of an attempt must end when it is abandoned and when its
// entry is lost, so that a resent question runs.
func TestLostAttempt(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		k, f := n.recall("e1")
		w, _ := n.recall("e2")
		check(n.t, "RESULT_BEGUN  0", n.begin(k, "a1"))
		_ = k.Abandon(n.c, question("a1"))
		synctest.Wait()
		check(n.t, "RESULT_BEGUN  0", n.begin(w, "a2"))
		_ = w.Abandon(n.c, question("a2"))
		synctest.Wait()
		check(n.t, "RESULT_BEGUN  0", n.begin(k, "a3"))
		check(n.t, "RESULT_RUNNING  0", n.begin(w, "a4"))
		f()
		synctest.Wait()
		check(n.t, "RESULT_BEGUN  0", n.begin(w, "a5"))
	})
}

// A registration that is not renewed must end after its lease, even though its
// stream stays open.
func TestSilentAttempt(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		q := question("a1")
		q.SetAction(wire.Answer_ACTION_BEGIN)
		o := &wire.Open{}
		o.SetAnswer(q)
		s := n.open(n.first()[0].GetId(), o)
		r := &wire.AnswerReply{}
		e := s.Recv(r)
		check(n.t, "RESULT_BEGUN  0", told(r, e))
		k, _ := n.recall("e1")
		time.Sleep(59 * time.Second)
		check(n.t, "RESULT_RUNNING  0", n.begin(k, "a2"))
		time.Sleep(2 * time.Second)
		check(n.t, "RESULT_BEGUN  0", n.begin(k, "a2"))
		_ = s.Close()
	})
}

// An answer must be found with either of its depots lost, and after depots
// joined that come first in the order.
func TestAnswerStaysReadable(t *testing.T) {
	run(t, []string{"a", "b", "a", "b"}, func(n *cluster) {
		k, _ := n.recall("e1")
		check(n.t, "RESULT_STORED a1 2", told(k.Store(n.c, question("a1"))))
		for _, m := range n.first() {
			n.fail(m.GetId())
			check(n.t, "RESULT_STORED a1 0", told(k.Read(n.c, question("a2"))))
			check(n.t, "RESULT_STORED a1 0", n.begin(k, "a2"))
			n.recover(m.GetId())
		}
		f := n.pair()
		for g := f; g[0] == f[0] || g[1] == f[0] || g[0] == f[1] || g[1] == f[1]; g = n.pair() {
			n.add([]string{"a", "b"}[len(n.members)%2])
		}
		check(n.t, "RESULT_STORED a1 0", told(k.Read(n.c, question("a2"))))
		check(n.t, "RESULT_STORED a1 0", n.begin(k, "a2"))
	})
}

// With the first depot lost an answer must still get two copies, and a read
// that can't ask all depots must not say that there is no answer.
func TestStoreWithDepotLost(t *testing.T) {
	run(t, []string{"a", "b", "a"}, func(n *cluster) {
		k, _ := n.recall("e1")
		n.fail(n.first()[0].GetId())
		check(n.t, "answers-unavailable", told(k.Read(n.c, question("a1"))))
		check(n.t, "RESULT_BEGUN  0", n.begin(k, "a1"))
		check(n.t, "RESULT_STORED a1 2", told(k.Store(n.c, question("a1"))))
		n.fail(n.first()[1].GetId())
		n.fail(n.first()[2].GetId())
		check(n.t, "answers-unavailable", told(k.Store(n.c, question("a2"))))
		check(n.t, "answers-unavailable", n.begin(k, "a2"))
	})
}

// An answer whose second depot holds an earlier one must not count it as a
// copy.
func TestEarlierAnswerIsNoCopy(t *testing.T) {
	run(t, []string{"a", "b"}, func(n *cluster) {
		k, _ := n.recall("e1")
		f := n.first()[0].GetId()
		n.fail(f)
		check(n.t, "RESULT_STORED a1 1", told(k.Store(n.c, question("a1"))))
		n.recover(f)
		check(n.t, "RESULT_STORED a2 1", told(k.Store(n.c, question("a2"))))
	})
}
