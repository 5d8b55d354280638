package entry_test

import (
	"context"
	"strings"
	"testing"

	"bulrushtrail.example/trail/internal/standin/golden"
)

// Guards against a key, or an id of a request, that is accepted though it is not
// UTF-8 text and no object can hold it.
func TestIDThatIsNotTextIsAccepted(t *testing.T) {
	for _, k := range []struct{ name, step string }{
		{"key of a job", "POST /v1/batches\nIdempotency-Key: \xff\n\n" + `{"input_file_id":"f","endpoint":"/v1/chat/completions","completion_window":"2h"}`},
		{"key of a request", "POST /services/pedidos/x\nIdempotency-Key: \xff\n\nbody"},
		{"id of a request", "POST /services/pedidos/x\nX-Request-Id: caf\xe9\n\nbody"},
	} {
		t.Run(k.name, func(t *testing.T) {
			golden.Bubble(t, func(t *testing.T, c context.Context) {
				s := newSystem(t, c, "none")
				s.runStep(t, c, k.step)
				s.background.Wait()
				if g := s.transcript.redactedText(); !strings.Contains(g, ": 400") || !strings.Contains(g, "is not UTF-8 text") {
					t.Error(g)
				}
			})
		})
	}
}
