package pool_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an answer that comes once more, late, and is taken for that to the next
// request with the same id: a connection carries no id twice.
func TestLateAnswerIsTakenForNextWithSameID(t *testing.T) {
	r := "HTTP/1.1 503 Service Unavailable\nId: 1\nContent-Length: 1\n\nx"
	l := []struct {
		name    string
		ids     []string
		replies []string
		want    []string
		// Connections opened.
		connections int
	}{
		{"refusal", []string{"1", "1"}, []string{r, reply("1", "a")}, []string{"x", "a"}, 2},
		{"success", []string{"1", "1"}, []string{reply("1", "a"), reply("1", "b")}, []string{"a", "b"}, 2},
		{"after others", []string{"1", "2", "1"}, []string{r, reply("2", "b"), reply("1", "a")}, []string{"x", "b", "a"}, 2},
		{"first connection serves others", []string{"1", "1", "2", "2"}, []string{r, reply("1", "a"), reply("2", "b"), reply("2", "c")}, []string{"x", "a", "b", "c"}, 2},
		{"three times", []string{"1", "1", "1"}, []string{r, r, reply("1", "a")}, []string{"x", "x", "a"}, 3},
	}
	for _, k := range l {
		t.Run(k.name, func(t *testing.T) {
			s := &server{replies: k.replies}
			if d := cmp.Diff(k.want, sendAll(t, s, k.ids...)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(k.connections, len(s.requests)); d != "" {
				t.Error("connections:", d)
			}
			for _, c := range s.requests {
				if len(slices.Compact(slices.Sorted(slices.Values(c)))) < len(c) {
					t.Errorf("a connection has carried an id twice: %q", c)
				}
			}
		})
	}
}

// Guards against a connection whose memory of ids grows without end, and against ids that
// are forgotten in place of it.
func TestConnectionCarriesRequestsWithoutEnd(t *testing.T) {
	const n = 2001
	s := &server{}
	var l []string
	for k := range n {
		l = append(l, strconv.Itoa(k))
		s.replies = append(s.replies, reply(l[k], "a"))
	}
	g := sendAll(t, s, l...)
	if d := cmp.Diff(n, len(g)); d != "" {
		t.Error(d)
	}
	var c []string
	for _, x := range s.requests {
		c = append(c, fmt.Sprint(len(x)))
	}
	if d := cmp.Diff([]string{"1000", "1000", "1"}, c); d != "" {
		t.Error("requests by connection:", d)
	}
}
