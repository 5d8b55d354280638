package httpd

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// withLimits bounds the body and the time without progress, and flushes each write.
// During the drain delay each answer ends its connection.
func (s *Server) withLimits(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Inc()
		defer s.inFlight.Dec()
		if !s.serving.Load() {
			w.Header().Set("Connection", "close")
		}
		k := http.NewResponseController(w)
		b := &deadlineBody{ReadCloser: r.Body, controller: k}
		r.Body = http.MaxBytesReader(w, b, s.maxBodyBytes)
		o := &flushWriter{w, k}
		o.extendDeadline()
		handler.ServeHTTP(o, r)
		// The server still sends the headers of an answer without a body. The
		// deadline of an earlier write may have passed by now.
		o.extendDeadline()
		if !b.reachedEOF {
			// The server reads the rest of the body.
			b.extendDeadline()
		}
	})
}

// flushWriter flushes after each write, so that a token leaves when it is produced.
// It hides io.ReaderFrom, which would collect a copied stream in the server's
// buffer.
type flushWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
}

func (w *flushWriter) Header() http.Header { return w.response.Header() }

func (w *flushWriter) WriteHeader(status int) { w.response.WriteHeader(status) }

// extendDeadline gives the next write its time. Writers that support no deadline, as
// in tests, go without.
func (w *flushWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(progressTimeout))
}

func (w *flushWriter) Write(b []byte) (int, error) {
	w.extendDeadline()
	n, e := w.response.Write(b)
	if e != nil {
		return n, e
	}
	e = w.controller.Flush()
	if errors.Is(e, http.ErrNotSupported) {
		return n, nil
	}
	return n, e
}

// Flush does nothing: every write is flushed.
func (w *flushWriter) Flush() {}

// deadlineBody bounds the time of each read.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
	// Whether all of the body was read.
	reachedEOF bool
}

func (b *deadlineBody) Read(p []byte) (int, error) {
	b.extendDeadline()
	n, e := b.ReadCloser.Read(p)
	b.reachedEOF = errors.Is(e, io.EOF)
	if e == nil || b.reachedEOF {
		// A deadline that passes while the handler runs would cancel the
		// request's context.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, e
}

// extendDeadline gives the next read its time.
func (b *deadlineBody) extendDeadline() {
	_ = b.controller.SetReadDeadline(time.Now().Add(progressTimeout))
}
