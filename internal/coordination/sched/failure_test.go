package sched_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// P7: a backend server that leaves must get no new work, by the host list, by
// its drain mark or by a refused connection, and must finish what it runs.
func TestLeavingBackendServer(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		x := r.call(`{"caller":"shop"}`)
		r.view(view(leavingA + "," + hostB))
		y := r.call(`{"caller":"shop"}`)
		check(t, []string{"a:1 shop", "b:1 shop"}, r.live())
		r.attempts[0].answer("one")
		check(t, "body=one end=ran", x.String())
		r.attempts[1].head(503, wire.Header_builder{Name: proto.String("Draining"), Values: []string{"true"}}.Build())
		synctest.Wait()
		check(t, "body= end=not_run code=backend-draining", y.String())
		z := r.call(`{"caller":"shop"}`)
		check(t, "body= end=not_run code=no-backend-server", z.String())

		r.view(view(`{"name":"r","service":"lm","address":"refused:1","ready":true},` + hostC))
		for range 2 {
			r.call(`{"caller":"shop"}`)
		}
		check(t, []string{"c:1 shop", "c:1 shop"}, r.live())
	})
}

// A backend server that another scheduler owns now must finish what it runs.
func TestOwnerChanged(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		x := r.call(`{"caller":"shop"}`)
		r.view(strings.Replace(view(hostA), "sched-1", "sched-2", 1))
		y := r.call(`{"caller":"shop"}`)
		check(t, "body= end=not_run code=no-backend-server", y.String())
		r.attempts[0].answer("one")
		check(t, "body=one end=ran", x.String())
	})
}

// A request that crashes backend servers must be rejected after the second
// one, also when it is sent again, and must not take the requests with it that
// shared the first one.
func TestPoison(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		for range 20 {
			r.call(`{"caller":"shop"}`)
			r.attempts[len(r.attempts)-1].answer("")
		}
		r.attempts = nil
		x := r.call(`{"caller":"bad","fingerprint":7}`)
		y := r.call(`{"caller":"shop","fingerprint":8}`)
		r.view(view(hostA + "," + hostB + "," + hostC))
		r.attempts[0].crash()
		r.attempts[1].crash()
		// One suspect at a time, alone on a backend server.
		l := r.live()
		check(t, 1, len(l))
		a := r.attempts[2]
		check(t, "bad", a.q.GetCaller())
		r.call(`{"caller":"other"}`)
		check(t, false, r.attempts[3].address == a.address)
		a.crash()
		check(t, "body= end=may_have_run code=request-rejected", x.String())
		// The other suspect waits until a backend server is idle.
		check(t, []string{r.attempts[3].address + " other"}, r.live())
		r.attempts[3].answer("")
		check(t, "shop", r.attempts[4].q.GetCaller())
		r.attempts[4].answer("fine")
		check(t, "body=fine end=ran", y.String())
		z := r.call(`{"caller":"bad","fingerprint":7}`)
		check(t, "body= end=not_run code=request-rejected", z.String())
		check(t, 5, len(r.attempts))
	})
}

// Without a bound, an outage would multiply the attempts. The target is 1.1
// times the requests; one retry is allowed before the first ten requests.
func TestRetryBudget(t *testing.T) {
	run(t, view(hostA+","+hostB+","+hostC), func(r *rig) {
		for range 100 {
			r.call(`{"caller":"shop","service":"lm"}`)
			for _, a := range r.attempts {
				if !a.cancelled() {
					a.out <- trail.NewError("backend-failed", trail.MayHaveRun, "connection reset")
					synctest.Wait()
				}
			}
			// No backend server stays ejected for longer.
			time.Sleep(31 * time.Second)
		}
		check(t, true, len(r.attempts) > 100)
		check(t, true, len(r.attempts) <= 111)
	})
}

// P6: a non-idempotent call must not run again after a connection was made,
// also when its verdict would allow it, and must move on when none was made.
func TestNonIdempotent(t *testing.T) {
	run(t, view(desks), func(r *rig) {
		x := r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		r.attempts[0].out <- trail.NewError("backend-lost", trail.MayHaveRun, "connection reset")
		synctest.Wait()
		check(t, "body= end=may_have_run code=backend-lost", x.String())
		check(t, int64(0), x.outcome.GetRetryAfterMs())
		y := r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		r.attempts[1].out <- trail.NewError("backend-failed", trail.NotRun, "nothing was written")
		synctest.Wait()
		check(t, "body= end=not_run code=backend-failed", y.String())
		check(t, 2, len(r.attempts))
	})
	run(t, view(strings.Replace(desks, "a:1", "refused:1", 1)), func(r *rig) {
		for range 2 {
			r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		}
		check(t, []string{"b:1 shop", "b:1 shop"}, r.live())
	})
}

// An answer that has begun must not be started again at another backend
// server.
func TestNoRetryAfterData(t *testing.T) {
	run(t, view(hostA+","+hostB), func(r *rig) {
		x := r.call(`{"caller":"shop"}`)
		r.attempts[0].head(200)
		r.attempts[0].data("half")
		r.attempts[0].crash()
		check(t, "body=half end=may_have_run code=backend-lost", x.String())
		check(t, 1, len(r.attempts))
	})
}

// A backend server without slots in the text must be filled up to the slots
// that it reports, with the load of others taken off.
func TestReportedLoad(t *testing.T) {
	run(t, strings.Replace(view(hostA), `"slots":2`, `"slots":0`, 1), func(r *rig) {
		r.metrics.Store("# TYPE engine_requests_running gauge\nengine_requests_running 1\nengine_requests_waiting 1\nengine_slots 4\n")
		time.Sleep(1100 * time.Millisecond)
		for range 5 {
			r.call(`{"caller":"shop"}`)
		}
		check(t, 2, len(r.live()))
	})
}

// Each dispatch must leave one line with its reason and alternatives.
func TestLogLine(t *testing.T) {
	run(t, view(hostA+","+hostB), func(r *rig) {
		r.call(`{"caller":"shop"}`)
		check(t, 1, len(r.lines.Entries))
		e := r.lines.Entries[0]
		check(t, "sched: runner chosen", e.Message)
		check(t, "[alternatives attempt backend-server call caller reason service]", fieldNames(e))
	})
}

// P9: an older configuration must not come back into force.
func TestOldConfiguration(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		r.view(strings.Replace(strings.Replace(view(hostA), `"version":1`, `"version":2`, 1), `"slots":2`, `"slots":1`, 1))
		r.view(view(hostA))
		r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		check(t, []string{"a:1 shop"}, r.live())
	})
}
