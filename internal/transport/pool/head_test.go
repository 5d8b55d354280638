package pool_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an answer whose head is cut by a server that closes, and that is
// taken for a whole one with an empty or short body: at each byte of the head,
// with and without a length, on a fresh and on a kept connection.
func TestCutHeadIsTakenForWholeAnswer(t *testing.T) {
	for n, h := range map[string]string{
		"length":           "HTTP/1.1 200 OK\nContent-Length: 12\nId: %s\n\n",
		"length at end":    "HTTP/1.1 200 OK\nId: %s\nContent-Length: 12\n\n",
		"no length":        "HTTP/1.1 200 OK\nId: %s\n\n",
		"id first":         "HTTP/1.1 200 OK\nId: %s\nX: y\n\n",
		"chunks":           "HTTP/1.1 200 OK\nId: %s\nTransfer-Encoding: chunked\n\n",
		"interim":          "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nId: %s\n\n",
		"closed by server": "HTTP/1.1 200 OK\nId: %s\nConnection: close\n\n",
	} {
		t.Run(n, func(t *testing.T) {
			for _, k := range []bool{false, true} {
				i := "1"
				if k {
					i = "2"
				}
				f := strings.ReplaceAll(fmt.Sprintf(h, i), "\n", "\r\n")
				for c := range len(f) {
					s := &server{raw: true, replies: []string{f[:c] + "(cut)"}}
					w := []string{"backend-lost may-have-run"}
					l := []string{"1"}
					if k {
						s.replies = append([]string{strings.ReplaceAll(reply("1", "a"), "\n", "\r\n")}, s.replies...)
						w = append([]string{"a"}, w...)
						l = append(l, "2")
					}
					if d := cmp.Diff(w, sendAll(t, s, l...)); d != "" {
						t.Errorf("kept %v, %q: %s", k, f[:c], d)
					}
				}
			}
		})
	}
}
