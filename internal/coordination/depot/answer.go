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

// defaultRetention applies to answers that are sent without an expiry time.
const defaultRetention = 24 * time.Hour

// ServeAnswer registers an attempt, stores or reads an answer, or abandons an
// attempt. After a granted Begin the stream stays open. The opener renews the
// registration by sending the same Begin again, which gets no reply, and ends
// the registration by closing its side.
func (d *Depot) ServeAnswer(ctx context.Context, stream *frame.Stream, request *wire.Answer) {
	var r *wire.AnswerReply
	switch request.GetAction() {
	case wire.Answer_ACTION_BEGIN:
		r = d.beginAnswer(ctx, request)
	case wire.Answer_ACTION_STORE:
		r = d.storeAnswer(ctx, request)
	case wire.Answer_ACTION_READ:
		r = d.readAnswer(ctx, request)
	case wire.Answer_ACTION_ABANDON:
		d.unregister(request.GetCaller(), request.GetRequestId(), request.GetAttemptId())
		r = newReply(wire.AnswerReply_RESULT_MISSING, "the registration has ended")
	default:
		r = newReply(wire.AnswerReply_RESULT_FAILED, "unknown action")
	}
	d.operations.WithLabelValues(request.GetAction().String(), r.GetResult().String()).Inc()
	d.logger.WithFields(log.Fields{
		"action": request.GetAction().String(), "result": r.GetResult().String(), "caller": request.GetCaller(),
		"request-id": request.GetRequestId(), "attempt-id": request.GetAttemptId(), "copies": r.GetCopies(), "message": r.GetMessage(),
	}).Info("depot: answer request served")
	_ = stream.SetDeadline(time.Now().Add(progressTimeout))
	e := stream.Send(r)
	if request.GetAction() != wire.Answer_ACTION_BEGIN || r.GetResult() != wire.AnswerReply_RESULT_BEGUN {
		return
	}
	if e == nil {
		d.renewRegistration(ctx, stream, request)
	}
	d.unregister(request.GetCaller(), request.GetRequestId(), request.GetAttemptId())
}

// renewRegistration keeps a registration for as long as its stream renews it.
func (d *Depot) renewRegistration(ctx context.Context, stream *frame.Stream, request *wire.Answer) {
	for {
		_ = stream.SetDeadline(time.Now().Add(leaseDuration))
		e := stream.Recv(&wire.Answer{})
		if e != nil || d.register(ctx, request) != wire.AnswerReply_RESULT_BEGUN {
			return
		}
	}
}

