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
	unstreamedTimePerToken = 50 * time.Millisecond
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
	maxIdleConnsPerServer = 64
	// A refusal's body is read to its end to know that it is complete.
	maxRejectionBytes = 64 << 10
	// Wait when a refusal names none.
	defaultRetryAfter = time.Second
)

// Client is a trail.Caller whose target is a backend server's IP and port.
type Client struct {
	logger log.Interface
	// Keeps connections between calls. It repeats a request by itself when a
	// kept connection turns out to be closed, so only idempotent calls use it.
	keepAlive *http.Transport
	// Makes a connection for each call and so never repeats a request.
	singleUse   *http.Transport
	calls       *prometheus.CounterVec
	headSeconds prometheus.Histogram
}

// New returns a client that connects through d and registers its metrics at r.
func New(dialer trail.Dialer, logger log.Interface, registry prometheus.Registerer) *Client {
	k := newTransport(dialer)
	f := newTransport(dialer)
	f.DisableKeepAlives = true
	s := &Client{
		logger: logger, keepAlive: k, singleUse: f,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_backend_calls_total",
			Help: "Calls to backend servers by verdict and code.",
		}, []string{"verdict", "code"}),
		headSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bulrushtrail_backend_head_seconds",
			Help:    "Time from the start of a call to the head of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	registry.MustRegister(s.calls, s.headSeconds)
	return s
}

func newTransport(dialer trail.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(c context.Context, network, address string) (net.Conn, error) {
			c, f := context.WithTimeoutCause(c, connectTimeout, errConnectTimeout)
			defer f()
			n, e := dialer.DialContext(c, network, address)
			if e != nil {
				return nil, dialError{e}
			}
			return &countingConn{Conn: n}, nil
		},
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
	}
}

// Call sends the request to the backend server at target and returns when the
// head of the answer is there or the call has failed. An error means that the
// request did not run: its verdict is NotRun. Codes: backend-unreachable,
// backend-leaving and backend-busy (both with a wait), cancelled,
// deadline-exceeded, invalid-call. Later failures end the replies.
func (s *Client) Call(ctx context.Context, target string, call *wire.Call) (trail.Replies, error) {
	b := time.Now()
	c, m := newCallMonitor(ctx, call)
	q, f := newHTTPRequest(c, m, target, call)
	if f != nil {
		m.stop()
		return nil, s.recordNotRun(f)
	}
	t := s.keepAlive
	if call.GetNonIdempotent() {
		t = s.singleUse
	}
	a, e := t.RoundTrip(q)
	if e != nil {
		return s.endWithoutHead(m, target, call, e)
	}
	s.headSeconds.Observe(time.Since(b).Seconds())
	f = rejection(m, a)
	if f != nil {
		m.stop()
		return nil, s.recordNotRun(f.WithPlace(target))
	}
	return newReplies(s, m, target, call, a), nil
}

// endWithoutHead ends a call whose answer has not begun.
func (s *Client) endWithoutHead(monitor *callMonitor, target string, call *wire.Call, cause error) (trail.Replies, error) {
	k := classify(monitor, cause)
	w := monitor.mayBeWritten()
	monitor.stop()
	if !w {
		switch {
		case !monitor.connRequested.Load():
			k.code = codeInvalid
		case k.code == codeLost || k.code == codeSilent:
			k.code = codeUnreachable
		}
		return nil, s.recordNotRun(trail.WrapError(cause, k.code, trail.NotRun, "request was not sent").WithPlace(target))
	}
	return &replies{client: s, monitor: monitor, target: target, call: call, state: stateEnd, end: k.end(0)}, nil
}

// recordNotRun counts a call that did not run.
func (s *Client) recordNotRun(err *trail.Error) error {
	s.calls.WithLabelValues(err.Verdict().String(), err.Code()).Inc()
	return err
}

// recordEnd counts a call and, when it was cut, drops the kept connections:
// others to the same backend server may have gone silent too, and a new
// connection costs less than another timeout.
func (s *Client) recordEnd(target string, call *wire.Call, end *wire.End) {
	s.calls.WithLabelValues(trail.VerdictFromProto(end.GetVerdict()).String(), end.GetCode()).Inc()
	if end.GetCode() == "" {
		return
	}
	if end.GetCode() == codeSilent {
		s.keepAlive.CloseIdleConnections()
	}
	s.logger.WithFields(log.Fields{
		"attempt-id": call.GetAttemptId(), "target": target, "code": end.GetCode(),
		"verdict": trail.VerdictFromProto(end.GetVerdict()).String(), "crashed": end.GetCrashed(),
	}).Info("invoke: call ended without an answer")
}
