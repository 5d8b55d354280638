package retry_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/retry"
)

// Retries must stay within a tenth of first attempts plus one, and at most 64
// may be saved up: otherwise an outage would multiply the attempts.
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
