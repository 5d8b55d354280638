package frame

import (
	"bufio"
	"io"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the largest message that a stream receives. It keeps a
// faulty peer from making the receiver allocate without limit. The largest
// regular message is one that carries the body of a call.
const MaxMessageBytes = 16 << 20

const readBufferBytes = 4 << 10

// Stream carries protobuf messages over a connection.
type Stream struct {
	conn net.Conn
	// Reads from conn, buffered unless another protocol follows on it.
	reader protodelim.Reader
}

// New returns a stream over conn that reads ahead into a buffer.
func New(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// NewUnbuffered returns a stream that reads no bytes beyond the current
// message, so that conn can be handed over to another protocol afterwards.
func NewUnbuffered(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: byteReader{conn}}
}

// byteReader implements io.ByteReader on a connection without reading ahead.
type byteReader struct{ net.Conn }

func (s byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, e := io.ReadFull(s.Conn, b[:])
	return b[0], e
}

// Send writes one message. After an error the peer may have received all, part
// or none of it.
func (s *Stream) Send(message proto.Message) error {
	_, e := protodelim.MarshalTo(s.conn, message)
	return e
}

// Recv reads the next message into message. It returns io.EOF if the peer
// closed the stream between messages, and io.ErrUnexpectedEOF if within one.
func (s *Stream) Recv(message proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}.UnmarshalFrom(s.reader, message)
}

// SetDeadline sets the deadline of all pending and future reads and writes. The
// zero time removes it.
func (s *Stream) SetDeadline(deadline time.Time) error { return s.conn.SetDeadline(deadline) }

// SetReadDeadline is like SetDeadline but applies to reads only.
func (s *Stream) SetReadDeadline(deadline time.Time) error { return s.conn.SetReadDeadline(deadline) }

// Close closes the sending direction.
func (s *Stream) Close() error { return s.conn.Close() }
