package invoke_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/invoke"
)

// BenchmarkStream measures the cost of forwarding one token, including the
// backend server's side of an in-memory connection. The capacity figures use it.
func BenchmarkStream(b *testing.B) {
	k := chunked(`data: {"id":"chatcmpl-7c9e6679-7425-40de-944b-e07fc1f90ae7","object":"chat.completion.chunk","created":1700000000,` +
		`"model":"fit-assistant","choices":[{"index":0,"delta":{"content":"vamp "},"finish_reason":null}]}` + "\n\n")
	var t strings.Builder
	t.WriteString(streamHead)
	for range b.N {
		t.WriteString(k)
	}
	t.WriteString(chunked(doneEvent) + lastChunk)
	// One write for each token, because engines flush after each token.
	p := &pipeDialer{scripts: []serverScript{respondInPieces(t.String(), len(k))}}
	s := invoke.New(p, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
	b.ReportAllocs()
	b.ResetTimer()
	a, e := s.Call(b.Context(), "10.0.0.1:80", newCall(nil))
	if e != nil {
		b.Fatal(e)
	}
	for {
		m, e := a.Recv()
		if e == io.EOF {
			return
		}
		if m.HasEnd() && m.GetEnd().GetTokens() != int64(b.N) {
			b.Fatal(m)
		}
	}
}

// BenchmarkPlainCall measures a plain call on loopback to a server that names the id of
// each call, whose connections are kept, and to one that names none. The decision on
// answers without an id uses it.
func BenchmarkPlainCall(b *testing.B) {
	for n, k := range map[string]func(http.Header, string){
		"names ids":    func(h http.Header, id string) { h.Set("X-Request-Id", id) },
		"names no ids": func(http.Header, string) {},
	} {
		b.Run(n, func(b *testing.B) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				k(w.Header(), r.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(w, "{}")
			}))
			defer h.Close()
			s := invoke.New(&net.Dialer{}, &log.Logger{Handler: discard.New()}, prometheus.NewRegistry())
			b.ReportAllocs()
			for b.Loop() {
				a, e := s.Call(b.Context(), h.Listener.Addr().String(), newCall(func(r *wire.Call) {
					r.SetModel("")
					r.SetPath("/v1/items")
				}))
				if e != nil {
					b.Fatal(e)
				}
				for m, e := a.Recv(); e != io.EOF; m, e = a.Recv() {
					if e != nil || m.GetEnd().GetCode() != "" {
						b.Fatal(m, e)
					}
				}
			}
		})
	}
}

// respondInPieces reads one request and writes text in pieces of size bytes.
func respondInPieces(text string, size int) serverScript {
	return func(n net.Conn, r *bufio.Reader) {
		respond("")(n, r)
		for i := 0; i < len(text); i += size {
			_, _ = io.WriteString(n, text[i:min(i+size, len(text))])
		}
	}
}
