package direct_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Guards against online requests too large for all servers, or declined by all, that are sent to them or told to come again, that make sound servers avoided, and that miss a larger server.
func TestOversizedRequestsMakeServersAvoided(t *testing.T) {
	for c, m := range map[string]int64{"busy": 0, "busy known": 1000, "backend-declined": 0} {
		synctest.Test(t, func(t *testing.T) {
			u := &upstream{replies: []string{"200 a"}}
			s, f := newServer(u)
			v := func(id string, tokens int64) error {
				return s.Serve(t.Context(), route(wire.Repeat_REPEAT_ONCE, false, false, 1), 1, trail.NewRequest(id, "POST", "/p", "h", nil, nil).WithTokens(tokens), httptest.NewRecorder())
			}
			e := v("sound-1", 500)
			for n := range 3 {
				f.RecordMemory(fmt.Sprint("s", n), 0, m)
			}
			u.replies = slices.Repeat([]string{strings.TrimSuffix(c, " known")}, 100)
			for n := range 20 {
				time.Sleep(50 * time.Millisecond)
				x := v(fmt.Sprint("big-", n), 2000)
				if m > 0 && (trail.CodeOf(x) != "request-too-large" || trail.VerdictOf(x) != trail.NotRun || trail.RetryAfterOf(x) > 0 || len(u.attempts) > 1) {
					t.Error(x, u.attempts)
				}
			}
			u.replies = []string{"200 a", "200 b"}
			x := v("sound-2", 500)
			f.RecordMemory("s1", 0, 5000)
			y := v("large", 2000)
			if d := cmp.Diff([]error{nil, nil, nil}, []error{e, x, y}); d != "" || m > 0 && u.attempts[2] != "s1" {
				t.Error(c, u.attempts, d)
			}
		})
	}
}
