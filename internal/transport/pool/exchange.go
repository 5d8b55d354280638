package pool

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

const (
	// Responses to other requests that are discarded before the connection is
	// closed.
	maxDiscarded = 2
	// Maximum body of a discarded response in bytes.
	maxDiscardedBody = 1 << 20
	// Maximum status line and header of a response in bytes, together with all
	// interim responses before it.
	maxResponseHead = 64 << 10
	// Interim (1xx) responses before the final one; with this many the response
	// counts as unbounded.
	maxInterimResponses = 8
	// Least and greatest status of HTTP (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// Maximum body of a response in bytes.
	maxResponseBody = 64 << 20
	// A longer request body is written while the response is read, because the
	// backend server may respond before it has read the whole body.
	maxInlineBody = 32 << 10
)

var (
	errUnmatched = errors.New("response belongs to another request")
	// errUnbounded means that a response exceeds one of the limits above, or
	// switches to another protocol.
	errUnbounded = errors.New("response exceeds a limit")
	errStatus    = errors.New("status of the response is not between 100 and 599")
)

// exchange is one request and its response on a connection.
type exchange struct {
	pool *Pool
	conn *connection
	// Stops the abort of the connection at the end of the request's context. It
	// returns false if the abort has started already.
	detachContext func() bool
	// Receives the result of writing a long body; nil if the body has been
	// written together with the header.
	bodyWritten chan error
	// Responses to other requests that came on the connection.
	passedOver int
	finishOnce sync.Once
}

// writeRequest writes the request, whose parts are valid. If no byte was written, the
// error's verdict is not-run.
func (x *exchange) writeRequest(target string, request *http.Request, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, target, request.Host)
	if len(body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		request.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = request.Header.Write(&b)
	b.WriteString("\r\n")
	if len(body) > maxInlineBody {
		return x.writeLongRequest(b.Bytes(), body)
	}
	b.Write(body)
	w, e := x.conn.netConn.Write(b.Bytes())
	if e == nil {
		return nil
	}
	v := trail.MayHaveRun
	if w == 0 {
		v = trail.NotRun
	}
	return trail.WrapError(e, "backend-lost", v, "request was not sent completely").WithPlace(x.conn.address)
}

// writeLongRequest writes the header, and starts a goroutine that writes the
// body.
func (x *exchange) writeLongRequest(head, body []byte) error {
	w, e := x.conn.netConn.Write(head)
	if e != nil {
		v := trail.MayHaveRun
		if w == 0 {
			v = trail.NotRun
		}
		return trail.WrapError(e, "backend-lost", v, "request was not sent completely").WithPlace(x.conn.address)
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		_, e := x.conn.netConn.Write(body)
		x.bodyWritten <- e
	}()
	return nil
}

// readResponse reads the header of the first response that belongs to the
// request. It discards the responses before it.
func (x *exchange) readResponse(request *http.Request, matches func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	f := !x.conn.hasSent
	x.conn.hasSent = true
	for k := 0; k <= maxDiscarded; k++ {
		a, e := x.readHead(request)
		if e != nil {
			return nil, e
		}
		if matches(a, f) {
			x.conn.expires = time.Now().Add(keepAliveTime(a))
			x.conn.limited.remaining = maxResponseBody
			a.Body = &responseBody{exchange: x, reader: a.Body, status: a.StatusCode, closesConn: a.Close, endsWithConn: endsWithConnection(a)}
			return a, nil
		}
		x.passedOver++
		x.pool.passedOverTotal.Inc()
		e = discardResponse(a, x.conn.limited)
		if e != nil {
			return nil, e
		}
	}
	return nil, errUnmatched
}

// readHead reads the status line and header of a final response, after any
// interim ones.
func (x *exchange) readHead(request *http.Request) (*http.Response, error) {
	x.conn.limited.remaining = maxResponseHead
	for range maxInterimResponses {
		a, e := http.ReadResponse(x.conn.reader, request)
		if e != nil {
			return nil, e
		}
		if a.StatusCode < minStatus || a.StatusCode > maxStatus {
			return nil, errStatus
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			// The request asked for no upgrade. What follows is not HTTP and has no
			// defined end.
			return nil, errUnbounded
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errUnbounded
}

// discardResponse reads a response to another request to its end. It fails if the
// connection ends with that response.
func discardResponse(response *http.Response, limited *limitedReader) error {
	limited.remaining = maxDiscardedBody
	_, e := io.Copy(io.Discard, response.Body)
	if e == nil && response.Close {
		return errUnmatched
	}
	return e
}

// finish returns the connection to the pool if it can carry another request, and
// closes it otherwise.
func (x *exchange) finish(reusable bool) {
	x.finishOnce.Do(func() {
		// If the context has ended, the connection has been aborted.
		d := x.detachContext()
		if d && reusable && x.passedOver == 0 && x.requestWritten() && x.conn.reader.Buffered() == 0 && len(x.conn.carriedIDs) < maxCarriedIDs {
			x.pool.putIdle(x.conn)
			return
		}
		x.conn.close()
	})
}

// requestWritten returns whether the whole request has been written by now.
func (x *exchange) requestWritten() bool {
	if x.bodyWritten == nil {
		return true
	}
	select {
	case e := <-x.bodyWritten:
		return e == nil
	default:
		return false
	}
}

// responseBody is the body of a response. At its end the connection returns to
// the pool.
type responseBody struct {
	exchange *exchange
	reader   io.ReadCloser
	status   int
	// The connection cannot be used after this response.
	closesConn bool
	// The end of the connection is that of the response.
	endsWithConn bool
	// Result of the last read, nil before it. Its end is checked once.
	err error
}

func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, e := b.reader.Read(p)
	if errors.Is(e, errUnbounded) {
		e = unboundedError(e, b.exchange.conn.address)
	}
	if errors.Is(e, io.EOF) && b.endsWithConn {
		f := b.exchange.endError(b.status)
		if f != nil {
			e = f
		}
	}
	if e != nil {
		b.err = e
		b.exchange.finish(errors.Is(e, io.EOF) && !b.closesConn)
	}
	return n, e
}

func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// unboundedError returns the error of a response that exceeds a limit.
func unboundedError(cause error, address string) error {
	return trail.WrapError(cause, "answer-unbounded", trail.MayHaveRun, "response of backend server is too long").WithPlace(address)
}
