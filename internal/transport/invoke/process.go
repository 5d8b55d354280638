package invoke

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	metricsPath = "/metrics"
	// Name by which Prometheus client libraries export the start of their process.
	metricProcessStart = "process_start_time_seconds"
	// The time by which an engine that doesn't answer delays a preemptable stream.
	identifyTimeout = time.Second
	// Limit on the size of one engine's metrics, which are held in memory.
	maxMetricsBytes = 1 << 20
)

// process is the process at the other end of a connection. A connection can't outlive
// it.
type process struct {
	// Start in Unix milliseconds, 0 if the process publishes none.
	start int64
	// Whether the start could not be asked for.
	unknown bool
}

// isPreemptableStream reports whether a later attempt may continue the answer to a
// call, which requires that its process is known.
func isPreemptableStream(call *wire.Call) bool {
	return call.GetClass() == wire.Class_CLASS_BATCH && call.GetStream() && !call.GetNonIdempotent()
}

// newIdentifyingTransport returns a transport that asks on each new connection for the
// start of the process. If that fails, it opens another one: the call may still run,
// but its answer can't be continued.
func newIdentifyingTransport(dialer trail.Dialer) *http.Transport {
	t := newTransport(dialer)
	d := t.DialContext
	t.DialContext = func(c context.Context, network, address string) (net.Conn, error) {
		n, e := d(c, network, address)
		if e != nil {
			return nil, e
		}
		b, e := askProcessStart(c, n, address)
		if e == nil {
			o := n.(*countingConn)
			o.process = &process{start: b}
			o.carried.Store(carriedQuestion)
			return n, nil
		}
		_ = n.Close()
		n, e = d(c, network, address)
		if e != nil {
			return nil, e
		}
		n.(*countingConn).process = &process{unknown: true}
		return n, nil
	}
	return t
}

// askProcessStart fetches the metrics on a new connection and returns the start of the
// process, 0 if it publishes none. After an error the connection can't be used.
func askProcessStart(ctx context.Context, conn net.Conn, address string) (int64, error) {
	_ = conn.SetDeadline(time.Now().Add(identifyTimeout))
	f := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	q, e := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, http.NoBody)
	if e != nil {
		f()
		return 0, e
	}
	b, e := fetchOn(conn, q)
	if !f() {
		return 0, errors.CombineErrors(ctx.Err(), e)
	}
	if e != nil {
		return 0, e
	}
	return parseProcessStart(b), conn.SetDeadline(time.Time{})
}

// fetchOn sends a request on a connection and returns the body of the response, empty
// for a status other than 200. It fails if the connection can't be used afterwards.
func fetchOn(conn net.Conn, request *http.Request) ([]byte, error) {
	e := request.Write(conn)
	if e != nil {
		return nil, e
	}
	r := bufio.NewReader(conn)
	a, e := http.ReadResponse(r, request)
	if e != nil {
		return nil, e
	}
	defer func() { _ = a.Body.Close() }()
	b, e := io.ReadAll(io.LimitReader(a.Body, maxMetricsBytes))
	switch {
	case e != nil:
		return nil, e
	case a.Close || r.Buffered() > 0 || len(b) == maxMetricsBytes:
		return nil, errors.New("connection can't be used after the response")
	case a.StatusCode != http.StatusOK:
		return nil, nil
	}
	return b, nil
}

// parseProcessStart returns the start of the process in Unix milliseconds by its
// metrics, 0 if they name none or those of several processes.
func parseProcessStart(metrics []byte) int64 {
	p := expfmt.NewTextParser(model.UTF8Validation)
	m, e := p.TextToMetricFamilies(bytes.NewReader(metrics))
	l := m[metricProcessStart].GetMetric()
	if e != nil || len(l) != 1 {
		return 0
	}
	return int64((l[0].GetGauge().GetValue() + l[0].GetUntyped().GetValue()) * 1000)
}
