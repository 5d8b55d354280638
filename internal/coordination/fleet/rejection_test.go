package fleet_test

import "testing"

// Guards against a server that rejects what the others take and is not avoided, and against one that is avoided for the size of the requests that it rejects.
func TestRejectionIsWeighedBySize(t *testing.T) {
	a, b := server("a", "a", 4), server("b", "a", 4)
	for _, k := range []struct {
		// Largest answered request of each, and memory of the first, 0 for unknown.
		answeredA, answeredB, memory, tokens int64
		// Whether the first is avoided after two rejections.
		want bool
	}{
		{500, 500, 1000, 0, true},
		{500, 500, 1000, 1000, true},
		{500, 5000, 1000, 1001, false},
		{500, 0, 0, 500, true},
		{500, 5000, 0, 5000, false},
		{0, 500, 0, 500, true},
		{0, 500, 0, 501, false},
		{0, 0, 0, 500, false},
	} {
		f := newFleet(a, b)
		f.RecordAnswer(a, k.answeredA)
		f.RecordAnswer(b, k.answeredB)
		f.RecordMemory("a", 0, k.memory)
		f.RecordRejection(start, a, k.tokens)
		d, x := f.RecordRejection(start, a, k.tokens)
		if k.want != (d > 0) || k.want == x {
			t.Error(k, d, x)
		}
	}
}
