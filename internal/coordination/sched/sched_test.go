package sched_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// viewWithHosts returns a view in JSON with the given hosts, a model service
// "lm" with two slots per backend server, and a plain service "desk".
func viewWithHosts(hosts string) string {
	return `{"config":{"version":1,"text":{"services":[
		{"name":"lm","kind":"model","limits":{"slots":2}},
		{"name":"desk","kind":"plain","limits":{"slots":2}}]}},
	"members":[{"id":"sched-1","role":"sched"}],"hosts":[` + hosts + `]}`
}

const (
	hostA    = `{"name":"a","service":"lm","address":"a:1","ready":true}`
	leavingA = `{"name":"a","service":"lm","address":"a:1","ready":true,"leaving":true}`
	hostB    = `{"name":"b","service":"lm","address":"b:1","ready":true}`
	hostC    = `{"name":"c","service":"lm","address":"c:1","ready":true}`
	desks    = `{"name":"a","service":"desk","address":"a:1","ready":true},{"name":"b","service":"desk","address":"b:1","ready":true}`
	// Events with one token each.
	tokenA = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	tokenB = "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
)

const droppedRepliesMetric = "bulrushtrail_sched_dropped_replies_total"

func checkEqual(t *testing.T, want, got any) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// Guards against online calls that wait behind batch work, and against batch
// streams that are damaged by preemption (property P3): each stream must reach
// its requester without repeated or missing events.
func TestOnlineBurstPreemptsBatch(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"batch","class":"CLASS_BATCH","stream":true}`)
		y := r.call(`{"caller":"batch","class":"CLASS_BATCH","stream":true}`)
		checkEqual(t, []string{"a:1 batch", "a:1 batch"}, r.inFlight())
		r.attempts[1].sendHead(200)
		r.attempts[1].sendData(tokenA + tokenB[:10])
		synctest.Wait()
		o := r.call(`{"caller":"shop"}`)
		p := r.call(`{"caller":"shop"}`)
		checkEqual(t, []string{"a:1 shop", "a:1 shop"}, r.inFlight())
		r.attempts[2].sendAnswer("one")
		r.attempts[3].sendAnswer("two")
		checkEqual(t, "body=one end=ran", o.String())
		checkEqual(t, "body=two end=ran", p.String())
		checkEqual(t, []string{"a:1 batch", "a:1 batch"}, r.inFlight())
		for _, a := range r.attempts[4:] {
			a.sendHead(200)
			if a.request.GetResumeOffset() == 0 {
				a.sendData(tokenA)
			}
			a.sendData(tokenB)
			a.sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		}
		checkEqual(t, "body="+tokenA+tokenB+" end=ran", x.String())
		checkEqual(t, "body="+tokenA+tokenB+" end=ran", y.String())
	})
}

// Guards against frames that do not belong to the answer (property P4): those
// of another attempt, repeated ones, and those of a cancelled attempt must not
// reach the requester.
func TestForeignFramesAreDropped(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		a := r.attempts[0]
		a.sendHead(200)
		a.sendData("one ")
		a.sendFrame("other.1", 4, "alien")
		a.sendFrame(a.request.GetAttemptId(), 0, "one ")
		a.sendData("two")
		a.sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		checkEqual(t, "body=one two end=ran", x.String())
		checkEqual(t, 1, r.counterValue(droppedRepliesMetric, "crossed"))
		checkEqual(t, 1, r.counterValue(droppedRepliesMetric, "offset"))

		y := r.call(`{"caller":"shop"}`)
		b := r.attempts[1]
		b.sendHead(200)
		b.sendData("one")
		b.sendFrame(b.request.GetAttemptId(), 7, "after a gap")
		b.sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		checkEqual(t, "body=one end=may_have_run code=answer-incomplete", y.String())

		z := r.call(`{"caller":"shop"}`)
		z.cancel()
		r.attempts[2].sendHead(200)
		r.attempts[2].sendData("late")
		synctest.Wait()
		checkEqual(t, "body=", z.String())
		checkEqual(t, []string{}, r.inFlight())
	})
}

// Guards against a drain that interrupts a call: it must reject new calls and
// wait for those in progress.
func TestDrainInterruptsNoCall(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		z := r.call(`{"caller":"shop"}`)
		d := make(chan error, 1)
		go func() { d <- r.scheduler.Drain(context.Background()) }()
		synctest.Wait()
		// In this view, ownership passes to the other schedulers.
		r.applyView(`{"members":[{"id":"sched-1","role":"sched","leaving":true}],"hosts":[` + hostA + `]}`)
		w := r.call(`{"caller":"late"}`)
		checkEqual(t, "body= end=not_run code=scheduler-draining", w.String())
		r.attempts[0].sendAnswer("one")
		r.attempts[1].sendAnswer("two")
		time.Sleep(time.Second)
		checkEqual(t, 0, len(d))
		r.attempts[2].sendAnswer("three")
		checkEqual(t, "body=one end=ran", x.String())
		checkEqual(t, "body=three end=ran", z.String())
		checkEqual(t, nil, <-d)
	})
}
