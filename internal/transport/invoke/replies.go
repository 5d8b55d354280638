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
const readBufferBytes = 16 << 10

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
	client   *Client
	monitor  *callMonitor
	target   string
	call     *wire.Call
	response *http.Response
	state    state
	// Set before stateEnd.
	end    *wire.End
	buffer []byte
	// Bytes of the body read so far.
	offset int64
	// Whether the answer is an event stream, and one of a chat completion.
	isEventStream, isChat bool
	// Reads along for tokens and the end of the stream; nil for answers that
	// are not of a model.
	parser *answerParser
}

func newReplies(client *Client, monitor *callMonitor, target string, call *wire.Call, response *http.Response) trail.Replies {
	t, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	u, _, _ := strings.Cut(call.GetPath(), "?")
	o := &replies{client: client, monitor: monitor, target: target, call: call, response: response, isEventStream: t == "text/event-stream"}
	o.isChat = u == chatPath && response.StatusCode == http.StatusOK
	i := response.Header.Get(requestIDHeader)
	if call.GetModel() != "" && i != "" && i != call.GetAttemptId() {
		_ = response.Body.Close()
		o.state = stateEnd
		o.end = failure{code: codeMismatch, message: "answer belongs to another attempt"}.end(0)
		return o
	}
	o.buffer = make([]byte, readBufferBytes)
	if o.isChat {
		o.parser = newAnswerParser(o.isEventStream)
	}
	return o
}

// Recv returns the next reply.
func (s *replies) Recv() (*wire.Reply, error) {
	o := &wire.Reply{}
	o.SetAttemptId(s.call.GetAttemptId())
	switch s.state {
	case stateHead:
		s.state = stateData
		o.SetHead(newHead(s.response))
		return o, nil
	case stateData:
		d := s.readData()
		if d != nil {
			o.SetData(d)
			return o, nil
		}
	case stateDone:
		return nil, io.EOF
	}
	s.state = stateDone
	s.monitor.stop()
	s.client.recordEnd(s.target, s.call, s.end)
	o.SetEnd(s.end)
	return o, nil
}

// readData returns the next bytes of the body, nil at its end.
func (s *replies) readData() *wire.Data {
	for {
		s.monitor.resetTimer(s.nextReadTimeout())
		n, e := s.response.Body.Read(s.buffer)
		s.monitor.stopTimer()
		if e != nil {
			s.finish(n, e)
		}
		if n > 0 {
			d := &wire.Data{}
			d.SetOffset(s.offset)
			d.SetChunk(bytes.Clone(s.buffer[:n]))
			s.offset += int64(n)
			if s.end == nil {
				s.parser.write(d.GetChunk())
			}
			return d
		}
		if e != nil {
			return nil
		}
	}
}

// finish sets the end after the last read of n bytes, which gave e.
func (s *replies) finish(length int, err error) {
	s.state = stateEnd
	s.parser.write(s.buffer[:length])
	t, d := s.parser.close()
	switch {
	case s.isEventStream && s.isChat && d:
		// The last event makes the answer whole, however the connection ends.
		s.end = endRan(t)
	case err == io.EOF && s.isEventStream && s.isChat:
		s.end = failure{code: codeIncomplete, message: "event stream ended without [DONE]"}.end(t)
	case err == io.EOF && !isDelimited(s.response):
		s.end = failure{code: codeIncomplete, message: "end of the answer is not marked"}.end(t)
	case err == io.EOF:
		s.end = endRan(t)
	default:
		s.end = classify(s.monitor, err).end(t)
	}
}

// nextReadTimeout returns how long the next read may take.
func (s *replies) nextReadTimeout() time.Duration {
	if s.isEventStream && s.offset > 0 {
		return chunkTimeout
	}
	return s.monitor.readTimeout
}

func endRan(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_RAN)
	o.SetTokens(tokens)
	return o
}

// Close gives up the rest of the answer. The connection is closed, which
// cancels the call at the backend server.
func (s *replies) Close() error {
	s.monitor.stop()
	s.parser.abort()
	if s.response == nil {
		return nil
	}
	return s.response.Body.Close()
}
