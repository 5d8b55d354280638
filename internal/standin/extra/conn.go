package extra

import (
	"bytes"
	"net"
	"net/http"
	"regexp"
	"strconv"
)

// maxRecordedBytes is the size beyond which an answer is not copied.
const maxRecordedBytes = 256 << 10

var requestIDLine = regexp.MustCompile(`(?i)\r\nX-Request-Id:[^\r]*`)

// conn remembers the last answer of each kind that was written to it. The goroutine of
// the server that serves the connection is the only one that uses it.
type conn struct {
	net.Conn
	requests int
	// Whether what is written belongs to an answer that is remembered.
	recording bool
	answer    []byte
	// By kind.
	answers map[string][]byte
	// Written together with the first bytes of the next answer.
	joined []byte
}

// SetLinger sets what closing the connection does with unsent data, for servers that
// reset connections.
func (n *conn) SetLinger(seconds int) error {
	if t, y := n.Conn.(*net.TCPConn); y {
		return t.SetLinger(seconds)
	}
	return nil
}

// Write writes a part of an answer.
func (n *conn) Write(b []byte) (int, error) {
	if n.recording && len(n.answer) < maxRecordedBytes {
		n.answer = append(n.answer, b...)
	}
	if len(n.joined) == 0 {
		return n.Conn.Write(b)
	}
	j := n.joined
	n.joined = nil
	w, e := n.Conn.Write(append(j, b...))
	return max(w-len(j), 0), e
}

func (n *conn) beginAnswer() {
	n.requests++
	n.recording = true
	n.answer = nil
}

// endAnswer remembers the answer that was written.
func (n *conn) endAnswer() {
	b := n.answer
	y := n.recording && len(b) < maxRecordedBytes
	n.recording = false
	n.answer = nil
	if !y {
		return
	}
	switch t := statusOf(b); {
	case t == http.StatusServiceUnavailable || t == http.StatusTooManyRequests:
		n.answers[kindRefusal] = b
		n.answers[kindUnnamed] = requestIDLine.ReplaceAll(b, nil)
	case t >= http.StatusBadRequest:
		n.answers[kindFailure] = b
	case t == http.StatusOK:
		n.answers[kindSuccess] = b
		n.answers[kindCut] = b[:len(b)/2]
	}
}

// statusOf returns the status of a whole answer, 0 if it has none.
func statusOf(answer []byte) int {
	f := bytes.Fields(answer[:min(len(answer), 32)])
	if len(f) < 2 {
		return 0
	}
	t, _ := strconv.Atoi(string(f[1]))
	return t
}
