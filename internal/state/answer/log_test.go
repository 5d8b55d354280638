package answer_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/answer"
)

// open runs f with the log of a folder, which is closed afterwards.
func open(t *testing.T, folder string, f func(c context.Context, s *answer.Log)) {
	t.Helper()
	c, g := context.WithCancel(t.Context())
	defer g()
	s, e := answer.New(c, folder, &log.Logger{Handler: discard.New()})
	if e != nil {
		t.Fatal(e)
	}
	f(c, s)
}

func message(request, body string, expires time.Time) *wire.Answer {
	w := &wire.StoredAnswer{}
	w.SetStatus(200)
	w.SetBody([]byte(body))
	w.SetExpiresUnixMs(expires.UnixMilli())
	a := &wire.Answer{}
	a.SetCaller("kowalchuk")
	a.SetRequestId(request)
	a.SetStored(w)
	return a
}

// body returns a stored body, or the code of the error.
func body(c context.Context, s *answer.Log, request string) string {
	w, e := s.Read(c, "kowalchuk", request)
	if e != nil {
		return trail.CodeOf(e)
	}
	return string(w.GetBody())
}

func keep(t *testing.T, c context.Context, s *answer.Log, request, text string) string {
	t.Helper()
	w, e := s.Store(c, message(request, text, time.Now().Add(time.Hour)))
	if e != nil {
		t.Fatal(e)
	}
	return string(w.GetBody())
}

// three stores three answers and returns the file and the lengths at which
// each is complete.
func three(t *testing.T) ([]byte, []int) {
	t.Helper()
	d := t.TempDir()
	var l []int
	var b []byte
	open(t, d, func(c context.Context, s *answer.Log) {
		for i := range 3 {
			keep(t, c, s, fmt.Sprint("r", i), fmt.Sprint("size ", i))
			p, _ := filepath.Glob(filepath.Join(d, "*.answers"))
			b, _ = os.ReadFile(p[0])
			l = append(l, len(b))
		}
	})
	return b, l
}

// reopen opens a folder that holds one file.
func reopen(t *testing.T, b []byte, f func(c context.Context, s *answer.Log)) {
	t.Helper()
	d := t.TempDir()
	e := os.WriteFile(filepath.Join(d, "0000000000000001.answers"), b, 0o600)
	if e != nil {
		t.Fatal(e)
	}
	open(t, d, f)
}

// A crash at any point of a write must lose only the answer that was being
// written, and the folder must take it again.
func TestTruncatedAtEachLength(t *testing.T) {
	b, l := three(t)
	for n := range len(b) + 1 {
		reopen(t, b[:n], func(c context.Context, s *answer.Log) {
			for i, k := range l {
				w := fmt.Sprint("size ", i)
				if k > n {
					w = "answer-missing"
				}
				if d := cmp.Diff(w, body(c, s, fmt.Sprint("r", i))); d != "" {
					t.Fatalf("length %d: %s", n, d)
				}
			}
			if d := cmp.Diff(n >= l[2], keep(t, c, s, "r2", "other") == "size 2"); d != "" {
				t.Fatalf("length %d: %s", n, d)
			}
		})
	}
}

// No damaged answer may be returned, and damage of one answer must not hide
// those before it.
func TestCorruptByte(t *testing.T) {
	b, l := three(t)
	for i := range b {
		x := bytes.Clone(b)
		x[i] ^= 0x10
		reopen(t, x, func(c context.Context, s *answer.Log) {
			for k, n := range l {
				g := body(c, s, fmt.Sprint("r", k))
				if g != fmt.Sprint("size ", k) && (g != "answer-missing" || n <= i) {
					t.Fatalf("byte %d: answer %d is %q", i, k, g)
				}
			}
		})
	}
}

// The first stored answer must stay, also when others for the same request id
// are stored at the same moment and after a restart.
func TestFirstStays(t *testing.T) {
	d := t.TempDir()
	var f string
	open(t, d, func(c context.Context, s *answer.Log) {
		q := make(chan string)
		for i := range 20 {
			go func() { q <- keep(t, c, s, "r", fmt.Sprint(i)) }()
		}
		f = <-q
		for range 19 {
			if x := cmp.Diff(f, <-q); x != "" {
				t.Fatal(x)
			}
		}
	})
	open(t, d, func(c context.Context, s *answer.Log) {
		if x := cmp.Diff(f, keep(t, c, s, "r", "late")); x != "" {
			t.Fatal(x)
		}
	})
}

// Files must be removed when all their answers have expired and not before.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := t.TempDir()
		open(t, d, func(c context.Context, s *answer.Log) {
			keep(t, c, s, "r0", "early")
			time.Sleep(30 * time.Minute)
			keep(t, c, s, "r1", "late")
			time.Sleep(40 * time.Minute)
			l := []string{body(c, s, "r0"), body(c, s, "r1")}
			if x := cmp.Diff([]string{"answer-missing", "late"}, l); x != "" {
				t.Fatal(x)
			}
			p, _ := os.ReadDir(d)
			if x := cmp.Diff(1, len(p)); x != "" {
				t.Fatal(x)
			}
		})
		synctest.Wait()
	})
}
