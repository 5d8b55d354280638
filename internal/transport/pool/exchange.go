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
	maxSkipped = 2
	// Largest body of a skipped answer in bytes.
	maxSkippedBytes = 1 << 20
	// Largest head of an answer in bytes, with all interim answers before it.
	maxHead = 64 << 10
	// Interim answers before the answer itself.
	maxInterim = 8
	// Largest body of an answer in bytes.
	maxBody = 64 << 20
	// A longer body is written while the answer is awaited, because the
	// backend server may answer before it has read everything.
	inlineBody = 32 << 10
)

var (
	errForeign = errors.New("answer belongs to another request")
	// errUnbounded is the end of an answer in which there was none in sight.
	errUnbounded = errors.New("answer has no end")
)

// exchange is one request and its answer on a connection.
type exchange struct {
	s *Pool
	n *connection
	// Detaches the connection from the request's context.
	stop func() bool
	// Receives the result of a body that is written meanwhile; nil otherwise.
	wrote chan error
	// An answer to another request came on the connection.
	strayed bool
	ended   sync.Once
}

// send writes the request.
func (x *exchange) send(target string, q *http.Request, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, target, q.Host)
	if len(body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		q.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = q.Header.Write(&b)
	b.WriteString("\r\n")
	if len(body) > inlineBody {
		return x.sendLong(b.Bytes(), body)
	}
	b.Write(body)
	w, e := x.n.n.Write(b.Bytes())
	if e == nil {
		return nil
	}
	v := trail.MayHaveRun
	if w == 0 {
		v = trail.NotRun
	}
	return trail.WrapError(e, "backend-lost", v, "request was not sent completely").At(x.n.address)
}

func (x *exchange) sendLong(head, body []byte) error {
	w, e := x.n.n.Write(head)
	if e != nil {
		v := trail.MayHaveRun
		if w == 0 {
			v = trail.NotRun
		}
		return trail.WrapError(e, "backend-lost", v, "request was not sent completely").At(x.n.address)
	}
	x.wrote = make(chan error, 1)
	go func() {
		_, e := x.n.n.Write(body)
		x.wrote <- e
	}()
	return nil
}

// answer reads until the head of an answer that belongs to the request.
func (x *exchange) answer(q *http.Request, belongs func(a *http.Response, fresh bool) bool) (*http.Response, error) {
	f := !x.n.used
	x.n.used = true
	for k := 0; k <= maxSkipped; k++ {
		a, e := x.head(q)
		if e != nil {
			return nil, e
		}
		if belongs(a, f) {
			x.n.expires = time.Now().Add(idleTime(a))
			x.n.in.left = maxBody
			a.Body = &body{x: x, r: a.Body, last: a.Close}
			return a, nil
		}
		x.strayed = true
		e = skip(a, x.n.in)
		if e != nil {
			return nil, e
		}
	}
	return nil, errForeign
}

// head reads the head of an answer, after the interim ones.
func (x *exchange) head(q *http.Request) (*http.Response, error) {
	x.n.in.left = maxHead
	for range maxInterim {
		a, e := http.ReadResponse(x.n.r, q)
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

// skip reads an answer to another request to its end.
func skip(a *http.Response, in *bounded) error {
	in.left = maxSkippedBytes
	_, e := io.Copy(io.Discard, a.Body)
	if e == nil && a.Close {
		return errForeign
	}
	return e
}

// end gives the connection back, or closes it.
func (x *exchange) end(reusable bool) {
	x.ended.Do(func() {
		// A context that has ended already has closed the connection.
		d := x.stop()
		if d && reusable && !x.strayed && x.written() && x.n.r.Buffered() == 0 {
			x.s.keep(x.n)
			return
		}
		x.n.close()
	})
}

// written says whether all of the request has been written by now.
func (x *exchange) written() bool {
	if x.wrote == nil {
		return true
	}
	select {
	case e := <-x.wrote:
		return e == nil
	default:
		return false
	}
}

// body is the rest of an answer. Its end frees the connection.
type body struct {
	x *exchange
	r io.ReadCloser
	// The connection ends with this answer.
	last bool
}

func (b *body) Read(p []byte) (int, error) {
	n, e := b.r.Read(p)
	if errors.Is(e, errUnbounded) {
		e = unbounded(e, b.x.n.address)
	}
	if e != nil {
		b.x.end(errors.Is(e, io.EOF) && !b.last)
	}
	return n, e
}

func (b *body) Close() error {
	b.x.end(false)
	return nil
}

// unbounded is the error of a server that sends bytes without end.
func unbounded(cause error, address string) error {
	return trail.WrapError(cause, "answer-unbounded", trail.MayHaveRun, "backend server sends more than an answer").At(address)
}
