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

var update = flag.Bool("update", false, "write the expected transcripts")

// Run plays the files that match pattern, each under a paused clock of its
// own. The context of a session ends after play, and all that play started
// must end with it. The parts of a file but the last are the input.
func Run(t *testing.T, pattern string, play func(t *testing.T, c context.Context, input ...string) string) {
	t.Helper()
	l, e := filepath.Glob(pattern)
	if e != nil || len(l) == 0 {
		t.Fatal("no sessions", e)
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
			Bubble(t, func(t *testing.T, c context.Context) { b = play(t, c, i...) })
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

// Bubble runs play under a paused clock and waits until all that it started
// has ended.
func Bubble(t *testing.T, play func(t *testing.T, c context.Context)) {
	// yamux keeps timers in a sync.Pool, and one that was made under another
	// paused clock can't be used. The second collection takes what the first
	// one left in the pool's victim cache.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		c, f := context.WithCancel(t.Context())
		play(t, c)
		f()
		synctest.Wait()
	})
}
