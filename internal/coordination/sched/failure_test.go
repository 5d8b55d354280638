package sched_test

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against new work for a leaving backend server and against interrupting
// the work that it has (property P7). The scheduler must notice the shutdown by
// the host list, by the drain mark, or by a refused connection.
func TestLeavingServerGetsNoNewCalls(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		r.applyView(viewWithHosts(leavingA + "," + hostB))
		y := r.call(`{"caller":"shop"}`)
		checkEqual(t, []string{"a:1 shop", "b:1 shop"}, r.inFlight())
		r.attempts[0].sendAnswer("one")
		checkEqual(t, "body=one end=ran", x.String())
		r.attempts[1].sendHead(503, wire.Header_builder{Name: proto.String("Draining"), Values: []string{"true"}}.Build())
		synctest.Wait()
		checkEqual(t, "body= end=not_run code=backend-draining", y.String())
		z := r.call(`{"caller":"shop"}`)
		checkEqual(t, "body= end=not_run code=no-backend-server", z.String())

		r.applyView(viewWithHosts(`{"name":"r","service":"lm","address":"refused:1","ready":true},` + hostC))
		for range 2 {
			r.call(`{"caller":"shop"}`)
		}
		checkEqual(t, []string{"c:1 shop", "c:1 shop"}, r.inFlight())
	})
}

// Guards against new work for a backend server that sends its drain mark with an
// answer that it gives, and against interrupting that answer.
func TestServerThatLeavesGetsNewCalls(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		r.attempts[0].sendHead(200, wire.Header_builder{Name: proto.String("Draining"), Values: []string{"true"}}.Build())
		synctest.Wait()
		y := r.call(`{"caller":"shop"}`)
		checkEqual(t, "body= end=not_run code=no-backend-server", y.String())
		r.applyView(viewWithHosts(hostA + "," + hostB))
		r.call(`{"caller":"shop"}`)
		checkEqual(t, []string{"a:1 shop", "b:1 shop"}, r.inFlight())
		r.attempts[0].sendData("one")
		r.attempts[0].sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		checkEqual(t, "body=one end=ran", x.String())
	})
}

// Guards against calls beyond the rate that a backend server names, against batch
// calls that are rejected for it, and against a rate that stays after its end.
func TestServerGetsMoreThanItsLimit(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		f := func(headers ...*wire.Header) {
			a := r.attempts[len(r.attempts)-1]
			a.sendHead(200, headers...)
			a.sendData("one")
			a.sendEnd(wire.End_builder{Verdict: wire.Verdict_VERDICT_RAN.Enum()}.Build())
		}
		l := wire.Header_builder{Name: proto.String("Request-Limit"), Values: []string{"2.0"}}.Build()
		r.call(`{"caller":"shop"}`)
		f(l)
		x := r.call(`{"caller":"shop"}`)
		checkEqual(t, "body= end=not_run code=no-backend-server", x.String())
		checkEqual(t, true, x.outcome.GetRetryAfterMs() > 0)
		r.call(`{"caller":"region","class":"CLASS_BATCH"}`)
		checkEqual(t, 1, len(r.attempts))
		// This call also orders the check before the attempt that follows.
		z := r.call(`{"caller":"shop"}`)
		checkEqual(t, "body= end=not_run code=no-backend-server", z.String())
		time.Sleep(700 * time.Millisecond)
		synctest.Wait()
		checkEqual(t, 2, len(r.attempts))
		f(l)
		n := len(r.attempts)
		for range 400 {
			r.call(`{"caller":"shop"}`)
			if len(r.attempts) > n {
				n = len(r.attempts)
				f(l)
			}
			time.Sleep(10 * time.Millisecond)
		}
		checkEqual(t, true, n-2 <= 17 && n-2 >= 4)
		time.Sleep(time.Second)
		r.call(`{"caller":"shop"}`)
		f()
		r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		checkEqual(t, 2, len(r.inFlight()))
	})
}

// Guards against a change of ownership that interrupts calls in flight.
func TestReleasedServerCompletesItsCalls(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		r.applyView(strings.Replace(viewWithHosts(hostA), "sched-1", "sched-2", 1))
		y := r.call(`{"caller":"shop"}`)
		checkEqual(t, "body= end=not_run code=no-backend-server", y.String())
		r.attempts[0].sendAnswer("one")
		checkEqual(t, "body=one end=ran", x.String())
	})
}

// Guards against a request that keeps crashing backend servers, and against
// innocent requests that are rejected with it. After two crashes the request
// must be rejected, also when it is sent again, while a request that shared the
// first backend server must be completed.
func TestCrashingRequestIsRejected(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		for range 20 {
			r.call(`{"caller":"shop"}`)
			r.attempts[len(r.attempts)-1].sendAnswer("")
		}
		r.attempts = nil
		x := r.call(`{"caller":"bad","fingerprint":7}`)
		y := r.call(`{"caller":"shop","fingerprint":8}`)
		r.applyView(viewWithHosts(hostA + "," + hostB + "," + hostC))
		r.attempts[0].sendCrash()
		r.attempts[1].sendCrash()
		// One suspect runs at a time, alone on a backend server.
		l := r.inFlight()
		checkEqual(t, 1, len(l))
		a := r.attempts[2]
		checkEqual(t, "bad", a.request.GetCaller())
		r.call(`{"caller":"other"}`)
		checkEqual(t, false, r.attempts[3].address == a.address)
		a.sendCrash()
		checkEqual(t, "body= end=may_have_run code=request-rejected", x.String())
		// The other suspect waits for an idle backend server.
		checkEqual(t, []string{r.attempts[3].address + " other"}, r.inFlight())
		r.attempts[3].sendAnswer("")
		checkEqual(t, "shop", r.attempts[4].request.GetCaller())
		r.attempts[4].sendAnswer("fine")
		checkEqual(t, "body=fine end=ran", y.String())
		z := r.call(`{"caller":"bad","fingerprint":7}`)
		checkEqual(t, "body= end=not_run code=request-rejected", z.String())
		checkEqual(t, 5, len(r.attempts))
	})
}

