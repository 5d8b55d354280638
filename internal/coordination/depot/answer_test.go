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

// answerRequest returns a request of an attempt, with the attempt id as the
// answer's body.
func answerRequest(attempt string) *wire.Answer {
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

// describe formats a reply as its result, body and number of copies, or returns
// the code of the error.
func describe(r *wire.AnswerReply, e error) string {
	if e != nil {
		return trail.CodeOf(e)
	}
	return fmt.Sprintf("%s %s %d", r.GetResult(), r.GetStored().GetBody(), r.GetCopies())
}

func checkEqual(t *testing.T, want, got string) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// ranked returns the depots in rendezvous order for the request.
func (n *cluster) ranked() []*wire.Member {
	return owner.Rank(n.Latest().GetMembers(), "depot", "kowalchuk\x00q1", "")
}

// firstPair returns the first depot in rendezvous order for the request and the
// next one in another data centre.
func (n *cluster) firstPair() [2]string {
	l := n.ranked()
	for _, m := range l {
		if m.GetDataCentre() != l[0].GetDataCentre() {
			return [2]string{l[0].GetId(), m.GetId()}
		}
	}
	return [2]string{l[0].GetId()}
}

// beginAttempt returns the reply to a Begin.
func (n *cluster) beginAttempt(client *answer.Client, attempt string) string {
	return describe(client.Begin(n.ctx, answerRequest(attempt)))
}

// Guards against running a resent request twice: through any entry it must wait
// for the running attempt and then get its answer. A request id that is reused
// with another request must not get the answer.
func TestResentRequestGetsAnswerOfRunningAttempt(t *testing.T) {
	runCluster(t, []string{"a", "b", "a"}, func(n *cluster) {
		k, _ := n.answerClient("e1")
		w, _ := n.answerClient("e2")
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(k, "a1"))
		checkEqual(n.t, "RESULT_RUNNING  0", n.beginAttempt(w, "a2"))
		checkEqual(n.t, "RESULT_RUNNING  0", describe(w.Read(n.ctx, answerRequest("a2"))))
		// An attempt that takes several minutes must keep its registration.
		time.Sleep(5 * time.Minute)
		checkEqual(n.t, "RESULT_RUNNING  0", n.beginAttempt(w, "a2"))
		checkEqual(n.t, "RESULT_STORED a1 2", describe(k.Store(n.ctx, answerRequest("a1"))))
		checkEqual(n.t, "RESULT_STORED a1 0", n.beginAttempt(w, "a3"))
		checkEqual(n.t, "RESULT_STORED a1 2", describe(w.Store(n.ctx, answerRequest("a4"))))
		q := answerRequest("a5")
		q.SetDigest("other")
		checkEqual(n.t, "RESULT_MISMATCH  0", describe(w.Begin(n.ctx, q)))
		checkEqual(n.t, "RESULT_MISMATCH  0", describe(w.Read(n.ctx, q)))
	})
}

// Guards against a registration that outlives its attempt and blocks a resent
// request: it must end when the attempt is abandoned and when its entry is
// lost.
func TestRegistrationEndsWithAttempt(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		k, f := n.answerClient("e1")
		w, _ := n.answerClient("e2")
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(k, "a1"))
		_ = k.Abandon(n.ctx, answerRequest("a1"))
		synctest.Wait()
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(w, "a2"))
		_ = w.Abandon(n.ctx, answerRequest("a2"))
		synctest.Wait()
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(k, "a3"))
		checkEqual(n.t, "RESULT_RUNNING  0", n.beginAttempt(w, "a4"))
		f()
		synctest.Wait()
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(w, "a5"))
	})
}

// Guards against a registration that is held for ever by an open stream that no
// longer renews it: it must expire after the lease.
func TestUnrenewedRegistrationExpires(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		q := answerRequest("a1")
		q.SetAction(wire.Answer_ACTION_BEGIN)
		o := &wire.Open{}
		o.SetAnswer(q)
		s := n.openStream(n.ranked()[0].GetId(), o)
		r := &wire.AnswerReply{}
		e := s.Recv(r)
		checkEqual(n.t, "RESULT_BEGUN  0", describe(r, e))
		k, _ := n.answerClient("e1")
		time.Sleep(59 * time.Second)
		checkEqual(n.t, "RESULT_RUNNING  0", n.beginAttempt(k, "a2"))
		time.Sleep(2 * time.Second)
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(k, "a2"))
		_ = s.Close()
	})
}

// Guards against losing an answer after membership changes: it must be found
// while either of its depots is lost, and after other depots have joined that
// come first in rendezvous order.
func TestAnswerReadableAfterMembershipChanges(t *testing.T) {
	runCluster(t, []string{"a", "b", "a", "b"}, func(n *cluster) {
		k, _ := n.answerClient("e1")
		checkEqual(n.t, "RESULT_STORED a1 2", describe(k.Store(n.ctx, answerRequest("a1"))))
		for _, m := range n.ranked() {
			n.disconnect(m.GetId())
			checkEqual(n.t, "RESULT_STORED a1 0", describe(k.Read(n.ctx, answerRequest("a2"))))
			checkEqual(n.t, "RESULT_STORED a1 0", n.beginAttempt(k, "a2"))
			n.reconnect(m.GetId())
		}
		f := n.firstPair()
		for g := f; g[0] == f[0] || g[1] == f[0] || g[0] == f[1] || g[1] == f[1]; g = n.firstPair() {
			n.addDepot([]string{"a", "b"}[len(n.members)%2])
		}
		checkEqual(n.t, "RESULT_STORED a1 0", describe(k.Read(n.ctx, answerRequest("a2"))))
		checkEqual(n.t, "RESULT_STORED a1 0", n.beginAttempt(k, "a2"))
	})
}

// Guards against storing a single copy when the first depot is lost, and
// against a read that reports an answer as missing although it could not reach
// all depots.
func TestAnswerStoredWithDepotLost(t *testing.T) {
	runCluster(t, []string{"a", "b", "a"}, func(n *cluster) {
		k, _ := n.answerClient("e1")
		n.disconnect(n.ranked()[0].GetId())
		checkEqual(n.t, "answers-unavailable", describe(k.Read(n.ctx, answerRequest("a1"))))
		checkEqual(n.t, "RESULT_BEGUN  0", n.beginAttempt(k, "a1"))
		checkEqual(n.t, "RESULT_STORED a1 2", describe(k.Store(n.ctx, answerRequest("a1"))))
		n.disconnect(n.ranked()[1].GetId())
		n.disconnect(n.ranked()[2].GetId())
		checkEqual(n.t, "answers-unavailable", describe(k.Store(n.ctx, answerRequest("a2"))))
		checkEqual(n.t, "answers-unavailable", n.beginAttempt(k, "a2"))
	})
}

// Guards against counting a second depot as a copy when it holds an earlier
// answer to the same request.
func TestEarlierAnswerIsNotCountedAsCopy(t *testing.T) {
	runCluster(t, []string{"a", "b"}, func(n *cluster) {
		k, _ := n.answerClient("e1")
		f := n.ranked()[0].GetId()
		n.disconnect(f)
		checkEqual(n.t, "RESULT_STORED a1 1", describe(k.Store(n.ctx, answerRequest("a1"))))
		n.reconnect(f)
		checkEqual(n.t, "RESULT_STORED a2 1", describe(k.Store(n.ctx, answerRequest("a2"))))
	})
}
