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
	// Added to the read timeout for each token of a response that is not
	// streamed. About twice the latency target of 27 ms between tokens at the
	// 95th percentile.
	unstreamedTimePerToken = 50 * time.Millisecond
	// An engine that has not responded by then hangs, or is so overloaded that
	// another one responds sooner.
	firstByteTimeout = 10 * time.Second
	// Longer, because batch calls may wait in the engine's own queue.
	batchFirstByteTimeout = 60 * time.Second
	// Maximum time between the chunks of an event stream. Far above the time
	// between tokens of a working engine.
	chunkTimeout = 2 * time.Second
	// Below the idle timeout of common servers, so that a server rarely closes
	// an idle connection while a request is being sent on it.
	idleTimeout = 30 * time.Second
	// Approximately the number of slots of a backend server.
	maxIdleConnsPerServer = 64
	// The body of a rejection is read to its end to verify that it is complete.
	maxRejectionBytes = 64 << 10
	// Greatest status of HTTP (RFC 9110, section 15).
	maxStatus = 599
	// Used if a rejection has no valid Retry-After header.
	defaultRetryAfter = time.Second
)

// Client sends calls to backend servers. It implements trail.Caller; a target is
// a backend server's IP and port.
type Client struct {
	logger log.Interface
	// Reuses connections. net/http repeats a request by itself if the server
	// has closed a reused connection, so only idempotent calls use this.
	keepAlive *http.Transport
	// Opens a connection for each call and therefore never repeats a request.
	singleUse *http.Transport
	// Reuses connections whose process is known, for preemptable streams.
	identified  *http.Transport
	calls       *prometheus.CounterVec
	headSeconds prometheus.Histogram
}

// New returns a client that connects through dialer and registers its metrics
// with registry.
func New(dialer trail.Dialer, logger log.Interface, registry prometheus.Registerer) *Client {
	k := newTransport(dialer)
	f := newTransport(dialer)
	f.DisableKeepAlives = true
	s := &Client{
		logger: logger, keepAlive: k, singleUse: f, identified: newIdentifyingTransport(dialer),
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

// Call sends the request to the backend server at target and returns once the
// response headers have been received or the call has failed. An error means
// that the request did not run; its verdict is NotRun. Its code is
// backend-unreachable, backend-leaving or backend-busy (both with a delay before
// a retry), cancelled, deadline-exceeded or invalid-call. Other failures are
// reported in the End of the replies.
func (s *Client) Call(ctx context.Context, target string, call *wire.Call) (trail.Replies, error) {
	b := time.Now()
	c, m := newCallMonitor(ctx, call)
	q, f := newHTTPRequest(c, m, target, call)
	if f != nil {
		m.stop()
		return nil, s.recordNotRun(f)
	}
	t := s.keepAlive
	switch {
	case call.GetNonIdempotent():
		t = s.singleUse
	case isPreemptableStream(call):
		t = s.identified
	}
	a, e := t.RoundTrip(q)
	if e != nil {
		return s.endWithoutHead(m, target, call, e)
	}
	s.headSeconds.Observe(time.Since(b).Seconds())
	if a.StatusCode < http.StatusOK || a.StatusCode > maxStatus {
		// Such as 101, which net/http takes for a final response.
		m.closeConn()
		_ = a.Body.Close()
		return newInvalidReplies(s, m, target, call), nil
	}
	if !m.ownsAnswer(call, a) {
		m.closeConn()
		_ = a.Body.Close()
		return newMismatchReplies(s, m, target, call), nil
	}
	f = rejection(m, a)
	if f != nil {
		m.closeUnconfirmedConn()
		m.stop()
		return nil, s.recordNotRun(f.WithPlace(target))
	}
	return newReplies(s, m, target, call, a), nil
}

// endWithoutHead ends a call that failed before the response headers were
// received. It returns an error if the request was certainly not sent, and
// replies with just an End otherwise.
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

// recordNotRun counts a call that did not run, and returns its error.
func (s *Client) recordNotRun(err *trail.Error) error {
	s.calls.WithLabelValues(err.Verdict().String(), err.Code()).Inc()
	return err
}

// recordEnd counts a call by its End, and logs it if it failed. If the backend
// server stalled, it also closes the idle connections: others to the same
// backend server may hang too, and a new connection costs less than another
// timeout.
func (s *Client) recordEnd(target string, call *wire.Call, end *wire.End) {
	s.calls.WithLabelValues(trail.VerdictFromProto(end.GetVerdict()).String(), end.GetCode()).Inc()
	if end.GetCode() == "" {
		return
	}
	if end.GetCode() == codeSilent {
		s.keepAlive.CloseIdleConnections()
		s.identified.CloseIdleConnections()
	}
	s.logger.WithFields(log.Fields{
		"attempt-id": call.GetAttemptId(), "target": target, "code": end.GetCode(),
		"verdict": trail.VerdictFromProto(end.GetVerdict()).String(), "crashed": end.GetCrashed(),
	}).Info("invoke: call ended without a complete response")
}