// Guards against retries that multiply the load in an outage. The target is at
// most 1.1 attempts per request; one extra retry is allowed before the first
// ten requests.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA+","+hostB+","+hostC), func(r *harness) {
		for range 100 {
			r.call(`{"caller":"shop","service":"lm"}`)
			for _, a := range r.attempts {
				if !a.cancelled() {
					a.replies <- trail.NewError("backend-failed", trail.MayHaveRun, "connection reset")
					synctest.Wait()
				}
			}
			// Longer than the longest ejection.
			time.Sleep(31 * time.Second)
		}
		checkEqual(t, true, len(r.attempts) > 100)
		checkEqual(t, true, len(r.attempts) <= 111)
	})
}

// Guards against a non-idempotent call that runs twice (property P6): it must
// not be retried once a connection was made, even if its verdict would permit
// that. If no connection was made, it must be retried elsewhere.
func TestNonIdempotentCallIsNotRepeated(t *testing.T) {
	runScheduler(t, viewWithHosts(desks), func(r *harness) {
		x := r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		r.attempts[0].replies <- trail.NewError("backend-lost", trail.MayHaveRun, "connection reset")
		synctest.Wait()
		checkEqual(t, "body= end=may_have_run code=backend-lost", x.String())
		checkEqual(t, int64(0), x.outcome.GetRetryAfterMs())
		y := r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		r.attempts[1].replies <- trail.NewError("backend-failed", trail.NotRun, "nothing was written")
		synctest.Wait()
		checkEqual(t, "body= end=not_run code=backend-failed", y.String())
		checkEqual(t, 2, len(r.attempts))
	})
	runScheduler(t, viewWithHosts(strings.Replace(desks, "a:1", "refused:1", 1)), func(r *harness) {
		for range 2 {
			r.call(`{"caller":"shop","service":"desk","nonIdempotent":true}`)
		}
		checkEqual(t, []string{"b:1 shop", "b:1 shop"}, r.inFlight())
	})
}

// Guards against an answer that starts anew on another backend server after a
// part of it was sent.
func TestNoRetryAfterData(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA+","+hostB), func(r *harness) {
		x := r.call(`{"caller":"shop"}`)
		r.attempts[0].sendHead(200)
		r.attempts[0].sendData("half")
		r.attempts[0].sendCrash()
		checkEqual(t, "body=half end=may_have_run code=backend-lost", x.String())
		checkEqual(t, 1, len(r.attempts))
	})
}

// Guards against overfilling a backend server without configured slots: it must
// be filled up to the slots that it reports, less the load of other schedulers.
func TestReportedLoadLimitsDispatch(t *testing.T) {
	runScheduler(t, strings.Replace(viewWithHosts(hostA), `"slots":2`, `"slots":0`, 1), func(r *harness) {
		r.metrics.Store("# TYPE engine_requests_running gauge\nengine_requests_running 1\nengine_requests_waiting 1\nengine_slots 4\n")
		time.Sleep(1100 * time.Millisecond)
		for range 5 {
			r.call(`{"caller":"shop"}`)
		}
		checkEqual(t, 2, len(r.inFlight()))
	})
}

// Guards against a backend server that is given no calls after a loss although
// it answers again: its metrics may contain no load, or be refused.
func TestServerWithoutMetricsReturnsAfterLoss(t *testing.T) {
	var f error = trail.NewError("metrics-refused", trail.NotRun, "status 404")
	for _, a := range []*error{nil, &f} {
		runScheduler(t, viewWithHosts(hostA), func(r *harness) {
			var u error = &net.OpError{Op: "dial"}
			r.fetchError.Store(&u)
			r.call(`{"caller":"shop","fingerprint":7}`)
			r.attempts[0].sendCrash()
			time.Sleep(time.Minute)
			x := r.call(`{"caller":"shop","fingerprint":8}`)
			checkEqual(t, "body= end=not_run code=no-backend-server", x.String())
			r.fetchError.Store(a)
			time.Sleep(2 * time.Second)
			r.call(`{"caller":"shop","fingerprint":9}`)
			checkEqual(t, []string{"a:1 shop"}, r.inFlight())
		})
	}
}

// Guards against a dispatch that is not logged, or is logged without its reason
// and alternatives.
func TestDispatchIsLoggedOnce(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA+","+hostB), func(r *harness) {
		r.call(`{"caller":"shop"}`)
		checkEqual(t, 1, len(r.logLines.Entries))
		e := r.logLines.Entries[0]
		checkEqual(t, "sched: runner chosen", e.Message)
		checkEqual(t, "[alternatives attempt backend-server call caller reason service]", fieldNames(e))
	})
}

// Guards against an older configuration that replaces a newer one (property
// P9).
func TestOlderConfigurationIsIgnored(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		r.applyView(strings.Replace(strings.Replace(viewWithHosts(hostA), `"version":1`, `"version":2`, 1), `"slots":2`, `"slots":1`, 1))
		r.applyView(viewWithHosts(hostA))
		r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		checkEqual(t, []string{"a:1 shop"}, r.inFlight())
	})
}
