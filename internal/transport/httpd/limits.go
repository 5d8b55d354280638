package httpd

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

// withLimits bounds the size of the request body and the time without progress,
// and flushes each write. During the drain delay it closes each connection
// after the response.
func (s *Server) withLimits(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Inc()
		defer s.inFlight.Dec()
		if !s.serving.Load() {
			w.Header().Set("Connection", "close")
		}
		k := http.NewResponseController(w)
		c := ClaimOf(r)
		c.Work(time.Now(), math.MaxInt32)
		defer func() { c.Reset(time.Now()) }()
		b := &deadlineBody{ReadCloser: r.Body, controller: k, claim: c}
		r.Body = http.MaxBytesReader(w, b, s.maxBodyBytes)
		o := &flushWriter{w, k, c}
		o.extendDeadline()
		if !claimHead(c, r) {
			s.logClient(r.RemoteAddr, "head")
			refuseHead(w)
			return
		}
		handler.ServeHTTP(o, r)
		// net/http sends the headers of a response without a body only now,
		// when the deadline of an earlier write may have passed.
		o.extendDeadline()
		if !b.reachedEOF {
			// net/http reads the rest of the body.
			b.extendDeadline()
		}
	})
}

// flushWriter flushes after each write, so that each token is sent as soon as
// it is produced. It does not expose io.ReaderFrom, through which io.Copy would
// collect a stream in the server's buffer.
type flushWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	claim      trail.ClientClaim
}

func (w *flushWriter) Header() http.Header { return w.response.Header() }

func (w *flushWriter) WriteHeader(status int) { w.response.WriteHeader(status) }

// extendDeadline starts the progress timeout of the next write and returns the current
// time. The error of a
// writer that supports no deadlines, such as a test recorder, is ignored.
func (w *flushWriter) extendDeadline() time.Time {
	o := time.Now()
	_ = w.controller.SetWriteDeadline(o.Add(progressTimeout))
	return o
}

func (w *flushWriter) Write(b []byte) (int, error) {
	o := w.extendDeadline()
	w.claim.Await(o)
	n, e := w.response.Write(b)
	if e != nil {
		return n, e
	}
	e = w.controller.Flush()
	w.claim.Work(time.Now(), n)
	if errors.Is(e, http.ErrNotSupported) {
		return n, nil
	}
	return n, e
}

// Flush does nothing, because every write is already flushed.
func (w *flushWriter) Flush() {}

// deadlineBody applies the progress timeout to each read of a request body.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	claim      trail.ClientClaim
	reachedEOF bool
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	b.claim.Await(b.extendDeadline())
	n, e := b.ReadCloser.Read(p)
	b.claim.Work(time.Now(), n)
	b.reachedEOF = errors.Is(e, io.EOF)
	if e == nil || b.reachedEOF {
		// A read deadline that expires while the handler runs would cancel the
		// request's context.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, e
}

// extendDeadline starts the progress timeout of the next read and returns the current
// time.
func (b *deadlineBody) extendDeadline() time.Time {
	o := time.Now()
	_ = b.controller.SetReadDeadline(o.Add(progressTimeout))
	return o
}
