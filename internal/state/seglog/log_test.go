package seglog_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"testing/iotest"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bulrushtrail.example/trail/internal/state/seglog"
)

func open(t *testing.T, folder string) *seglog.Store {
	t.Helper()
	s, e := seglog.New(folder, &log.Logger{Handler: discard.New()})
	if e != nil {
		t.Fatal(e)
	}
	return s
}

// read returns a range of a segment, or the first error.
func read(store *seglog.Store, id string, offset, length int64) ([]byte, error) {
	r, e := store.Open(id, offset, length)
	if e != nil {
		return nil, e
	}
	defer r.Close()
	return io.ReadAll(r)
}

// storedFile returns the content of the file in which a segment with the given
// data is stored.
func storedFile(t *testing.T, data []byte) []byte {
	t.Helper()
	d := t.TempDir()
	_, _, e := open(t, d).Put("a", "", bytes.NewReader(data))
	if e != nil {
		t.Fatal(e)
	}
	b, e := os.ReadFile(filepath.Join(d, "a.seg"))
	if e != nil {
		t.Fatal(e)
	}
	return b
}

// Guards against serving a truncated segment file: the segment must be missing,
// the folder must open and the segment must be accepted again. Temporary files
// of interrupted writes must be removed.
func TestTruncatedFileIsMissing(t *testing.T) {
	w := []byte("stock of tea strainers")
	b := storedFile(t, w)
	for n := range b {
		d := t.TempDir()
		for _, p := range []string{"a.seg", "b-1.partial"} {
			e := os.WriteFile(filepath.Join(d, p), b[:n], 0o600)
			if e != nil {
				t.Fatal(e)
			}
		}
		s := open(t, d)
		_, e := read(s, "a", 0, 0)
		if x := cmp.Diff(seglog.ErrMissing, e, cmpopts.EquateErrors()); x != "" {
			t.Fatalf("length %d: %s", n, x)
		}
		_, _, e = s.Put("a", "", bytes.NewReader(w))
		if e != nil {
			t.Fatal(e)
		}
		g, e := read(open(t, d), "a", 0, 0)
		if x := cmp.Diff(string(w), string(g)); x != "" || e != nil {
			t.Fatal(x, e)
		}
		if l, _ := filepath.Glob(filepath.Join(d, "*.partial")); len(l) > 0 {
			t.Fatalf("temporary files not removed: %v", l)
		}
	}
}

// Guards against returning corrupt data: a changed byte at any offset of the file
// must make the read fail and the segment count as missing.
func TestCorruptByteIsDetected(t *testing.T) {
	w := []byte("stock of tea strainers")
	b := storedFile(t, w)
	for i := range b {
		d := t.TempDir()
		c := bytes.Clone(b)
		c[i] ^= 0x10
		e := os.WriteFile(filepath.Join(d, "a.seg"), c, 0o600)
		if e != nil {
			t.Fatal(e)
		}
		s := open(t, d)
		g, e := read(s, "a", 0, 0)
		if !errors.Is(e, seglog.ErrMissing) && !errors.Is(e, seglog.ErrCorrupt) {
			t.Fatalf("byte %d: read %q, %v", i, g, e)
		}
		_, _, e = s.Stat("a")
		if x := cmp.Diff(seglog.ErrMissing, e, cmpopts.EquateErrors()); x != "" {
			t.Fatalf("byte %d: corrupt segment not quarantined: %s", i, x)
		}
	}
}

// Guards against off-by-one errors at block boundaries: reads that start or end
// within a block, at its boundary or past the end must return exactly the range.
func TestReadReturnsExactRange(t *testing.T) {
	w := make([]byte, 3*(64<<10)+17)
	for i := range w {
		w[i] = byte(i * 7 / 5)
	}
	s := open(t, t.TempDir())
	_, _, e := s.Put("a", "", iotest.HalfReader(bytes.NewReader(w)))
	if e != nil {
		t.Fatal(e)
	}
	n := int64(len(w))
	for _, o := range []int64{0, 1, 65535, 65536, 65537, 131072, n - 1, n, n + 5} {
		for _, l := range []int64{0, 1, 65535, 65536, 65537, 131073, n} {
			g, e := read(s, "a", o, l)
			if e != nil {
				t.Fatal(e)
			}
			f := n
			if l > 0 {
				f = min(n, o+l)
			}
			if !bytes.Equal(w[min(o, n):f], g) {
				t.Fatalf("offset %d, length %d: %d bytes read, not equal to the stored range", o, l, len(g))
			}
		}
	}
}

// Guards against lost or replaced segments: a repeated Put with the same data
// must succeed, a Put with other data must not replace the segment, and a failed
// Put must leave no file.
func TestPutKeepsExistingSegment(t *testing.T) {
	const x = "5dae2f6b7f30f3a4d8b7f3b5d2b18e2d5dae2f6b7f30f3a4d8b7f3b5d2b18e2d"
	d := t.TempDir()
	s := open(t, d)
	h, n, e := s.Put("a", "", bytes.NewReader([]byte("one")))
	if e != nil || n != 3 {
		t.Fatal(n, e)
	}
	for _, k := range []struct {
		id, digest string
		r          io.Reader
		e          error
	}{
		{"a", h, bytes.NewReader([]byte("one")), nil},
		{"a", "", bytes.NewReader([]byte("two")), seglog.ErrDigest},
		{"b", x, bytes.NewReader([]byte("two")), seglog.ErrDigest},
		{"c", "", io.MultiReader(bytes.NewReader([]byte("two")), iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF},
		{"../d", "", bytes.NewReader([]byte("two")), seglog.ErrID},
	} {
		_, _, e := s.Put(k.id, k.digest, k.r)
		if z := cmp.Diff(k.e, e, cmpopts.EquateErrors()); z != "" {
			t.Errorf("%s: %s", k.id, z)
		}
	}
	l, e := os.ReadDir(d)
	if z := cmp.Diff("[- a.seg]", fmt.Sprint(l)); z != "" || e != nil {
		t.Error(z, e)
	}
	g, _ := read(s, "a", 0, 0)
	if z := cmp.Diff("one", string(g)); z != "" {
		t.Error(z)
	}
}
