package chunks_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/protocol/chunks"
)

func chunkEvent(id, delta, finish string) string {
	return `data: {"id":"` + id + `","object":"chat.completion.chunk","created":7,"model":"fit","choices":[{"index":0,"delta":` + delta + `,"finish_reason":` + finish + `}]}` + "\n\n"
}

// Guards against a batch result that differs from a response that is not
// streamed because its item was preempted and resumed, and against a malformed
// or empty stream that is accepted as a response.
func TestJoinAfterResumeAndBrokenStream(t *testing.T) {
	for _, k := range []struct{ name, stream, content, finish string }{
		{"complete", chunkEvent("a", `{"role":"assistant","content":"boxed "}`, "null") + chunkEvent("a", `{"content":"shape"}`, "null") + chunkEvent("a", `{}`, `"stop"`) + "data: [DONE]\n\n", "boxed shape", "stop"},
		{"resumed", chunkEvent("a", `{"role":"assistant","content":"boxed "}`, "null") + chunkEvent("b", `{"content":"shape"}`, "null") + chunkEvent("b", `{}`, `"length"`) + "data: [DONE]\n\n", "boxed shape", "length"},
		{"no event", "data: [DONE]\n\n", "", ""},
		{"not a chunk", "data: {\"id\":\n\n", "", ""},
	} {
		t.Run(k.name, func(t *testing.T) {
			b, e := chunks.Join([]byte(k.stream))
			if k.finish == "" {
				if e == nil {
					t.Fatalf("no error for %q", b)
				}
				return
			}
			if e != nil {
				t.Fatal(e)
			}
			var g struct {
				ID, Object string
				Choices    []struct {
					Finish  string `json:"finish_reason"`
					Message struct{ Role, Content string }
				}
			}
			e = json.Unmarshal(b, &g)
			if e != nil {
				t.Fatal(e)
			}
			m := g.Choices[0]
			if d := cmp.Diff([]string{"a", "chat.completion", "assistant", k.content, k.finish}, []string{g.ID, g.Object, m.Message.Role, m.Message.Content, m.Finish}); d != "" {
				t.Error(d)
			}
			if strings.Contains(string(b), "delta") {
				t.Errorf("result contains fields of stream chunks: %s", b)
			}
		})
	}
}
