package pool

import (
	"context"
	"io"
	"net/http"

	trail "bulrushtrail.example/trail"
)

// Maximum body of the response to a probe in bytes.
const maxProbeBody = 64 << 10

// identify asks which process is at the other end of a new connection. It returns
// whether the connection can be used, and whether another one may be asked: the server
// may close each after a response.
func (s *Pool) identify(ctx context.Context, conn *connection, probe trail.ProcessProbe) (usable, again bool) {
	c, f := context.WithTimeout(ctx, probeTimeout)
	defer f()
	x := &exchange{pool: s, conn: conn, detachContext: context.AfterFunc(c, conn.abort)}
	t, q := probe.Request()
	a, b, e := x.ask(t, q)
	if !x.detachContext() || e != nil || conn.reader.Buffered() > 0 {
		return false, false
	}
	// An answer too many, which need not be that of the probe, must not be taken for the
	// answer to a request.
	conn.hasSent = true
	conn.born = trail.UnknownProcess
	n, e := probe.Born(a.StatusCode, b)
	if e == nil && n > 0 {
		conn.born = n
	}
	return !a.Close, a.Close
}

// ask sends a request without a body as the first one on a connection, and returns the
// response with its whole body.
func (x *exchange) ask(target string, request *http.Request) (*http.Response, []byte, error) {
	e := x.writeRequest(target, request, nil)
	if e != nil {
		return nil, nil, e
	}
	a, e := x.readHead(request)
	if e != nil {
		return nil, nil, e
	}
	x.conn.limited.remaining = maxProbeBody
	b, e := io.ReadAll(a.Body)
	return a, b, e
}
