package depot

import (
	"context"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

// defaultRetention is for answers whose sender names no expiry.
const defaultRetention = 24 * time.Hour

// ServeAnswer registers, stores, reads or abandons. After a Begin that was
// granted the stream stays open: the opener renews the registration by sending
// the same Begin again, gets no reply to it, and ends it by closing its side.
func (d *Depot) ServeAnswer(c context.Context, s *frame.Stream, o *wire.Answer) {
	var r *wire.AnswerReply
	switch o.GetAction() {
	case wire.Answer_ACTION_BEGIN:
		r = d.begin(c, o)
	case wire.Answer_ACTION_STORE:
		r = d.storeAnswer(c, o)
	case wire.Answer_ACTION_READ:
		r = d.readAnswer(c, o)
	case wire.Answer_ACTION_ABANDON:
		d.end(o.GetCaller(), o.GetRequestId(), o.GetAttemptId())
		r = reply(wire.AnswerReply_RESULT_MISSING, "the registration has ended")
	default:
		r = reply(wire.AnswerReply_RESULT_FAILED, "unknown action")
	}
	d.served.WithLabelValues(o.GetAction().String(), r.GetResult().String()).Inc()
	d.l.WithFields(log.Fields{
		"action": o.GetAction().String(), "result": r.GetResult().String(), "caller": o.GetCaller(),
		"request-id": o.GetRequestId(), "attempt-id": o.GetAttemptId(), "copies": r.GetCopies(), "message": r.GetMessage(),
	}).Info("depot: answer request served")
	_ = s.SetDeadline(time.Now().Add(progressTimeout))
	e := s.Send(r)
	if o.GetAction() != wire.Answer_ACTION_BEGIN || r.GetResult() != wire.AnswerReply_RESULT_BEGUN {
		return
	}
	if e == nil {
		d.hold(c, s, o)
	}
	d.end(o.GetCaller(), o.GetRequestId(), o.GetAttemptId())
}

// hold keeps a registration while its stream renews it.
func (d *Depot) hold(c context.Context, s *frame.Stream, o *wire.Answer) {
	for {
		_ = s.SetDeadline(time.Now().Add(leaseTime))
		e := s.Recv(&wire.Answer{})
		if e != nil || d.register(c, o) != wire.AnswerReply_RESULT_BEGUN {
			return
		}
	}
}

// begin registers first and looks for the answer then: an answer that is
// stored in between is found.
func (d *Depot) begin(c context.Context, o *wire.Answer) *wire.AnswerReply {
	if !d.enter(c) {
		return reply(wire.AnswerReply_RESULT_FAILED, "the depot is shutting down")
	}
	defer d.leave()
	k := d.register(c, o)
	a, e := d.answers.Read(c, o.GetCaller(), o.GetRequestId())
	if e != nil && trail.CodeOf(e) != "answer-missing" {
		d.end(o.GetCaller(), o.GetRequestId(), o.GetAttemptId())
		return reply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	if e != nil {
		return reply(k, "")
	}
	if k == wire.AnswerReply_RESULT_BEGUN {
		d.end(o.GetCaller(), o.GetRequestId(), o.GetAttemptId())
	}
	return found(a, o)
}

func (d *Depot) readAnswer(c context.Context, o *wire.Answer) *wire.AnswerReply {
	a, e := d.answers.Read(c, o.GetCaller(), o.GetRequestId())
	if e == nil {
		return found(a, o)
	}
	if trail.CodeOf(e) != "answer-missing" {
		return reply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	r := make(chan bool, 1)
	e = d.tell(c, message{running: &running{question{o.GetCaller(), o.GetRequestId()}, r}})
	if e == nil && <-r {
		return reply(wire.AnswerReply_RESULT_RUNNING, "")
	}
	return reply(wire.AnswerReply_RESULT_MISSING, "")
}

// storeAnswer keeps the answer, sends the one that stays to the second depot
// and ends the registration.
func (d *Depot) storeAnswer(c context.Context, o *wire.Answer) *wire.AnswerReply {
	if !d.enter(c) {
		return reply(wire.AnswerReply_RESULT_FAILED, "the depot is shutting down")
	}
	defer d.leave()
	if !o.HasStored() {
		return reply(wire.AnswerReply_RESULT_FAILED, "the request holds no answer")
	}
	if o.GetStored().GetDigest() == "" {
		o.GetStored().SetDigest(o.GetDigest())
	}
	if o.GetStored().GetExpiresUnixMs() == 0 {
		o.GetStored().SetExpiresUnixMs(time.Now().Add(defaultRetention).UnixMilli())
	}
	w := proto.CloneOf(o)
	w.ClearCopyTo()
	a, e := d.answers.Store(c, w)
	if e != nil {
		return reply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	d.end(o.GetCaller(), o.GetRequestId(), "")
	r := found(a, o)
	if r.GetResult() != wire.AnswerReply_RESULT_STORED {
		return r
	}
	r.SetCopies(1)
	if o.GetCopyTo() == "" {
		return r
	}
	w.SetStored(a)
	e = d.sendAnswer(c, o.GetCopyTo(), w)
	if e != nil {
		r.SetMessage("no second copy: " + e.Error())
		return r
	}
	r.SetCopies(2)
	return r
}

// sendAnswer stores an answer at another depot.
func (d *Depot) sendAnswer(c context.Context, address string, o *wire.Answer) error {
	p := &wire.Open{}
	p.SetAnswer(o)
	s, e := d.m.Open(c, address, p)
	if e != nil {
		return e
	}
	defer s.Close()
	_ = s.SetDeadline(time.Now().Add(progressTimeout))
	r := &wire.AnswerReply{}
	e = s.Recv(r)
	if e != nil {
		return e
	}
	if r.GetCopies() > 0 && !proto.Equal(r.GetStored(), o.GetStored()) {
		return trail.NewError("copy-failed", trail.NotRun, "the other depot holds an earlier answer")
	}
	if r.GetCopies() == 0 {
		return trail.NewError("copy-failed", trail.NotRun, "the other depot answers %s: %s", r.GetResult().String(), r.GetMessage())
	}
	return nil
}

// register takes or renews a registration.
func (d *Depot) register(c context.Context, o *wire.Answer) wire.AnswerReply_Result {
	r := make(chan wire.AnswerReply_Result, 1)
	e := d.tell(c, message{begin: &begin{
		q: question{o.GetCaller(), o.GetRequestId()}, attempt: o.GetAttemptId(), digest: o.GetDigest(), reply: r,
	}})
	if e != nil {
		return wire.AnswerReply_RESULT_FAILED
	}
	return <-r
}

// end must reach the task even when the request's context has ended.
func (d *Depot) end(caller, request, attempt string) {
	_ = d.tell(context.Background(), message{end: &end{question{caller, request}, attempt}})
}

// found replies with a stored answer unless it belongs to another request.
func found(a *wire.StoredAnswer, o *wire.Answer) *wire.AnswerReply {
	if o.GetDigest() != "" && a.GetDigest() != "" && o.GetDigest() != a.GetDigest() {
		return reply(wire.AnswerReply_RESULT_MISMATCH, "the request id was used with another request")
	}
	r := reply(wire.AnswerReply_RESULT_STORED, "")
	r.SetStored(a)
	return r
}

func reply(k wire.AnswerReply_Result, text string) *wire.AnswerReply {
	r := &wire.AnswerReply{}
	r.SetResult(k)
	r.SetMessage(text)
	return r
}
