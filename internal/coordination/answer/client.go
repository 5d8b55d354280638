package answer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/mesh"
)

const (
	// Depots that Begin asks for an answer from before a change of members. A
	// depot that joins moves an earlier one back by one place at most, so that
	// these cover six joins within the time for which answers are kept. Asking
	// all would cost each question a message to each depot.
	beginReads = 8
	retryAfter = time.Second
)

// Client implements trail.AnswerStore.
type Client struct {
	m *mesh.Mesh
	v trail.Views
	l log.Interface
	// Messages to the task that owns the registrations.
	messages chan message
	done     chan struct{}
	results  *prometheus.CounterVec
}

var _ trail.AnswerStore = (*Client)(nil)

// New returns a client whose registrations end with c.
func New(c context.Context, m *mesh.Mesh, v trail.Views, l log.Interface, r prometheus.Registerer) *Client {
	k := &Client{
		m: m, v: v, l: l, messages: make(chan message), done: make(chan struct{}),
		results: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_recall_requests_total",
			Help: "Requests for stored answers by action and result.",
		}, []string{"action", "result"}),
	}
	go k.run(c)
	return k
}

// Begin implements trail.AnswerStore. A granted attempt must end with Store or
// Abandon. The error has the code "answers-unavailable" and the verdict
// NotRun when no depot could be asked.
func (k *Client) Begin(c context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	r = action(r, wire.Answer_ACTION_BEGIN)
	l := k.ranked(r)
	// The others are asked at the same time: none of them delays a Begin by
	// more than the first one takes anyway.
	q := make(chan *wire.AnswerReply, 1)
	go func() {
		w := action(r, wire.Answer_ACTION_READ)
		a, _ := k.readFrom(c, l[min(1, len(l)):min(beginReads, len(l))], w)
		q <- a
	}()
	var f error
	for _, m := range l {
		a, s, e := k.ask(c, m, r)
		if e != nil {
			f = e
			continue
		}
		if a.GetResult() != wire.AnswerReply_RESULT_BEGUN {
			_ = s.Close()
			return k.note(r, m, a), nil
		}
		o := <-q
		if x := o.GetResult(); x == wire.AnswerReply_RESULT_STORED || x == wire.AnswerReply_RESULT_MISMATCH {
			_ = s.Close()
			return k.note(r, m, o), nil
		}
		k.hold(s, r)
		return k.note(r, m, a), nil
	}
	return nil, k.unavailable(r, f, trail.NotRun)
}

// Store implements trail.AnswerStore. The reply holds the answer that stays. The
// error has the code "answers-unavailable" when no depot confirmed a copy.
func (k *Client) Store(c context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	r = action(r, wire.Answer_ACTION_STORE)
	defer k.release(r.GetAttemptId())
	l := k.ranked(r)
	var h *wire.AnswerReply
	var f error
	for i, m := range l {
		w := proto.CloneOf(r)
		if h == nil && i+1 < len(l) {
			w.SetCopyTo(l[i+1].GetPeerAddress())
		}
		if h != nil {
			w.SetStored(h.GetStored())
		}
		a, s, e := k.ask(c, m, w)
		if e != nil {
			f = e
			continue
		}
		_ = s.Close()
		if a.GetResult() != wire.AnswerReply_RESULT_STORED {
			return k.note(r, m, a), nil
		}
		if h == nil {
			h = a
		} else if proto.Equal(h.GetStored(), a.GetStored()) {
			h.SetCopies(h.GetCopies() + a.GetCopies())
		}
		if h.GetCopies() >= 2 {
			return k.note(r, m, h), nil
		}
	}
	if h == nil {
		return nil, k.unavailable(r, f, trail.MayHaveRun)
	}
	return k.note(r, nil, h), nil
}

// Read implements trail.AnswerStore. The error has the code "answers-unavailable"
// when a depot that may have the answer could not be asked.
func (k *Client) Read(c context.Context, r *wire.Answer) (*wire.AnswerReply, error) {
	r = action(r, wire.Answer_ACTION_READ)
	l := k.ranked(r)
	n := min(2, len(l))
	a, e := k.readFrom(c, l[:n], r)
	if a.GetResult() == wire.AnswerReply_RESULT_MISSING && len(l) > n {
		b, f := k.readFrom(c, l[n:], r)
		if b.GetResult() != wire.AnswerReply_RESULT_MISSING {
			a = b
		}
		if e == nil {
			e = f
		}
	}
	if a.GetResult() == wire.AnswerReply_RESULT_MISSING && (e != nil || len(l) == 0) {
		return nil, k.unavailable(r, e, trail.MayHaveRun)
	}
	return k.note(r, nil, a), nil
}

// Abandon implements trail.AnswerStore. It returns before the depot has ended the
// registration.
func (k *Client) Abandon(_ context.Context, r *wire.Answer) error {
	k.release(r.GetAttemptId())
	k.note(action(r, wire.Answer_ACTION_ABANDON), nil, &wire.AnswerReply{})
	return nil
}

// action returns a copy of the request with an action.
func action(r *wire.Answer, x wire.Answer_Action) *wire.Answer {
	w := proto.CloneOf(r)
	w.SetAction(x)
	w.ClearCopyTo()
	if x != wire.Answer_ACTION_STORE {
		w.ClearStored()
	}
	return w
}

// note logs and counts what was decided.
func (k *Client) note(r *wire.Answer, m *wire.Member, a *wire.AnswerReply) *wire.AnswerReply {
	x, y := r.GetAction().String(), a.GetResult().String()
	k.results.WithLabelValues(x, y).Inc()
	k.l.WithFields(log.Fields{
		"action": x, "result": y, "caller": r.GetCaller(), "request-id": r.GetRequestId(),
		"attempt-id": r.GetAttemptId(), "depot": m.GetId(), "copies": a.GetCopies(),
	}).Info("answer: answer request decided")
	return a
}

func (k *Client) unavailable(r *wire.Answer, cause error, v trail.Verdict) error {
	k.results.WithLabelValues(r.GetAction().String(), "unavailable").Inc()
	if cause == nil {
		return trail.NewError("answers-unavailable", v, "there is no depot").WithRetryAfter(retryAfter)
	}
	return trail.WrapError(cause, "answers-unavailable", v, "the depots for the answer can't be reached").WithRetryAfter(retryAfter)
}
