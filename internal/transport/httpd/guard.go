package httpd

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// guard bounds the body and the time without progress, and flushes each write.
// During the drain delay each answer ends its connection.
func (s *Server) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Inc()
		defer s.inFlight.Dec()
		if !s.serving.Load() {
			w.Header().Set("Connection", "close")
		}
		k := http.NewResponseController(w)
		b := &body{ReadCloser: r.Body, k: k}
		r.Body = http.MaxBytesReader(w, b, s.bodyBytes)
		o := &writer{w, k}
		o.extend()
		h.ServeHTTP(o, r)
		// The server still sends the headers of an answer without a body. The
		// deadline of an earlier write may have passed by now.
		o.extend()
		if !b.ended {
			// The server reads the rest of the body.
			b.extend()
		}
	})
}

// writer flushes after each write, so that a token leaves when it is produced.
// It hides io.ReaderFrom, which would collect a copied stream in the server's
// buffer.
type writer struct {
	w http.ResponseWriter
	k *http.ResponseController
}

func (w *writer) Header() http.Header { return w.w.Header() }

func (w *writer) WriteHeader(status int) { w.w.WriteHeader(status) }

// extend gives the next write its time. Writers that support no deadline, as
// in tests, go without.
func (w *writer) extend() { _ = w.k.SetWriteDeadline(time.Now().Add(progressTimeout)) }

func (w *writer) Write(b []byte) (int, error) {
	w.extend()
	n, e := w.w.Write(b)
	if e != nil {
		return n, e
	}
	e = w.k.Flush()
	if errors.Is(e, http.ErrNotSupported) {
		return n, nil
	}
	return n, e
}

// Flush does nothing: every write is flushed.
func (w *writer) Flush() {}

// body bounds the time of each read.
type body struct {
	io.ReadCloser
	k *http.ResponseController
	// Whether all of the body was read.
	ended bool
}

func (b *body) Read(p []byte) (int, error) {
	b.extend()
	n, e := b.ReadCloser.Read(p)
	b.ended = errors.Is(e, io.EOF)
	if e == nil || b.ended {
		// A deadline that passes while the handler runs would cancel the
		// request's context.
		_ = b.k.SetReadDeadline(time.Time{})
	}
	return n, e
}

// extend gives the next read its time.
func (b *body) extend() { _ = b.k.SetReadDeadline(time.Now().Add(progressTimeout)) }
