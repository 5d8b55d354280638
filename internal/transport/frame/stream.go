package frame

import (
	"bufio"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message, so that a broken peer can't make the
// receiver allocate without limit. A call's body is the largest message.
const MaxMessageBytes = 16 << 20

const readBufferBytes = 4 << 10

// Stream carries protobuf messages on a connection.
type Stream struct {
	n net.Conn
	// Reads n, through a buffer when the connection carries nothing else.
	r protodelim.Reader
}

// New returns a stream on n.
func New(n net.Conn) *Stream {
	return &Stream{n: n, r: bufio.NewReaderSize(n, readBufferBytes)}
}

// NewUnbuffered returns a stream that reads no byte beyond the message that it
// returns, so that another protocol can follow on n.
func NewUnbuffered(n net.Conn) *Stream {
	return &Stream{n: n, r: single{n}}
}

// single reads bytes one by one where protodelim asks for them so.
type single struct{ net.Conn }

func (s single) ReadByte() (byte, error) {
	var b [1]byte
	_, e := io.ReadFull(s.Conn, b[:])
	return b[0], e
}

// Send writes one message. An error means that the peer may have received it
// in part or whole.
func (s *Stream) Send(m proto.Message) error {
	_, e := protodelim.MarshalTo(s.n, m)
	return e
}

// Recv reads the next message into m. It returns io.EOF when the peer closed
// its side between messages, and io.ErrUnexpectedEOF within one.
func (s *Stream) Recv(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(s.r, m)
}

// SetDeadline bounds the time of all later reads and writes. The zero time
// removes the bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.n.SetDeadline(t) }

// SetReadDeadline bounds the time of later reads only.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.n.SetReadDeadline(t) }

// Close ends the sending direction.
func (s *Stream) Close() error { return s.n.Close() }