// beginAnswer registers the attempt before it reads the answer, so that an
// answer stored in between is found.
func (d *Depot) beginAnswer(ctx context.Context, request *wire.Answer) *wire.AnswerReply {
	if !d.beginWrite(ctx) {
		return newReply(wire.AnswerReply_RESULT_FAILED, "the depot is shutting down")
	}
	defer d.endWrite()
	k := d.register(ctx, request)
	a, e := d.answers.Read(ctx, request.GetCaller(), request.GetRequestId())
	if e != nil && trail.CodeOf(e) != "answer-missing" {
		d.unregister(request.GetCaller(), request.GetRequestId(), request.GetAttemptId())
		return newReply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	if e != nil {
		return newReply(k, "")
	}
	if k == wire.AnswerReply_RESULT_BEGUN {
		d.unregister(request.GetCaller(), request.GetRequestId(), request.GetAttemptId())
	}
	return storedReply(a, request)
}

func (d *Depot) readAnswer(ctx context.Context, request *wire.Answer) *wire.AnswerReply {
	a, e := d.answers.Read(ctx, request.GetCaller(), request.GetRequestId())
	if e == nil {
		return storedReply(a, request)
	}
	if trail.CodeOf(e) != "answer-missing" {
		return newReply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	r := make(chan bool, 1)
	e = d.sendMessage(ctx, message{isRunning: &runningRequest{requestKey{request.GetCaller(), request.GetRequestId()}, r}})
	if e == nil && <-r {
		return newReply(wire.AnswerReply_RESULT_RUNNING, "")
	}
	return newReply(wire.AnswerReply_RESULT_MISSING, "")
}

// storeAnswer stores the answer, sends the answer that is kept for the request
// to the second depot and ends the registration.
func (d *Depot) storeAnswer(ctx context.Context, request *wire.Answer) *wire.AnswerReply {
	if !d.beginWrite(ctx) {
		return newReply(wire.AnswerReply_RESULT_FAILED, "the depot is shutting down")
	}
	defer d.endWrite()
	if !request.HasStored() {
		return newReply(wire.AnswerReply_RESULT_FAILED, "the request holds no answer")
	}
	if request.GetStored().GetDigest() == "" {
		request.GetStored().SetDigest(request.GetDigest())
	}
	if request.GetStored().GetExpiresUnixMs() == 0 {
		request.GetStored().SetExpiresUnixMs(time.Now().Add(defaultRetention).UnixMilli())
	}
	w := proto.CloneOf(request)
	w.ClearCopyTo()
	a, e := d.answers.Store(ctx, w)
	if e != nil {
		return newReply(wire.AnswerReply_RESULT_FAILED, e.Error())
	}
	d.unregister(request.GetCaller(), request.GetRequestId(), "")
	r := storedReply(a, request)
	if r.GetResult() != wire.AnswerReply_RESULT_STORED {
		return r
	}
	r.SetCopies(1)
	if request.GetCopyTo() == "" {
		return r
	}
	w.SetStored(a)
	e = d.sendAnswer(ctx, request.GetCopyTo(), w)
	if e != nil {
		r.SetMessage("no second copy: " + e.Error())
		return r
	}
	r.SetCopies(2)
	return r
}

// sendAnswer stores an answer at another depot.
func (d *Depot) sendAnswer(ctx context.Context, address string, request *wire.Answer) error {
	p := &wire.Open{}
	p.SetAnswer(request)
	s, e := d.mesh.Open(ctx, address, p)
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
	if r.GetCopies() > 0 && !proto.Equal(r.GetStored(), request.GetStored()) {
		return trail.NewError("copy-failed", trail.NotRun, "the other depot holds an earlier answer")
	}
	if r.GetCopies() == 0 {
		return trail.NewError("copy-failed", trail.NotRun, "the other depot answers %s: %s", r.GetResult().String(), r.GetMessage())
	}
	return nil
}

// register creates or renews a registration.
func (d *Depot) register(ctx context.Context, request *wire.Answer) wire.AnswerReply_Result {
	r := make(chan wire.AnswerReply_Result, 1)
	e := d.sendMessage(ctx, message{register: &registerRequest{
		key: requestKey{request.GetCaller(), request.GetRequestId()}, attempt: request.GetAttemptId(), digest: request.GetDigest(), reply: r,
	}})
	if e != nil {
		return wire.AnswerReply_RESULT_FAILED
	}
	return <-r
}

// unregister ends a registration. It takes no context because the message must
// reach the owner goroutine even after the request's context has ended.
func (d *Depot) unregister(caller, requestID, attemptID string) {
	_ = d.sendMessage(context.Background(), message{unregister: &unregisterRequest{requestKey{caller, requestID}, attemptID}})
}

// storedReply returns a reply with the stored answer, or RESULT_MISMATCH if the
// answer belongs to a request with another digest.
func storedReply(stored *wire.StoredAnswer, request *wire.Answer) *wire.AnswerReply {
	if request.GetDigest() != "" && stored.GetDigest() != "" && request.GetDigest() != stored.GetDigest() {
		return newReply(wire.AnswerReply_RESULT_MISMATCH, "the request id was used with another request")
	}
	r := newReply(wire.AnswerReply_RESULT_STORED, "")
	r.SetStored(stored)
	return r
}

func newReply(result wire.AnswerReply_Result, text string) *wire.AnswerReply {
	r := &wire.AnswerReply{}
	r.SetResult(result)
	r.SetMessage(text)
	return r
}
