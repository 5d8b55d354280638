package sched_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// view returns a view with one model service "lm" of two slots per backend
// server, one plain service "desk", and the hosts.
func view(hosts string) string {
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
	// A chat completion chunk with one token is "data: {...token...}\n\n".
	tokenA = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	tokenB = "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
)

const dropped = "bulrushtrail_sched_dropped_replies_total"

func check(t *testing.T, want, got any) {
	t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
}

// P3: an online burst that finds all slots taken by batch work must not wait,
// and the batch streams must reach their requester without a seam.
func TestOnlineBurst(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		x := r.call(`{"caller":"batch","class":"CLASS_BATCH","stream":true}`)
		y := r.call(`{"caller":"batch","class":"CLASS_BATCH","stream":true}`)
		check(t, []string{"a:1 batch", "a:1 batch"}, r.live())
		r.attempts[1].head(200)
		r.attempts[1].data(tokenA + tokenB[:10])
		synctest.Wait()
		o := r.call(`{"caller":"shop"}`)
		p := r.call(`{"caller":"shop"}`)
		check(t, []string{"a:1 shop", "a:1 shop"}, r.live())
		r.attempts[2].answer("one")
		r.attempts[3].answer("two")
		check(t, "body=one end=ran", o.String())
		check(t, "body=two end=ran", p.String())
		check(t, []string{"a:1 batch", "a:1 batch"}, r.live())
		for _, a := range r.attempts[4:] {
			a.head(200)
			if a.q.GetResumeOffset() == 0 {
				a.data(tokenA)
			}
			a.data(tokenB)
			a.end(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		}
		check(t, "body="+tokenA+tokenB+" end=ran", x.String())
		check(t, "body="+tokenA+tokenB+" end=ran", y.String())
	})
}

// P4: a frame of another attempt, a repeated frame, and frames of a cancelled
// attempt must not reach the requester.
func TestLateAndCrossedFrames(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		x := r.call(`{"caller":"shop"}`)
		a := r.attempts[0]
		a.head(200)
		a.data("one ")
		a.frame("other.1", 4, "alien")
		a.frame(a.q.GetAttemptId(), 0, "one ")
		a.data("two")
		a.end(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		check(t, "body=one two end=ran", x.String())
		check(t, 1, r.count(dropped, "crossed"))
		check(t, 1, r.count(dropped, "offset"))

		y := r.call(`{"caller":"shop"}`)
		b := r.attempts[1]
		b.head(200)
		b.data("one")
		b.frame(b.q.GetAttemptId(), 7, "after a gap")
		b.end(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		check(t, "body=one end=may_have_run code=answer-incomplete", y.String())

		z := r.call(`{"caller":"shop"}`)
		z.cancel()
		r.attempts[2].head(200)
		r.attempts[2].data("late")
		synctest.Wait()
		check(t, "body=", z.String())
		check(t, []string{}, r.live())
	})
}

// A drain must refuse new calls, wait for those in progress and interrupt none.
func TestDrain(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		x := r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		z := r.call(`{"caller":"shop"}`)
		d := make(chan error, 1)
		go func() { d <- r.s.Drain(context.Background()) }()
		synctest.Wait()
		// The other schedulers take over what this one owns.
		r.view(`{"members":[{"id":"sched-1","role":"sched","leaving":true}],"hosts":[` + hostA + `]}`)
		w := r.call(`{"caller":"late"}`)
		check(t, "body= end=not_run code=scheduler-draining", w.String())
		r.attempts[0].answer("one")
		r.attempts[1].answer("two")
		time.Sleep(time.Second)
		check(t, 0, len(d))
		r.attempts[2].answer("three")
		check(t, "body=one end=ran", x.String())
		check(t, "body=three end=ran", z.String())
		check(t, nil, <-d)
	})
}
