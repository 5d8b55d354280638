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

// open calls use with the log of a folder and ends the log's context afterwards.
func open(t *testing.T, folder string, use func(c context.Context, s *answer.Log)) {
	t.Helper()
	c, g := context.WithCancel(t.Context())
	defer g()
	s, e := answer.New(c, folder, &log.Logger{Handler: discard.New()})
	if e != nil {
		t.Fatal(e)
	}
	use(c, s)
}

func newAnswer(requestID, body string, expires time.Time) *wire.Answer {
	w := &wire.StoredAnswer{}
	w.SetStatus(200)
	w.SetBody([]byte(body))
	w.SetExpiresUnixMs(expires.UnixMilli())
	a := &wire.Answer{}
	a.SetCaller("kowalchuk")
	a.SetRequestId(requestID)
	a.SetStored(w)
	return a
}

// body returns the body of a stored answer, or the code of the error.
func body(ctx context.Context, log *answer.Log, requestID string) string {
	w, e := log.Read(ctx, "kowalchuk", requestID)
	if e != nil {
		return trail.CodeOf(e)
	}
	return string(w.GetBody())
}

func store(t *testing.T, ctx context.Context, log *answer.Log, requestID, text string) string {
	t.Helper()
	w, e := log.Store(ctx, newAnswer(requestID, text, time.Now().Add(time.Hour)))
	if e != nil {
		t.Fatal(e)
	}
	return string(w.GetBody())
}

// storeThree stores three answers and returns the content of their file and its
// length after each answer.
func storeThree(t *testing.T) ([]byte, []int) {
	t.Helper()
	d := t.TempDir()
	var l []int
	var b []byte
	open(t, d, func(c context.Context, s *answer.Log) {
		for i := range 3 {
			store(t, c, s, fmt.Sprint("r", i), fmt.Sprint("size ", i))
			p, _ := filepath.Glob(filepath.Join(d, "*.answers"))
			b, _ = os.ReadFile(p[0])
			l = append(l, len(b))
		}
	})
	return b, l
}

// reopen opens a log whose folder holds one file with the given content.
func reopen(t *testing.T, data []byte, use func(c context.Context, s *answer.Log)) {
	t.Helper()
	d := t.TempDir()
	e := os.WriteFile(filepath.Join(d, "0000000000000001.answers"), data, 0o600)
	if e != nil {
		t.Fatal(e)
	}
	open(t, d, use)
}

// Guards against losing acknowledged answers when a crash interrupts a write: at
// each length to which the file is truncated, all complete answers must be found,
// and an incomplete one must be missing and can be stored again.
func TestTruncatedFileKeepsCompleteAnswers(t *testing.T) {
	b, l := storeThree(t)
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
			if d := cmp.Diff(n >= l[2], store(t, c, s, "r2", "other") == "size 2"); d != "" {
				t.Fatalf("length %d: %s", n, d)
			}
		})
	}
}

// Guards against returning a damaged answer, and against one damaged record
// hiding the answers before it.
func TestCorruptAnswerIsNotReturned(t *testing.T) {
	b, l := storeThree(t)
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

// Guards against replacing a stored answer: the first one must be kept when
// others for the same request id are stored concurrently or after a restart.
func TestFirstStoredAnswerIsKept(t *testing.T) {
	d := t.TempDir()
	var f string
	open(t, d, func(c context.Context, s *answer.Log) {
		q := make(chan string)
		for i := range 20 {
			go func() { q <- store(t, c, s, "r", fmt.Sprint(i)) }()
		}
		f = <-q
		for range 19 {
			if x := cmp.Diff(f, <-q); x != "" {
				t.Fatal(x)
			}
		}
	})
	open(t, d, func(c context.Context, s *answer.Log) {
		if x := cmp.Diff(f, store(t, c, s, "r", "late")); x != "" {
			t.Fatal(x)
		}
	})
}

// Guards against removing a file while one of its answers is still valid, and
// against keeping a file whose answers have all expired.
func TestFileRemovedOnlyWhenAllAnswersExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := t.TempDir()
		open(t, d, func(c context.Context, s *answer.Log) {
			store(t, c, s, "r0", "early")
			time.Sleep(30 * time.Minute)
			store(t, c, s, "r1", "late")
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
