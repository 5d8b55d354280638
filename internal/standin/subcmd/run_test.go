package subcmd_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/subcmd"
)

// A stand-in must stop on a signal although a watch is waiting, or tests that
// start it would wait for it.
func TestStop(t *testing.T) {
	c, f := context.WithCancel(t.Context())
	r, w := io.Pipe()
	d := make(chan int, 1)
	go func() {
		d <- subcmd.Run(c, []string{"platform", "-address", "127.0.0.1:0"}, w, io.Discard)
		_ = w.Close()
	}()
	b := bufio.NewReader(r)
	l, e := b.ReadString('\n')
	must(t, e)
	go func() { _, _ = io.Copy(io.Discard, b) }()
	a := strings.TrimSpace(strings.TrimPrefix(l, "listening on "))
	u := "http://" + a + "/apis/bulrushtrail.example/v1/jobs?watch=true&resourceVersion=0"
	q, e := http.NewRequestWithContext(t.Context(), http.MethodGet, u, nil)
	must(t, e)
	x, e := http.DefaultClient.Do(q)
	must(t, e)
	f()
	_, _ = io.Copy(io.Discard, x.Body)
	_ = x.Body.Close()
	if d := cmp.Diff(0, <-d); d != "" {
		t.Error(d)
	}
}

// A script that misspells a command must not pass as a success.
func TestWrongCommand(t *testing.T) {
	if d := cmp.Diff(2, subcmd.Run(t.Context(), []string{"-no-such-flag"}, io.Discard, io.Discard)); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(2, subcmd.Run(t.Context(), []string{"platfrom"}, io.Discard, io.Discard)); d != "" {
		t.Error(d)
	}
}

func must(t *testing.T, e error) {
	t.Helper()
	if e != nil {
		t.Fatal(e)
	}
}
