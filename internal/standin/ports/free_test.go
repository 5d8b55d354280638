package ports_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/ports"
)

// Guards against a process that does not start because the port that was chosen
// for it has become the local port of somebody's connection (seed 502 of the
// soak with 16 fronts), and against ports that are given twice.
func TestFree(t *testing.T) {
	l, e := ports.Free(50)
	if e != nil {
		t.Fatal(e)
	}
	m := map[int]bool{}
	for _, p := range l {
		m[p] = true
		if p >= 32768 {
			t.Error("port for connections:", p)
		}
	}
	if d := cmp.Diff(50, len(m)); d != "" {
		t.Error(d)
	}
}
