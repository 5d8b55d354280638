package ports_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/ports"
)

// Guards against a process that fails to start because its port has been assigned
// to an outgoing connection of another process (seen with seed 502 of the soak
// with 16 fronts), and against ports that are returned twice.
func TestFreeReturnsEphemeralOrDuplicatePorts(t *testing.T) {
	l, e := ports.Free(50)
	if e != nil {
		t.Fatal(e)
	}
	m := map[int]bool{}
	for _, p := range l {
		m[p] = true
		if p >= 32768 {
			t.Error("port in the ephemeral range:", p)
		}
	}
	if d := cmp.Diff(50, len(m)); d != "" {
		t.Error(d)
	}
}
