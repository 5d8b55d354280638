package pool

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

// Maximum body of the response to a probe in bytes.
const maxProbeBody = 64 << 10

// identify asks which process is at the other end of a new connection. It reports
// whether the server closes the connection then.
func (s *Pool) identify(ctx context.Context, conn *connection, probe trail.ProcessProbe) (closes bool, err error) {
	x := &exchange{pool: s, conn: conn, detachContext: context.AfterFunc(ctx, conn.abort)}
	t, q := probe.Request()
	a, b, e := x.ask(t, q)
	if !x.detachContext() {
		return false, errors.CombineErrors(ctx.Err(), e)
	}
	if e != nil {
		return false, e
	}
	if conn.reader.Buffered() > 0 {
		return false, errors.New("more bytes than the response to the probe")
	}
	conn.born, e = probe.Born(a.StatusCode, b)
	return a.Close, e
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
