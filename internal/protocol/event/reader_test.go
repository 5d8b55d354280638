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
