package sched_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// tokens is the number of tokens of each answer.
const tokens = 20

// answerEvents returns the events of an answer that starts at the given token.
func answerEvents(caller string, from int) []string {
	l := []string{"data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"}
	for i := from; i < tokens; i++ {
		l = append(l, fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"%s %d\"}}]}\n\n", caller, i))
	}
	return append(l, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n", "data: [DONE]\n\n")
}

// generate simulates a model engine. It supports resuming, splits events at
// arbitrary bytes, continues for a while after a cancellation, and sometimes
// loses the connection.
func (a *fakeAttempt) generate(random *rand.Rand) {
	defer close(a.replies)
	time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	a.sendHead(200)
	b := strings.Join(answerEvents(a.request.GetCaller(), int(a.request.GetResumeOffset())), "")
	for l := 0; len(b) > 0 && l <= 2; {
		n := 1 + random.IntN(min(len(b), 150))
		a.sendData(b[:n])
		b = b[n:]
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
		if random.IntN(200) == 0 {
			a.replies <- trail.NewError("backend-failed", trail.MayHaveRun, "connection reset")
			return
		}
		if a.cancelled() {
			l++
		}
	}
	if len(b) > 0 {
		return
	}
	a.replies <- wire.Reply_builder{
		AttemptId: proto.String(a.request.GetAttemptId()),
		End:       wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum(), Tokens: proto.Int64(tokens)}.Build(),
	}.Build()
}

const seed = 11

// Guards against repeated, missing or reordered bytes in a streamed answer.
// However often its call is preempted, the answer must be an intact prefix of
// the expected one, complete unless it ends with an error. The engines lose
// connections in mid-stream and keep sending after a cancellation.
func TestStreamsUnderPreemption(t *testing.T) {
	t.Logf("seed %d", seed)
	n := rand.New(rand.NewPCG(seed, 0))
	runScheduler(t, viewWithHosts(hostA+","+hostB+","+hostC), func(r *harness) {
		r.generate = func(a *fakeAttempt) {
			a.generate(rand.New(rand.NewPCG(seed, xxhash.Sum64String(a.request.GetAttemptId()))))
		}
		var l []*requester
		for i := range 300 {
			k := "BATCH"
			if i%3 == 0 {
				k = "ONLINE"
			}
			l = append(l, r.call(fmt.Sprintf(`{"caller":"c%d","class":"CLASS_%s","stream":%t,"nonIdempotent":%t}`, i, k, i%4 > 0, i%11 == 0)))
			time.Sleep(time.Duration(n.IntN(60)) * time.Millisecond)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		c := 0
		for i, q := range l {
			w := strings.Join(answerEvents(fmt.Sprintf("c%d", i), 0), "")
			if q.outcome == nil || q.headCount > 1 || len(q.faults) > 0 || !strings.HasPrefix(w, q.body) {
				t.Fatalf("call %d: %s", i, q)
			}
			if q.outcome.GetCode() == "" {
				checkEqual(t, w, q.body)
				c++
			}
		}
		t.Logf("%d of %d calls complete, %d attempts, %d preempted, %d late replies", c, len(l), len(r.attempts),
			r.counterValue("bulrushtrail_sched_decisions_total", "online-needs-slot"), r.counterValue(droppedRepliesMetric, "late"))
		checkEqual(t, true, r.counterValue("bulrushtrail_sched_decisions_total", "online-needs-slot") > 0)
		checkEqual(t, true, r.counterValue(droppedRepliesMetric, "late") > 0)
		checkEqual(t, true, c > len(l)/2)
	})
}

// Guards against a race at preemption: data that arrives between the decision
// to preempt an attempt and its cancellation must not reach the requester,
// because the call will start again.
func TestPreemptedAnswerIsNotSent(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		r.onLog = func(e *log.Entry) {
			for _, a := range r.attempts {
				if e.Message == "sched: attempt cancelled" && e.Fields.Get("attempt") == a.request.GetAttemptId() {
					a.sendData("answer")
					// Lets the exchange receive the data before the task
					// continues.
					time.Sleep(time.Millisecond)
				}
			}
		}
		// Whether the exchange or the task continues first is random, so the
		// race is repeated.
		for range 50 {
			r.attempts = nil
			x := r.call(`{"caller":"batch","class":"CLASS_BATCH"}`)
			r.attempts[0].sendHead(200)
			synctest.Wait()
			r.call(`{"caller":"shop"}`)
			o := r.call(`{"caller":"shop"}`)
			time.Sleep(time.Second)
			synctest.Wait()
			r.attempts[2].sendAnswer("online")
			checkEqual(t, "body=online end=ran", o.String())
			r.attempts[3].sendAnswer("answer")
			checkEqual(t, "body=answer end=ran", x.String())
			r.attempts[1].sendAnswer("online")
		}
	})
}
