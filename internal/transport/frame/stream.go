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
	conn net.Conn
	// Reads n, through a buffer when the connection carries nothing else.
	reader protodelim.Reader
}

// New returns a stream on n.
func New(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// NewUnbuffered returns a stream that reads no byte beyond the message that it
// returns, so that another protocol can follow on n.
func NewUnbuffered(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: byteReader{conn}}
}

// byteReader reads bytes one by one where protodelim asks for them so.
type byteReader struct{ net.Conn }

func (s byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, e := io.ReadFull(s.Conn, b[:])
	return b[0], e
}

// Send writes one message. An error means that the peer may have received it
// in part or whole.
func (s *Stream) Send(message proto.Message) error {
	_, e := protodelim.MarshalTo(s.conn, message)
	return e
}

// Recv reads the next message into m. It returns io.EOF when the peer closed
// its side between messages, and io.ErrUnexpectedEOF within one.
func (s *Stream) Recv(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(s.reader, message)
}

// SetDeadline bounds the time of all later reads and writes. The zero time
// removes the bound.
func (s *Stream) SetDeadline(deadline time.Time) error { return s.conn.SetDeadline(deadline) }

// SetReadDeadline bounds the time of later reads only.
func (s *Stream) SetReadDeadline(deadline time.Time) error { return s.conn.SetReadDeadline(deadline) }

// Close ends the sending direction.
func (s *Stream) Close() error { return s.conn.Close() }
