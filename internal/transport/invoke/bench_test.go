package invoke_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

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

// respondInPieces reads one request and writes text in pieces of size bytes.
func respondInPieces(text string, size int) serverScript {
	return func(n net.Conn, r *bufio.Reader) {
		respond("")(n, r)
		for i := 0; i < len(text); i += size {
			_, _ = io.WriteString(n, text[i:min(i+size, len(text))])
		}
	}
}
