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

// serve runs f on one end of a stream, which is closed after it, and returns
// the other end.
func serve(f func(c context.Context, s *frame.Stream)) (*frame.Stream, <-chan struct{}) {
	a, b := net.Pipe()
	d := make(chan struct{})
	go func() {
		defer close(d)
		defer a.Close()
		f(context.Background(), frame.New(a))
	}()
	return frame.New(b), d
}

// A peer that closes its side must cancel its call, also while the scheduler
// sends to it, and a peer that stays must get the whole answer.
func TestServeCall(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		q := wire.Call_builder{AttemptId: proto.String("entry.a"), Service: proto.String("lm")}.Build()
		for _, k := range []bool{false, true} {
			s, d := serve(func(c context.Context, s *frame.Stream) { r.s.ServeCall(c, s, q) })
			synctest.Wait()
			a := r.attempts[len(r.attempts)-1]
			if k {
				a.head(200)
				a.data("nobody reads this")
				synctest.Wait()
				check(t, nil, s.Close())
				<-d
				synctest.Wait()
				check(t, true, a.cancelled())
				continue
			}
			a.answer("one")
			l := ""
			for range 3 {
				m := &wire.Reply{}
				check(t, nil, s.Recv(m))
				check(t, "entry.a", m.GetAttemptId())
				l += string(m.GetData().GetChunk()) + m.GetEnd().GetVerdict().String() + " "
			}
			check(t, "VERDICT_UNSPECIFIED oneVERDICT_UNSPECIFIED VERDICT_RAN ", l)
			<-d
		}
		check(t, []string{}, r.live())
	})
}

// A subscriber must learn at once that the slots are used up, and must not get
// a report without news.
func TestServeReport(t *testing.T) {
	run(t, view(hostA), func(r *rig) {
		s, d := serve(func(c context.Context, s *frame.Stream) { r.s.ServeReport(c, s, nil) })
		l := make(chan int32, 100)
		go func() {
			m := &wire.Report{}
			for s.Recv(m) == nil {
				l <- m.GetServices()[0].GetFreeOnlineSlots()
			}
		}()
		check(t, int32(2), <-l)
		time.Sleep(5 * time.Second)
		check(t, 0, len(l))
		r.call(`{"caller":"shop"}`)
		r.call(`{"caller":"shop"}`)
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		check(t, int32(0), <-l)
		check(t, 0, len(l))
		check(t, nil, s.Close())
		<-d
	})
}
