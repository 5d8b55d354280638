package golden

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "overwrite the expected transcripts with the actual ones")

// Run runs session as a subtest for each archive that matches pattern, in a
// synctest bubble of its own. The input consists of all files of the archive but
// the last. The context is cancelled when session returns, and all goroutines
// that it started must then exit.
func Run(t *testing.T, pattern string, session func(t *testing.T, ctx context.Context, input ...string) string) {
	t.Helper()
	l, e := filepath.Glob(pattern)
	if e != nil || len(l) == 0 {
		t.Fatal("no archives match the pattern:", e)
	}
	for _, p := range l {
		t.Run(filepath.Base(p), func(t *testing.T) {
			a, e := txtar.ParseFile(p)
			if e != nil {
				t.Fatal(e)
			}
			n := len(a.Files) - 1
			var i []string
			for _, f := range a.Files[:n] {
				i = append(i, string(f.Data))
			}
			var b string
			Bubble(t, func(t *testing.T, ctx context.Context) { b = session(t, ctx, i...) })
			if *update {
				a.Files[n].Data = []byte(b)
				e = os.WriteFile(p, txtar.Format(a), 0o644)
				if e != nil {
					t.Fatal(e)
				}
			}
			if d := cmp.Diff(string(a.Files[n].Data), b); d != "" {
				t.Error(d)
			}
		})
	}
}

// Bubble runs session in a synctest bubble. It then cancels the context, and
// waits until all goroutines that session started have exited.
func Bubble(t *testing.T, session func(t *testing.T, ctx context.Context)) {
	// yamux pools timers in a sync.Pool, and a timer that was created in another
	// bubble can't be used. The first collection moves the pool's contents to its
	// victim cache, and the second one frees them.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		c, f := context.WithCancel(t.Context())
		session(t, c)
		f()
		synctest.Wait()
	})
}
