package invoke

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	connectTimeout = time.Second
	// Time allowed for each token of an answer that is not streamed, about
	// twice the 27 ms between tokens that 95 in 100 must keep.
	wholeTokenTime = 50 * time.Millisecond
	// An engine that has not answered by then has gone silent or is so
	// overloaded that another one answers sooner.
	firstByteTimeout = 10 * time.Second
	// Batch calls may wait in the engine's own queue.
	batchFirstByteTimeout = 60 * time.Second
	// Between the chunks of an event stream. Far above the time between
	// tokens of an engine that runs.
	chunkTimeout = 2 * time.Second
	// Below the idle timeout of common servers, so that a kept connection is
	// seldom closed by the server while a request is being sent.
	idleTimeout = 30 * time.Second
	// Kept connections for each backend server, about its slots.
	idleConnections = 64
	// A refusal's body is read to its end to know that it is complete.
	maxRefusalBytes = 64 << 10
	// Wait when a refusal names none.
	defaultRetryAfter = time.Second
)

// Client is a trail.Caller whose target is a backend server's IP and port.
type Client struct {
	l log.Interface
	// Keeps connections between calls. It repeats a request by itself when a
	// kept connection turns out to be closed, so only idempotent calls use it.
	kept *http.Transport
	// Makes a connection for each call and so never repeats a request.
	fresh *http.Transport
	ends  *prometheus.CounterVec
	first prometheus.Histogram
}

// New returns a client that connects through d and registers its metrics at r.
func New(d trail.Dialer, l log.Interface, r prometheus.Registerer) *Client {
	k := transport(d)
	f := transport(d)
	f.DisableKeepAlives = true
	s := &Client{
		l: l, kept: k, fresh: f,
		ends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_backend_calls_total",
			Help: "Calls to backend servers by verdict and code.",
		}, []string{"verdict", "code"}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bulrushtrail_backend_head_seconds",
			Help:    "Time from the start of a call to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	r.MustRegister(s.ends, s.first)
	return s
}

func transport(d trail.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(c context.Context, network, address string) (net.Conn, error) {
			c, f := context.WithTimeoutCause(c, connectTimeout, errConnect)
			defer f()
			n, e := d.DialContext(c, network, address)
			if e != nil {
				return nil, dialError{e}
			}
			return &connection{Conn: n}, nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idleConnections,
	}
}

// Call sends the request to the backend server at target and returns when the
// head of the answer is there or the call has failed. An error means that the
// request did not run: its verdict is NotRun. Codes: backend-unreachable,
// backend-leaving and backend-busy (both with a wait), cancelled,
// deadline-exceeded, invalid-call. Later failures end the replies.
func (s *Client) Call(c context.Context, target string, r *wire.Call) (trail.Replies, error) {
	b := time.Now()
	c, p := newProgress(c, r)
	q, f := request(c, p, target, r)
	if f != nil {
		p.stop()
		return nil, s.refused(f)
	}
	t := s.kept
	if r.GetNonIdempotent() {
		t = s.fresh
	}
	a, e := t.RoundTrip(q)
	if e != nil {
		return s.unanswered(p, target, r, e)
	}
	s.first.Observe(time.Since(b).Seconds())
	f = refusal(p, a)
	if f != nil {
		p.stop()
		return nil, s.refused(f.WithPlace(target))
	}
	return newReplies(s, p, target, r, a), nil
}

// unanswered ends a call whose answer has not begun.
func (s *Client) unanswered(p *progress, target string, r *wire.Call, cause error) (trail.Replies, error) {
	k := classify(p, cause)
	w := p.written()
	p.stop()
	if !w {
		switch {
		case !p.sought.Load():
			k.code = codeInvalid
		case k.code == codeLost || k.code == codeSilent:
			k.code = codeUnreachable
		}
		return nil, s.refused(trail.WrapError(cause, k.code, trail.NotRun, "request was not sent").WithPlace(target))
	}
	return &replies{s: s, p: p, target: target, r: r, state: stateEnd, end: k.end(0)}, nil
}

// refused counts a call that did not run.
func (s *Client) refused(e *trail.Error) error {
	s.ends.WithLabelValues(e.Verdict().String(), e.Code()).Inc()
	return e
}

// ended counts a call and, when it was cut, drops the kept connections:
// others to the same backend server may have gone silent too, and a new
// connection costs less than another timeout.
func (s *Client) ended(target string, r *wire.Call, e *wire.End) {
	s.ends.WithLabelValues(trail.VerdictFromProto(e.GetVerdict()).String(), e.GetCode()).Inc()
	if e.GetCode() == "" {
		return
	}
	if e.GetCode() == codeSilent {
		s.kept.CloseIdleConnections()
	}
	s.l.WithFields(log.Fields{
		"attempt-id": r.GetAttemptId(), "target": target, "code": e.GetCode(),
		"verdict": trail.VerdictFromProto(e.GetVerdict()).String(), "crashed": e.GetCrashed(),
	}).Info("invoke: call ended without an answer")
}
