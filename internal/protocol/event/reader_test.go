package event_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/event"
)

// readAll returns the raw bytes, id and data of each event, and the error that
// ended the stream.
func readAll(stream string) ([]string, error) {
	r := event.New(strings.NewReader(stream))
	var l []string
	for {
		e := r.Next()
		if e != nil {
			return l, e
		}
		l = append(l, string(r.Raw())+"|"+r.ID()+"|"+string(r.Data()))
	}
}

// Guards against events that are altered when forwarded, and against truncated
// events that are returned as complete.
func TestEventsAreReadUnchanged(t *testing.T) {
	o := strings.Repeat("x", 5000)
	l := []struct {
		name, in string
		want     []string
		end      error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"id: 1\ndata: a\n\n|1|a", "id: 2\ndata: b\n\n|2|b"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"id: 1\r\ndata: a\r\n\r\n|1|a"}, io.EOF},
		{"several lines of data", "data: a\ndata:b\n\n", []string{"data: a\ndata:b\n\n||a\nb"}, io.EOF},
		{"unknown field", "x-version: 3\nid: 1\ndata: a\n\n", []string{"x-version: 3\nid: 1\ndata: a\n\n|1|a"}, io.EOF},
		{"longer than the buffer", "data: " + o + "\n\n", []string{"data: " + o + "\n\n||" + o}, io.EOF},
		{"ends within an event", "id: 1\ndata: a\n\nid: 2\ndata: b\n", []string{"id: 1\ndata: a\n\n|1|a"}, io.ErrUnexpectedEOF},
		{"ends within a line", "id: 1\nda", nil, io.ErrUnexpectedEOF},
		{"empty lines between", "\n\ndata: a\n\n\n", []string{"data: a\n\n||a"}, io.EOF},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			g, e := readAll(k.in)
			if d := cmp.Diff(k.want, g); d != "" {
				t.Error(d)
			}
			if !errors.Is(e, k.end) {
				t.Errorf("ended with %v, want %v", e, k.end)
			}
		})
	}
}

// room is memory that readers share.
type room struct{ free int }

func (r *room) Take(bytes int) bool {
	if bytes > r.free {
		return false
	}
	r.free -= bytes
	return true
}

func (r *room) Return(bytes int) { r.free += bytes }

// Guards against long events of many streams that together use up the memory of the
// process, and against room that is not given back.
func TestLongEventsShareRoom(t *testing.T) {
	o := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	m := &room{free: 300 << 10}
	a, b := event.New(strings.NewReader(o+"data: a\n\n")), event.New(strings.NewReader(o+o))
	a.ShareRoom(m)
	b.ShareRoom(m)
	l := []error{a.Next(), b.Next()}
	n := len(a.Data())
	l = append(l, a.Next())
	b.Release()
	l = append(l, event.New(strings.NewReader(o)).Next())
	if d := cmp.Diff([]any{nil, event.ErrTooLong.Error(), nil, nil, 100 << 10, 300 << 10}, []any{textOf(l[0]), textOf(l[1]), textOf(l[2]), textOf(l[3]), n, m.free}); d != "" {
		t.Error(d)
	}
}

func textOf(err error) any {
	if err == nil {
		return nil
	}
	return err.Error()
}

// Guards against a resumed stream that repeats or skips an event unnoticed.
func TestGapsInEventIDsAreDetected(t *testing.T) {
	l := []struct {
		last, id string
		want     bool
	}{
		{"", "7", true},
		{"7", "8", true},
		{"7", "7", false},
		{"7", "9", false},
		{"7", "", true},
		{"a", "b", true},
	}
	for _, k := range l {
		if d := cmp.Diff(k.want, event.Follows(k.last, k.id)); d != "" {
			t.Errorf("%q after %q: %s", k.id, k.last, d)
		}
	}
}

// Guards against events whose bytes are not in the stream, or that together
// have more bytes than the stream, for arbitrary output of a backend server.
func FuzzEventsAreFromStream(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("\r\n\n\ndata\n:\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := event.New(strings.NewReader(s))
		n := 0
		for r.Next() == nil {
			n += len(r.Raw())
			if !strings.Contains(s, string(r.Raw())) {
				t.Fatalf("event %q is not in the stream", r.Raw())
			}
		}
		if n > len(s) {
			t.Fatalf("events have %d bytes, the stream has %d", n, len(s))
		}
	})
}
