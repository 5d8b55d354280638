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
	// Answers to earlier requests that are skipped before the connection is
	// given up.
	maxDiscarded = 2
	// Largest body of a skipped answer in bytes.
	maxDiscardedBody = 1 << 20
	// Largest head of an answer in bytes, with all interim answers before it.
	maxResponseHead = 64 << 10
	// Interim answers before the answer itself.
	maxInterimResponses = 8
	// Largest body of an answer in bytes.
	maxResponseBody = 64 << 20
	// A longer body is written while the answer is awaited, because the
	// backend server may answer before it has read everything.
	maxInlineBody = 32 << 10
)

var (
	errUnmatched = errors.New("answer belongs to another request")
	// errUnbounded is the end of an answer in which there was none in sight.
	errUnbounded = errors.New("answer has no end")
)

// exchange is one request and its answer on a connection.
type exchange struct {
	pool *Pool
	conn *connection
	// Detaches the connection from the request's context.
	detachContext func() bool
	// Receives the result of a body that is written meanwhile; nil otherwise.
	bodyWritten chan error
	// An answer to another request came on the connection.
	sawUnmatched bool
	finishOnce   sync.Once
}

// writeRequest writes the request.
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
	w, e := x.conn.conn.Write(b.Bytes())
	if e == nil {
		return nil
	}
	v := trail.MayHaveRun
	if w == 0 {
		v = trail.NotRun
	}
	return trail.WrapError(e, "backend-lost", v, "request was not sent completely").At(x.conn.address)
}

func (x *exchange) writeLongRequest(head, body []byte) error {
	w, e := x.conn.conn.Write(head)
	if e != nil {
		v := trail.MayHaveRun
		if w == 0 {
			v = trail.NotRun
		}
		return trail.WrapError(e, "backend-lost", v, "request was not sent completely").At(x.conn.address)
	}
	x.bodyWritten = make(chan error, 1)
	go func() {
		_, e := x.conn.conn.Write(body)
		x.bodyWritten <- e
	}()
	return nil
}

// readResponse reads until the head of an answer that belongs to the request.
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
			a.Body = &responseBody{exchange: x, reader: a.Body, closesConn: a.Close}
			return a, nil
		}
		x.sawUnmatched = true
		e = discardResponse(a, x.conn.limited)
		if e != nil {
			return nil, e
		}
	}
	return nil, errUnmatched
}

// readHead reads the head of an answer, after the interim ones.
func (x *exchange) readHead(request *http.Request) (*http.Response, error) {
	x.conn.limited.remaining = maxResponseHead
	for range maxInterimResponses {
		a, e := http.ReadResponse(x.conn.reader, request)
		if e != nil {
			return nil, e
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			// Nobody has asked for another protocol.
			return nil, errUnbounded
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errUnbounded
}

// discardResponse reads an answer to another request to its end.
func discardResponse(response *http.Response, limited *limitedReader) error {
	limited.remaining = maxDiscardedBody
	_, e := io.Copy(io.Discard, response.Body)
	if e == nil && response.Close {
		return errUnmatched
	}
	return e
}

// finish gives the connection back, or closes it.
func (x *exchange) finish(reusable bool) {
	x.finishOnce.Do(func() {
		// A context that has ended already has closed the connection.
		d := x.detachContext()
		if d && reusable && !x.sawUnmatched && x.requestWritten() && x.conn.reader.Buffered() == 0 {
			x.pool.putIdle(x.conn)
			return
		}
		x.conn.close()
	})
}

// requestWritten says whether all of the request has been written by now.
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

// responseBody is the rest of an answer. Its end frees the connection.
type responseBody struct {
	exchange *exchange
	reader   io.ReadCloser
	// The connection ends with this answer.
	closesConn bool
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, e := b.reader.Read(p)
	if errors.Is(e, errUnbounded) {
		e = unboundedError(e, b.exchange.conn.address)
	}
	if e != nil {
		b.exchange.finish(errors.Is(e, io.EOF) && !b.closesConn)
	}
	return n, e
}

func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// unboundedError is the error of a server that sends bytes without end.
func unboundedError(cause error, address string) error {
	return trail.WrapError(cause, "answer-unbounded", trail.MayHaveRun, "backend server sends more than an answer").At(address)
}
