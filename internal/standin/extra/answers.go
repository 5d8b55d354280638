package extra

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
)

const (
	requestIDHeader = "X-Request-Id"
	controlPrefix   = "/control/"
)

// Answers is the switchable fault of one server. Without faults set it changes nothing.
type Answers struct {
	// Guards the fields below.
	mu     sync.Mutex
	faults faultsForm
	// Number of requests that faults were applied to, for every n-th of them.
	requests int
	written  map[string]int
}

// New returns a fault that is switched off.
func New() *Answers { return &Answers{written: map[string]int{}} }

// Attach applies the fault to a server, which must accept its connections from the
// returned listener.
func (s *Answers) Attach(server *http.Server, listener net.Listener) net.Listener {
	c := server.ConnContext
	server.ConnContext = func(ctx context.Context, n net.Conn) context.Context {
		if c != nil {
			ctx = c(ctx, n)
		}
		return context.WithValue(ctx, connKey{}, n)
	}
	server.ConnState = func(n net.Conn, state http.ConnState) {
		if x, y := n.(*conn); y && state == http.StateIdle {
			s.answerEnded(x)
		}
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /control/extra", s.showFaults)
	m.HandleFunc("POST /control/extra", s.setFaults)
	m.Handle("/", s.withFaults(server.Handler))
	server.Handler = m
	return &recordingListener{listener}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// recordingListener accepts connections that remember the answers written to them.
type recordingListener struct{ net.Listener }

// Accept waits for the next connection.
func (l *recordingListener) Accept() (net.Conn, error) {
	n, e := l.Listener.Accept()
	if e != nil {
		return nil, e
	}
	return &conn{Conn: n, answers: map[string][]byte{}}, nil
}

// withFaults writes answers too many before next handles a request, or refuses it.
func (s *Answers) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, y := r.Context().Value(connKey{}).(*conn)
		if !y || strings.HasPrefix(r.URL.Path, controlPrefix) {
			next.ServeHTTP(w, r)
			return
		}
		f, i := s.beginRequest(r)
		n.beginAnswer()
		if f.Place != placeAfter {
			s.write(n, f)
		}
		switch f.IDs {
		case idsNamed:
			w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
		case idsOmitted:
			w = &unnamedWriter{ResponseWriter: w}
		}
		switch {
		case f.RefuseEvery > 0 && i%f.RefuseEvery == 0:
			writeError(w, r, http.StatusServiceUnavailable)
		case f.FailEvery > 0 && i%f.FailEvery == 0:
			next.ServeHTTP(discardWriter{http.Header{}}, r)
			writeError(w, r, http.StatusInternalServerError)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// beginRequest returns the faults, and the number of the request among those that do
// work. Questions about the server, which GET at its top level asks, are neither
// refused nor counted.
func (s *Answers) beginRequest(r *http.Request) (faultsForm, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if r.Method == http.MethodGet && strings.Count(r.URL.Path, "/") == 1 {
		f.RefuseEvery, f.FailEvery = 0, 0
		return f, 0
	}
	s.requests++
	return f, s.requests
}

// writeError answers a request with an error and its id.
func writeError(w http.ResponseWriter, r *http.Request, status int) {
	if i := r.Header.Get(requestIDHeader); i != "" {
		w.Header().Set(requestIDHeader, i)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"error":{"code":"fault","message":"fault of the stand-in"}}`))
}

// answerEnded remembers the answer that a connection has carried, and writes those too
// many that come right after it.
func (s *Answers) answerEnded(n *conn) {
	n.endAnswer()
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.Place == placeAfter {
		s.write(n, f)
	}
}

// write writes the answers too many that are due on a connection.
func (s *Answers) write(n *conn, faults faultsForm) {
	if n.requests%max(faults.Every, 1) != 0 {
		return
	}
	var b []byte
	s.mu.Lock()
	for _, k := range faults.Kinds {
		a := n.answers[k]
		if a == nil {
			continue
		}
		b = append(b, a...)
		s.written[k]++
	}
	s.mu.Unlock()
	switch {
	case faults.Place == placeJoined:
		n.joined = b
	case faults.Split:
		for i := range b {
			_, _ = n.Conn.Write(b[i : i+1])
		}
	default:
		_, _ = n.Conn.Write(b)
	}
}

// discardWriter discards the answer to a request that runs and fails.
type discardWriter struct{ header http.Header }

// Header returns a header that is not sent.
func (w discardWriter) Header() http.Header { return w.header }

// WriteHeader does nothing.
func (w discardWriter) WriteHeader(int) {}

// Write discards a part of the body.
func (w discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// Flush does nothing.
func (w discardWriter) Flush() {}

// unnamedWriter leaves out the id of the request.
type unnamedWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader writes the head without the id.
func (w *unnamedWriter) WriteHeader(status int) {
	w.begun = true
	w.Header().Del(requestIDHeader)
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *unnamedWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Flush sends what was written so far.
func (w *unnamedWriter) Flush() {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of the server.
func (w *unnamedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
