package event

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Largest event in bytes.
const maxEventBytes = 256 << 10

// ErrTooLong means that an event has more bytes than any sound one.
var ErrTooLong = errors.New("event is too long")

// Reader reads events one by one.
type Reader struct {
	reader *bufio.Reader
	// The event that Next returned last, with the empty line at its end.
	raw []byte
	id  string
	// Lines of data, joined by line feeds.
	data []byte
	// Whether the event has a line of data.
	hasData bool
}

// New returns a reader of the events of r.
func New(reader io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(reader, 1<<10)} }

// Next reads one whole event. It returns io.EOF where the stream ends between
// events, and io.ErrUnexpectedEOF where it ends within one.
func (s *Reader) Next() error {
	s.raw = s.raw[:0]
	s.data = s.data[:0]
	s.id = ""
	s.hasData = false
	for {
		l, e := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, l...)
		if len(s.raw) > maxEventBytes {
			return ErrTooLong
		}
		if errors.Is(e, bufio.ErrBufferFull) {
			// The line goes on; it is parsed once it is whole.
			e = s.readLineRest()
		}
		if e != nil {
			if errors.Is(e, io.EOF) && len(s.raw) > 0 {
				return io.ErrUnexpectedEOF
			}
			return e
		}
		t := s.lastLine()
		if len(t) == 0 {
			if len(bytes.TrimSpace(s.raw)) == 0 {
				s.raw = s.raw[:0]
				continue
			}
			return nil
		}
		s.parseField(t)
	}
}

// readLineRest reads the remainder of a line that is longer than the buffer.
func (s *Reader) readLineRest() error {
	for {
		l, e := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, l...)
		if len(s.raw) > maxEventBytes {
			return ErrTooLong
		}
		if !errors.Is(e, bufio.ErrBufferFull) {
			return e
		}
	}
}

// lastLine returns the last line of the event so far, without its end.
func (s *Reader) lastLine() []byte {
	t := bytes.TrimSuffix(s.raw, []byte("\n"))
	t = t[bytes.LastIndexByte(t, '\n')+1:]
	return bytes.TrimSuffix(t, []byte("\r"))
}

func (s *Reader) parseField(line []byte) {
	n, v, _ := bytes.Cut(line, []byte(":"))
	v = bytes.TrimPrefix(v, []byte(" "))
	switch string(n) {
	case "id":
		s.id = string(v)
	case "data":
		if s.hasData {
			s.data = append(s.data, '\n')
		}
		s.data = append(s.data, v...)
		s.hasData = true
	}
}

// Raw returns the event as received. It is valid until the next call of Next.
func (s *Reader) Raw() []byte { return s.raw }

// ID returns the event's id, empty when it has none.
func (s *Reader) ID() string { return s.id }

// Data returns the event's data. It is valid until the next call of Next.
func (s *Reader) Data() []byte { return s.data }

// Empty says whether the event has neither an id nor data, as a comment that
// only keeps the connection open.
func (s *Reader) Empty() bool { return s.id == "" && !s.hasData }

// HasData says whether the event has data, which may be empty.
func (s *Reader) HasData() bool { return s.hasData }

// Follows says whether an event may come after the last one: ids that are
// numbers grow by one. Ids that are missing or no numbers are not compared.
func Follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	l, e := strconv.ParseInt(last, 10, 64)
	n, f := strconv.ParseInt(id, 10, 64)
	return e != nil || f != nil || n == l+1
}
