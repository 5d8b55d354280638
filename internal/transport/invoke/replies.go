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

// Size of the read buffers, and so the maximum size of the chunk in one Data.
const readBufferBytes = 16 << 10

type state int

const (
	stateHead state = iota
	stateData
	stateEnd
	stateDone
)

// replies converts a response to replies as it arrives. Close may be called from
// any goroutine, the other methods only from one.
type replies struct {
	client   *Client
	monitor  *callMonitor
	target   string
	call     *wire.Call
	response *http.Response
	state    state
	// Set on entering stateEnd.
	end    *wire.End
	buffer []byte
	// Number of bytes of the body read so far.
	offset int64
	// Whether the response is an event stream, and whether it is a successful
	// response to a chat completion.
	isEventStream, isChat bool
	// Counts tokens and detects the end of the stream. Nil unless isChat is set.
	parser *responseParser
}

func newReplies(client *Client, monitor *callMonitor, target string, call *wire.Call, response *http.Response) trail.Replies {
	u, _, _ := strings.Cut(call.GetPath(), "?")
	o := &replies{client: client, monitor: monitor, target: target, call: call, response: response, isEventStream: isEventStream(response)}
	o.isChat = u == chatPath && response.StatusCode == http.StatusOK
	o.buffer = make([]byte, readBufferBytes)
	if o.isChat {
		o.parser = newResponseParser(o.isEventStream)
	}
	return o
}

// isEventStream reports whether the body of a response is an event stream.
func isEventStream(response *http.Response) bool {
	t, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return t == "text/event-stream"
}

// newMismatchReplies returns the replies to a call that got the answer to another one.
func newMismatchReplies(client *Client, monitor *callMonitor, target string, call *wire.Call) trail.Replies {
	f := failure{code: codeMismatch, message: "answer belongs to another attempt"}
	return &replies{client: client, monitor: monitor, target: target, call: call, state: stateEnd, end: f.end(0)}
}

// newInvalidReplies returns the replies to a call whose answer has no final status of HTTP.
func newInvalidReplies(client *Client, monitor *callMonitor, target string, call *wire.Call) trail.Replies {
	f := failure{code: codeProtocol, message: "backend server gave an invalid answer"}
	return &replies{client: client, monitor: monitor, target: target, call: call, state: stateEnd, end: f.end(0)}
}

// Recv implements trail.Replies.
func (s *replies) Recv() (*wire.Reply, error) {
	o := &wire.Reply{}
	o.SetAttemptId(s.call.GetAttemptId())
	switch s.state {
	case stateHead:
		s.state = stateData
		o.SetHead(newHead(s.response, s.monitor.process()))
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

// readData returns the next bytes of the body, or nil at its end.
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

// finish sets the End after the last read of the body, which returned length
// bytes and err.
func (s *replies) finish(length int, err error) {
	s.state = stateEnd
	s.monitor.closeUnconfirmedConn()
	s.parser.write(s.buffer[:length])
	t, d := s.parser.close()
	switch {
	case s.isEventStream && s.isChat && d:
		// The done event completes the response, however the connection ends.
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

// nextReadTimeout returns the timeout of the next read of the body.
func (s *replies) nextReadTimeout() time.Duration {
	if s.isEventStream && s.offset > 0 {
		return chunkTimeout
	}
	return s.monitor.readTimeout
}

// endRan returns the End of a call that ran.
func endRan(tokens int64) *wire.End {
	o := &wire.End{}
	o.SetVerdict(wire.Verdict_VERDICT_RAN)
	o.SetTokens(tokens)
	return o
}

// Close discards the rest of the response. It closes the connection, which
// cancels the call at the backend server.
func (s *replies) Close() error {
	s.monitor.stop()
	s.parser.abort()
	if s.response == nil {
		return nil
	}
	s.monitor.closeUnconfirmedConn()
	return s.response.Body.Close()
}
