package retry_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/retry"
)

// An outage must not multiply attempts, and quiet hours must not save up
// retries for it.
func TestRetriesBoundedByFirstAttempts(t *testing.T) {
	l := []struct{ first, want int }{{0, 1}, {9, 1}, {10, 2}, {100, 11}, {100000, 64}}
	for _, k := range l {
		b := retry.New()
		for range k.first {
			b.RecordFirst()
		}
		n := 0
		for b.Take() {
			n++
		}
		if d := cmp.Diff(k.want, n); d != "" {
			t.Errorf("%d first attempts: %s", k.first, d)
		}
	}
}
