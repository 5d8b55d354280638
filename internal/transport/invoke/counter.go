package invoke

import (
	"io"

	"github.com/go-faster/jx"
	sse "github.com/tmaxmax/go-sse"
)

const (
	// The last event of a chat completion's stream.
	doneEvent = "[DONE]"
	// A longer event makes the stream count as not whole.
	maxEventBytes = 1 << 20
)

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
		if !n.done && hasContent([]byte(v.Data)) {
			n.tokens++
		}
	}
	return n
}

// hasContent reports whether a chunk of a chat completion has text for any of
// its choices. It reads the chunk's tokens by hand, because decoding into a
// struct takes a third of the time of passing a token on.
func hasContent(b []byte) bool {
	y := false
	d := jx.DecodeBytes(b)
	_ = field(d, "choices", func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			return field(d, "delta", func(d *jx.Decoder) error {
				return field(d, "content", func(d *jx.Decoder) error {
					// A content that is null has no text.
					if d.Next() != jx.String {
						return d.Skip()
					}
					t, e := d.StrBytes()
					y = y || len(t) > 0
					return e
				})
			})
		})
	})
	return y
}

// field calls f for one field of an object and skips the others.
func field(d *jx.Decoder, name string, f func(*jx.Decoder) error) error {
	return d.ObjBytes(func(d *jx.Decoder, k []byte) error {
		if string(k) == name {
			return f(d)
		}
		return d.Skip()
	})
}

func countWhole(r io.Reader) count {
	var n count
	_ = field(jx.Decode(r, readBytes), "usage", func(d *jx.Decoder) error {
		return field(d, "completion_tokens", func(d *jx.Decoder) (e error) {
			n.tokens, e = d.Int64()
			return e
		})
	})
	return n
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
