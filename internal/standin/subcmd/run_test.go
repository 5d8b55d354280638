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

// Guards against a stand-in that does not stop while a watch is open, so that
// tests that started it hang.
func TestOpenWatchPreventsShutdown(t *testing.T) {
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

// Guards against exit code 0 for an invalid command line, so that a script that
// misspells a command appears to succeed.
func TestInvalidCommandLineSucceeds(t *testing.T) {
	if d := cmp.Diff(2, subcmd.Run(t.Context(), []string{"-no-such-flag"}, io.Discard, io.Discard)); d != "" {
		t.Error(d)
	}
	if d := cmp.Diff(2, subcmd.Run(t.Context(), []string{"platfrom"}, io.Discard, io.Discard)); d != "" {
		t.Error(d)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
