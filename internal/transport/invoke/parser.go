package invoke

import (
	"io"

	"github.com/go-faster/jx"
	sse "github.com/tmaxmax/go-sse"
)

const (
	// Data of the last event in the stream of a chat completion.
	doneEvent = "[DONE]"
	// A stream with a longer event is treated as incomplete.
	maxEventBytes = 1 << 20
)

// responseParser parses a copy of a response while the response is forwarded.
// The methods of a nil parser do nothing.
type responseParser struct {
	pipe *io.PipeWriter
	// Receives one summary at the end of the response.
	result chan responseSummary
}

type responseSummary struct {
	// Number of chunks with content, or the usage given in a response that is
	// not streamed.
	tokens int64
	// Whether the stream ended with the done event.
	hasDoneEvent bool
}

func newResponseParser(isEventStream bool) *responseParser {
	r, w := io.Pipe()
	s := &responseParser{pipe: w, result: make(chan responseSummary, 1)}
	go func() {
		var n responseSummary
		if isEventStream {
			n = parseEventStream(r)
		} else {
			n = parseJSON(r)
		}
		// If parsing stops early, the rest is discarded so that the writer does
		// not block.
		_, _ = io.Copy(io.Discard, r)
		s.result <- n
	}()
	return s
}

func parseEventStream(reader io.Reader) responseSummary {
	var n responseSummary
	for v, e := range sse.Read(reader, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if e != nil {
			n.hasDoneEvent = false
			return n
		}
		n.hasDoneEvent = v.Data == doneEvent
		if !n.hasDoneEvent && hasContent([]byte(v.Data)) {
			n.tokens++
		}
	}
	return n
}

// hasContent reports whether a chunk of a chat completion has text for any of
// its choices. It walks the JSON tokens by hand, because decoding into a struct
// would take a third of the time that forwarding a token takes.
func hasContent(chunk []byte) bool {
	y := false
	d := jx.DecodeBytes(chunk)
	_ = decodeField(d, "choices", func(d *jx.Decoder) error {
		return d.Arr(func(d *jx.Decoder) error {
			return decodeField(d, "delta", func(d *jx.Decoder) error {
				return decodeField(d, "content", func(d *jx.Decoder) error {
					// The content may be null.
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

// decodeField calls decode for the named field of an object and skips the
// others.
func decodeField(decoder *jx.Decoder, name string, decode func(*jx.Decoder) error) error {
	return decoder.ObjBytes(func(d *jx.Decoder, k []byte) error {
		if string(k) == name {
			return decode(d)
		}
		return d.Skip()
	})
}

func parseJSON(reader io.Reader) responseSummary {
	var n responseSummary
	_ = decodeField(jx.Decode(reader, readBufferBytes), "usage", func(d *jx.Decoder) error {
		return decodeField(d, "completion_tokens", func(d *jx.Decoder) (e error) {
			n.tokens, e = d.Int64()
			return e
		})
	})
	return n
}

func (s *responseParser) write(data []byte) {
	if s == nil || len(data) == 0 {
		return
	}
	_, _ = s.pipe.Write(data)
}

// close waits for the parser to finish. It returns the number of tokens and
// whether the stream ended with the done event.
func (s *responseParser) close() (int64, bool) {
	if s == nil {
		return 0, false
	}
	_ = s.pipe.Close()
	n := <-s.result
	return n.tokens, n.hasDoneEvent
}

// abort stops the parser of a response that was closed before its end.
func (s *responseParser) abort() {
	if s == nil {
		return
	}
	_ = s.pipe.CloseWithError(errCancelled)
}
