package event

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is larger than any event of a correctly working backend server.
	maxEventBytes = 256 << 10
	// An event takes room for this many bytes at a time, beyond the first ones.
	roomStep = 16 << 10
)

// ErrTooLong is returned for an event that exceeds the size limit of 256 KiB, or for
// which the long events of other streams leave no room.
var ErrTooLong = errors.New("event is too long")

// room is memory that several readers share.
type room interface {
	Take(bytes int) bool
	Return(bytes int)
}

// Reader reads events one at a time.
type Reader struct {
	reader *bufio.Reader
	// The current event, including the empty line that ends it.
	raw []byte
	id  string
	// Values of the data fields, joined by line feeds.
	data []byte
	// Whether the event has a data field. The field may be empty.
	hasData bool
	// The stream has neither a length nor chunks and ends with its connection.
	unframed bool
	// The stream has had an event that is not empty.
	begun bool
	// Shared with other readers, nil for no limit.
	room room
	// Bytes that the current event has taken of it.
	taken int
}

// New returns a reader of the events in reader.
func New(reader io.Reader) *Reader { return &Reader{reader: bufio.NewReaderSize(reader, 1<<10)} }

// FromResponse returns a reader of the events in a response.
func FromResponse(response *http.Response) *Reader {
	s := New(response.Body)
	s.unframed = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	return s
}

// ShareRoom makes long events take room that other readers take too. Release must be
// called in the end.
func (s *Reader) ShareRoom(room room) { s.room = room }

// Release gives back the room that the current event has taken. The event must not be
// used any more.
func (s *Reader) Release() {
	if s.taken == 0 {
		return
	}
	s.room.Return(s.taken)
	s.taken = 0
	s.raw, s.data = nil, nil
}

// fits reports whether there is room for what was read of the current event.
func (s *Reader) fits() bool {
	if len(s.raw) > maxEventBytes {
		return false
	}
	for s.room != nil && len(s.raw) > s.taken/2+roomStep {
		// The data is copied from what is read.
		if !s.room.Take(2 * roomStep) {
			return false
		}
		s.taken += 2 * roomStep
	}
	return true
}

// Next reads one complete event. It returns io.EOF if the stream ends between
// events, and io.ErrUnexpectedEOF if it ends within one. A stream that ends with
// its connection before its first event was cut off too.
func (s *Reader) Next() error {
	e := s.next()
	if errors.Is(e, io.EOF) && s.unframed && !s.begun {
		return io.ErrUnexpectedEOF
	}
	s.begun = s.begun || e == nil && !s.Empty()
	return e
}

func (s *Reader) next() error {
	s.Release()
	s.raw = s.raw[:0]
	s.data = s.data[:0]
	s.id = ""
	s.hasData = false
	for {
		l, e := s.reader.ReadSlice('\n')
		s.raw = append(s.raw, l...)
		if !s.fits() {
			return ErrTooLong
		}
		if errors.Is(e, bufio.ErrBufferFull) {
			// The line is longer than the buffer. It is parsed once complete.
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
		if !s.fits() {
			return ErrTooLong
		}
		if !errors.Is(e, bufio.ErrBufferFull) {
			return e
		}
	}
}

// lastLine returns the last line read of the current event, without its line
// ending.
func (s *Reader) lastLine() []byte {
	t := bytes.TrimSuffix(s.raw, []byte("\n"))
	t = t[bytes.LastIndexByte(t, '\n')+1:]
	return bytes.TrimSuffix(t, []byte("\r"))
}

// parseField parses the id and data fields and ignores all others.
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

// Raw returns the event as received. The slice is valid until the next call of
// Next.
func (s *Reader) Raw() []byte { return s.raw }

// ID returns the event's id, or the empty string if it has none.
func (s *Reader) ID() string { return s.id }

// Data returns the event's data. The slice is valid until the next call of
// Next.
func (s *Reader) Data() []byte { return s.data }

// Empty reports whether the event has neither an id nor data, such as a comment
// sent as a keepalive.
func (s *Reader) Empty() bool { return s.id == "" && !s.hasData }

// HasData reports whether the event has a data field, which may be empty.
func (s *Reader) HasData() bool { return s.hasData }

// IsText reports whether the event is text: its data is valid UTF-8, and so is its
// id, which has no control characters and can be sent in a header.
func (s *Reader) IsText() bool { return utf8.Valid(s.data) && IsIDText(s.id) }

// IsIDText reports whether the id of an event is valid UTF-8 without control
// characters.
func IsIDText(id string) bool {
	return utf8.ValidString(id) && strings.IndexFunc(id, unicode.IsControl) < 0
}

// Follows reports whether an event with the given id may directly follow the
// one with the id last. Numeric ids must increase by one. Ids that are missing
// or not numeric are not compared.
func Follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	l, e := strconv.ParseInt(last, 10, 64)
	n, f := strconv.ParseInt(id, 10, 64)
	return e != nil || f != nil || n == l+1
}
