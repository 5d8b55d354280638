package invoke

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Bytes of one Data at most.
const readBytes = 16 << 10

type state int

const (
	stateHead state = iota
	stateData
	stateEnd
	stateDone
)

// replies reads an answer as it arrives. It is used by one goroutine, except
// for Close.
type replies struct {
	s      *Client
	p      *progress
	target string
	r      *wire.Call
	a      *http.Response
	state  state
	// Set before stateEnd.
	end    *wire.End
	buffer []byte
	// Bytes of the body read so far.
	offset int64
	// Whether the answer is an event stream, and one of a chat completion.
	events, chat bool
	// Reads along for tokens and the end of the stream; nil for answers that
	// are not of a model.
	counter *counter
}

func newReplies(s *Client, p *progress, target string, r *wire.Call, a *http.Response) trail.Replies {
	t, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	u, _, _ := strings.Cut(r.GetPath(), "?")
	o := &replies{s: s, p: p, target: target, r: r, a: a, events: t == "text/event-stream"}
	o.chat = u == chatPath && a.StatusCode == http.StatusOK
	i := a.Header.Get(requestIDHeader)
	if r.GetModel() != "" && i != "" && i != r.GetAttemptId() {
		_ = a.Body.Close()
		o.state = stateEnd
		o.end = fault{code: codeMismatch, message: "answer belongs to another attempt"}.end(0)
		return o
	}
	o.buffer = make([]byte, readBytes)
	if o.chat {
		o.counter = newCounter(o.events)
	}
	return o
}

// Recv returns the next reply.
func (s *replies) Recv() (*wire.Reply, error) {
	o := &wire.Reply{}
	o.SetAttemptId(s.r.GetAttemptId())
	switch s.state {
	case stateHead:
		s.state = stateData
		o.SetHead(head(s.a))
		return o, nil
	case stateData:
		d := s.read()
		if d != nil {
			o.SetData(d)
			return o, nil
		}
	case stateDone:
		return nil, io.EOF
	}
	s.state = stateDone
	s.p.stop()
	s.s.ended(s.target, s.r, s.end)
	o.SetEnd(s.end)
	return o, nil
}

// read returns the next bytes of the body, nil at its end.
func (s *replies) read() *wire.Data {
	for {
		s.p.allow(s.patience())
		n, e := s.a.Body.Read(s.buffer)
		s.p.pause()
		if e != nil {
			s.finish(n, e)
		}
		if n > 0 {
			d := &wire.Data{}
			d.SetOffset(s.offset)
			d.SetChunk(bytes.Clone(s.buffer[:n]))
			s.offset += int64(n)
			if s.end == nil {
				s.counter.write(d.GetChunk())
			}
			return d
		}
		if e != nil {
			return nil
		}
	}
}

// finish sets the end after the last read of n bytes, which gave e.
func (s *replies) finish(n int, e error) {
	s.state = stateEnd
	s.counter.write(s.buffer[:n])
	t, d := s.counter.close()
	switch {
	case s.events && s.chat && d:
		// The last event makes the answer whole, however the connection ends.
		s.end = ran(t)
	case e == io.EOF && s.events && s.chat:
		s.end = fault{code: codeIncomplete, message: "event stream ended without [DONE]"}.end(t)
	case e == io.EOF && !bounded(s.a):
		s.end = fault{code: codeIncomplete, message: "end of the answer is not marked"}.end(t)
	case e == io.EOF:
		s.end = ran(t)
	default:
		s.end = classify(s.p, e).end(t)
	}
}

// patience returns how long the next read may take.
func (s *replies) patience() time.Duration {
	if s.events && s.offset > 0 {
		return chunkTimeout
	}
	return s.p.first
}

func ran(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_RAN)
	o.SetTokens(tokens)
	return o
}

// Close gives up the rest of the answer. The connection is closed, which
// cancels the call at the backend server.
func (s *replies) Close() error {
	s.p.stop()
	s.counter.abort()
	if s.a == nil {
		return nil
	}
	return s.a.Body.Close()
}
