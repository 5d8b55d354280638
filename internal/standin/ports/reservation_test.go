package ports_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/standin/ports"
)

// Guards against two runs side by side that get the same port while the processes
// of neither have bound it yet, so that the datagrams of one reach the other.
// Without reservations, three draws of 150 ports share some 3 of them.
func TestTwoReservationsShareAPort(t *testing.T) {
	m := map[int]int{}
	for range 3 {
		r, e := ports.Reserve(150)
		if e != nil {
			t.Fatal(e)
		}
		defer r.Close()
		for _, p := range r.Ports() {
			m[p]++
		}
	}
	if d := cmp.Diff(3*150, len(m)); d != "" {
		t.Error(d)
	}
}

// Guards against ports that stay reserved after the end of a run, which would use
// up the range.
func TestClosedReservationHoldsPorts(t *testing.T) {
	for range 300 {
		r, e := ports.Reserve(150)
		if e != nil {
			t.Fatal(e)
		}
		r.Close()
	}
}
