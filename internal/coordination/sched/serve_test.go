package sched_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// serveStream runs the handler on one end of a stream, closes that end when the
// handler returns, and returns the other end.
func serveStream(handler func(c context.Context, s *frame.Stream)) (*frame.Stream, <-chan struct{}) {
	a, b := net.Pipe()
	d := make(chan struct{})
	go func() {
		defer close(d)
		defer a.Close()
		handler(context.Background(), frame.New(a))
	}()
	return frame.New(b), d
}

// Guards against a call that keeps running after its peer has closed the
// stream, also while the scheduler is sending to it, and against a truncated
// answer for a peer that stays connected.
func TestClosedPeerCancelsCall(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		q := wire.Call_builder{AttemptId: proto.String("entry.a"), Service: proto.String("lm")}.Build()
		for _, k := range []bool{false, true} {
			s, d := serveStream(func(c context.Context, s *frame.Stream) { r.scheduler.ServeCall(c, s, q) })
			synctest.Wait()
			a := r.attempts[len(r.attempts)-1]
			if k {
				a.sendHead(200)
				a.sendData("nobody reads this")
				synctest.Wait()
				checkEqual(t, nil, s.Close())
				<-d
				synctest.Wait()
				checkEqual(t, true, a.cancelled())
				continue
			}
			a.sendAnswer("one")
			l := ""
			for range 3 {
				m := &wire.Reply{}
				checkEqual(t, nil, s.Recv(m))
				checkEqual(t, "entry.a", m.GetAttemptId())
				l += string(m.GetData().GetChunk()) + m.GetEnd().GetVerdict().String() + " "
			}
			checkEqual(t, "VERDICT_UNSPECIFIED oneVERDICT_UNSPECIFIED VERDICT_RAN ", l)
			<-d
		}
		checkEqual(t, []string{}, r.inFlight())
	})
}

// Guards against late and needless reports: a subscriber must be informed
// immediately when all slots are taken, and must receive no report without a
// change.
func TestReportIsSentOnChangeOnly(t *testing.T) {
	runScheduler(t, viewWithHosts(hostA), func(r *harness) {
		s, d := serveStream(func(c context.Context, s *frame.Stream) { r.scheduler.ServeReport(c, s, nil) })
		l := make(chan int32, 100)
		go func() {
			m := &wire.Report{}
			for s.Recv(m) == nil {
				l <- m.GetServices()[0].GetFreeOnlineSlots()
			}
		}()
		checkEqual(t, int32(2), <-l)
		// Both calls come between two reports, 200 ms apart, so that one report has them both.
		time.Sleep(5*time.Second + 100*time.Millisecond)
		checkEqual(t, 0, len(l))
		r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		checkEqual(t, int32(0), <-l)
		checkEqual(t, 0, len(l))
		checkEqual(t, nil, s.Close())
		<-d
	})
}
