package buffer_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/transport/buffer"
)

const (
	// A sum of whole blocks.
	limitBytes = 252 << 10
	mostBytes  = 100 << 10
)

// Guards against responses that together hold more bytes than the limit, against
// bytes that are lost or never given back, and against the end of a response that is
// not its own.
func TestBuffersExceedLimit(t *testing.T) {
	a := errors.New("broken")
	l := []struct {
		name string
		// Bytes of the response, and what follows them.
		size int
		end  error
		// Bytes that are held elsewhere.
		held int
		// Whether all bytes are read, and the end of the response.
		whole, ended bool
		err          error
	}{
		{"empty", 0, io.EOF, 0, true, true, nil},
		{"small", 800, io.EOF, 0, true, true, nil},
		{"one block", 4 << 10, io.EOF, 0, true, true, nil},
		{"several blocks", 90 << 10, io.EOF, 0, true, true, nil},
		{"larger than allowed", 200 << 10, io.EOF, 0, false, false, nil},
		{"no room", 800, io.EOF, limitBytes, false, false, nil},
		{"little room", 90 << 10, io.EOF, limitBytes - 80<<10, false, false, nil},
		{"broken", 800, a, 0, true, false, a},
		{"cut", 800, io.ErrUnexpectedEOF, 0, true, false, io.ErrUnexpectedEOF},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			m := buffer.New(limitBytes)
			h, _, _ := m.Fill(strings.NewReader(strings.Repeat("h", k.held)), k.held)
			s := strings.Repeat("abcdefg", 1+k.size/7)[:k.size]
			r := iotest.ErrReader(k.end)
			b, d, e := m.Fill(io.MultiReader(iotest.HalfReader(strings.NewReader(s)), r), mostBytes)
			g := string(bytes.Join(b, nil))
			if d := cmp.Diff([]any{k.whole, k.ended, true}, []any{g == s, d, strings.HasPrefix(s, g)}); d != "" || !errors.Is(e, k.err) {
				t.Error(d, e)
			}
			m.Release(b)
			m.Release(h)
			b, _, _ = m.Fill(strings.NewReader(strings.Repeat("x", 2*limitBytes)), 2*limitBytes)
			if n := len(bytes.Join(b, nil)); n < limitBytes-64<<10 || n > limitBytes {
				t.Error("bytes that are free after all have been released:", n)
			}
		})
	}
}
