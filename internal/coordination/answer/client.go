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
	// Number of ranked depots in which Begin looks for an answer, because it may
	// have been stored before depots joined. A depot that joins moves another one
	// back by at most one place, so that eight cover six joins within the
	// retention time of answers. Querying all depots would cost each request a
	// message to each of them.
	maxBeginReads = 8
	retryAfter    = time.Second
)

// Client implements trail.AnswerStore.
type Client struct {
	mesh   *mesh.Mesh
	views  trail.Views
	logger log.Interface
	// Messages to the task that owns the registrations and the suspect depots.
	messages     chan message
	done         chan struct{}
	requestCount *prometheus.CounterVec
}

var _ trail.AnswerStore = (*Client)(nil)

// New returns a client whose registrations end when ctx is done.
func New(ctx context.Context, mesh *mesh.Mesh, views trail.Views, logger log.Interface, registry prometheus.Registerer) *Client {
	k := &Client{
		mesh: mesh, views: views, logger: logger, messages: make(chan message), done: make(chan struct{}),
		requestCount: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_recall_requests_total",
			Help: "Requests for stored answers by action and result.",
		}, []string{"action", "result"}),
	}
	go k.run(ctx)
	return k
}

// Begin implements trail.AnswerStore. An attempt that it registers must end with
// Store or Abandon. The error has the code "answers-unavailable" and the verdict
// NotRun when no depot could be queried.
func (k *Client) Begin(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	request = withAction(request, wire.Answer_ACTION_BEGIN)
	l := k.rankedDepots(request)
	// The other depots are queried at the same time, so that they add nothing to
	// the time that the call to the first one may take.
	q := make(chan *wire.AnswerReply, 1)
	go func() {
		w := withAction(request, wire.Answer_ACTION_READ)
		a, _ := k.readAny(ctx, l[min(1, len(l)):min(maxBeginReads, len(l))], w)
		q <- a
	}()
	var f error
	for _, m := range l {
		a, s, e := k.callDepot(ctx, m, request)
		if e != nil {
			f = e
			continue
		}
		if a.GetResult() != wire.AnswerReply_RESULT_BEGUN {
			_ = s.Close()
			return k.record(request, m, a), nil
		}
		o := <-q
		if x := o.GetResult(); x == wire.AnswerReply_RESULT_STORED || x == wire.AnswerReply_RESULT_MISMATCH {
			_ = s.Close()
			return k.record(request, m, o), nil
		}
		k.keepRegistered(s, request)
		return k.record(request, m, a), nil
	}
	return nil, k.unavailableError(request, f, trail.NotRun)
}

// Store implements trail.AnswerStore. The reply holds the answer that is kept,
// which is that of an earlier attempt if it was stored first. The error has the
// code "answers-unavailable" when no depot confirmed a copy.
func (k *Client) Store(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	request = withAction(request, wire.Answer_ACTION_STORE)
	defer k.release(request.GetAttemptId())
	l := k.rankedDepots(request)
	// The first confirmation of a copy, and the last failure.
	var h *wire.AnswerReply
	var f error
	for i, m := range l {
		w := proto.CloneOf(request)
		if h == nil && i+1 < len(l) {
			w.SetCopyTo(l[i+1].GetPeerAddress())
		}
		if h != nil {
			w.SetStored(h.GetStored())
		}
		a, s, e := k.callDepot(ctx, m, w)
		if e != nil {
			f = e
			continue
		}
		_ = s.Close()
		if a.GetResult() != wire.AnswerReply_RESULT_STORED {
			return k.record(request, m, a), nil
		}
		if h == nil {
			h = a
		} else if proto.Equal(h.GetStored(), a.GetStored()) {
			h.SetCopies(h.GetCopies() + a.GetCopies())
		}
		if h.GetCopies() >= 2 {
			return k.record(request, m, h), nil
		}
	}
	if h == nil {
		return nil, k.unavailableError(request, f, trail.MayHaveRun)
	}
	return k.record(request, nil, h), nil
}

// Read implements trail.AnswerStore. The error has the code
// "answers-unavailable" when a depot that may have the answer could not be
// queried.
func (k *Client) Read(ctx context.Context, request *wire.Answer) (*wire.AnswerReply, error) {
	request = withAction(request, wire.Answer_ACTION_READ)
	l := k.rankedDepots(request)
	n := min(2, len(l))
	a, e := k.readAny(ctx, l[:n], request)
	if a.GetResult() == wire.AnswerReply_RESULT_MISSING && len(l) > n {
		b, f := k.readAny(ctx, l[n:], request)
		if b.GetResult() != wire.AnswerReply_RESULT_MISSING {
			a = b
		}
		if e == nil {
			e = f
		}
	}
	if a.GetResult() == wire.AnswerReply_RESULT_MISSING && (e != nil || len(l) == 0) {
		return nil, k.unavailableError(request, e, trail.MayHaveRun)
	}
	return k.record(request, nil, a), nil
}

// Abandon implements trail.AnswerStore. It returns before the depot has removed
// the registration.
func (k *Client) Abandon(_ context.Context, request *wire.Answer) error {
	k.release(request.GetAttemptId())
	k.record(withAction(request, wire.Answer_ACTION_ABANDON), nil, &wire.AnswerReply{})
	return nil
}

// withAction returns a copy of the request with another action. It drops the
// fields that the action doesn't use.
func withAction(request *wire.Answer, newAction wire.Answer_Action) *wire.Answer {
	w := proto.CloneOf(request)
	w.SetAction(newAction)
	w.ClearCopyTo()
	if newAction != wire.Answer_ACTION_STORE {
		w.ClearStored()
	}
	return w
}

// record logs and counts the result of a request, and returns the reply.
func (k *Client) record(request *wire.Answer, member *wire.Member, reply *wire.AnswerReply) *wire.AnswerReply {
	x, y := request.GetAction().String(), reply.GetResult().String()
	k.requestCount.WithLabelValues(x, y).Inc()
	// The prefix is "recall", not the package name, because operators match it.
	k.logger.WithFields(log.Fields{
		"action": x, "result": y, "caller": request.GetCaller(), "request-id": request.GetRequestId(),
		"attempt-id": request.GetAttemptId(), "depot": member.GetId(), "copies": reply.GetCopies(),
	}).Info("recall: answer request completed")
	return reply
}

func (k *Client) unavailableError(request *wire.Answer, cause error, verdict trail.Verdict) error {
	k.requestCount.WithLabelValues(request.GetAction().String(), "unavailable").Inc()
	if cause == nil {
		return trail.NewError("answers-unavailable", verdict, "no depot is in the list of members").WithRetryAfter(retryAfter)
	}
	return trail.WrapError(cause, "answers-unavailable", verdict, "depots of the answer are unreachable").WithRetryAfter(retryAfter)
}
