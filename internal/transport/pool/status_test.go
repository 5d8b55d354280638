package pool_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// statusRest follows the status of a whole response.
const statusRest = " x\nId: 1\nContent-Length: 1\n\na"

// Guards against a response whose status is not a final one of HTTP and that is passed
// on, or whose request counts as not run.
func TestInvalidStatusIsPassedOn(t *testing.T) {
	// Interim responses end at the final one that follows them.
	l := map[string]struct{ reply, want string }{
		"000":                      {"HTTP/1.1 000" + statusRest, "answer-invalid may-have-run"},
		"099":                      {"HTTP/1.1 099" + statusRest, "answer-invalid may-have-run"},
		"600":                      {"HTTP/1.1 600" + statusRest, "answer-invalid may-have-run"},
		"999":                      {"HTTP/1.1 999" + statusRest, "answer-invalid may-have-run"},
		"000 before a response":    {"HTTP/1.1 000 x\n\n" + reply("1", "a"), "answer-invalid may-have-run"},
		"four digits":              {"HTTP/1.1 2000" + statusRest, "backend-lost may-have-run"},
		"negative":                 {"HTTP/1.1 -20" + statusRest, "backend-lost may-have-run"},
		"signed":                   {"HTTP/1.1 +20" + statusRest, "answer-invalid may-have-run"},
		"switch of protocols":      {"HTTP/1.1 101 Switching Protocols\nId: 1\nUpgrade: x\nConnection: upgrade\n\na", "answer-unbounded may-have-run"},
		"interim only":             {"HTTP/1.1 103 Early Hints\nId: 1\n\n(cut)", "backend-lost may-have-run"},
		"interim with a body only": {"HTTP/1.1 199" + statusRest + "(cut)", "backend-lost may-have-run"},
		"interim without end":      {strings.Repeat("HTTP/1.1 103 Early Hints\nId: 1\n\n", 100) + reply("1", "a"), "answer-unbounded may-have-run"},
		"interim before the final": {"HTTP/1.1 103 Early Hints\n\n" + reply("1", "a"), "a"},
		"200":                      {"HTTP/1.1 200" + statusRest, "a"},
		"599":                      {"HTTP/1.1 599" + statusRest, "a"},
	}
	for n, k := range l {
		t.Run(n, func(t *testing.T) {
			if d := cmp.Diff([]string{k.want}, sendAll(t, &server{replies: []string{k.reply}}, "1")); d != "" {
				t.Error(d)
			}
		})
	}
}
