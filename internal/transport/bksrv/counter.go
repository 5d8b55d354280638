package bksrv

import (
	"encoding/json"
	"io"

	sse "github.com/tmaxmax/go-sse"
)

const (
	// The last event of a chat completion's stream.
	doneEvent = "[DONE]"
	// A longer event makes the stream count as not whole.
	maxEventBytes = 1 << 20
)

// chunk is the part of a chat completion that is counted, of one event or of a
// whole answer.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

// counter reads an answer along, beside the bytes that are passed on. Its
// methods do nothing on nil.
type counter struct {
	w *io.PipeWriter
	// Receives one count when the answer has ended.
	result chan count
}

type count struct {
	// Chunks with content, or the usage that a whole answer names.
	tokens int64
	// Whether the last event was there.
	done bool
}

func newCounter(events bool) *counter {
	r, w := io.Pipe()
	s := &counter{w: w, result: make(chan count, 1)}
	go func() {
		var n count
		if events {
			n = countEvents(r)
		} else {
			n = countWhole(r)
		}
		// The parser may stop early, the writer must not block.
		_, _ = io.Copy(io.Discard, r)
		s.result <- n
	}()
	return s
}

func countEvents(r io.Reader) count {
	var n count
	for v, e := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if e != nil {
			n.done = false
			return n
		}
		n.done = v.Data == doneEvent
		k := chunk{}
		if n.done || json.Unmarshal([]byte(v.Data), &k) != nil {
			continue
		}
		for _, x := range k.Choices {
			if x.Delta.Content != "" {
				n.tokens++
				break
			}
		}
	}
	return n
}

func countWhole(r io.Reader) count {
	k := chunk{}
	e := json.NewDecoder(r).Decode(&k)
	if e != nil {
		return count{}
	}
	return count{tokens: k.Usage.CompletionTokens}
}

func (s *counter) write(b []byte) {
	if s == nil || len(b) == 0 {
		return
	}
	_, _ = s.w.Write(b)
}

// close returns the count and whether the last event was there.
func (s *counter) close() (int64, bool) {
	if s == nil {
		return 0, false
	}
	_ = s.w.Close()
	n := <-s.result
	return n.tokens, n.done
}

// abort ends the count of an answer that was given up.
func (s *counter) abort() {
	if s == nil {
		return
	}
	_ = s.w.CloseWithError(errClosed)
}
