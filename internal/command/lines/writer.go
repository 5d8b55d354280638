package lines

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// Lines a second over a longer time, and at once.
	linesPerSecond = 300
	burstLines     = 1500
	// Bytes that wait to be written.
	maxBufferedBytes = 1 << 20
	// Lines within this time share a write.
	coalescingWindow = 50 * time.Millisecond
)

// Writer is an io.Writer of whole lines. A line that comes too fast, or that
// finds the buffer full because the other end does not read, is left out, and
// a later line tells how many were.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	// Holds a value while lines wait.
	wake chan struct{}

	mu       sync.Mutex
	buffered []byte
	// Lines left out since the last one written.
	omitted int
	closed  bool
	done    chan struct{}
}

// New returns a writer to w. Close ends it.
func New(out io.Writer) *Writer {
	s := &Writer{out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write keeps one line to be written soon. It never fails.
func (s *Writer) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	if len(s.buffered)+len(line) > maxBufferedBytes || !s.limiter.Allow() {
		s.omitted++
		return len(line), nil
	}
	if s.omitted > 0 {
		s.buffered = fmt.Appendf(s.buffered, `{"fields":{"omitted":%d},"level":"warn","timestamp":%q,"message":"log: lines left out, they came too fast"}`+"\n",
			s.omitted, time.Now().Format(time.RFC3339Nano))
		s.omitted = 0
	}
	s.buffered = append(s.buffered, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *Writer) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(coalescingWindow)
		s.flush()
	}
	s.flush()
}

func (s *Writer) flush() {
	s.mu.Lock()
	b := s.buffered
	s.buffered = nil
	s.mu.Unlock()
	if len(b) > 0 {
		// There is nowhere to report a failure of the log itself.
		_, _ = s.out.Write(b)
	}
}

// Close writes what waits and ends the writer.
func (s *Writer) Close() {
	s.mu.Lock()
	d := s.closed
	s.closed = true
	s.mu.Unlock()
	if d {
		return
	}
	close(s.wake)
	<-s.done
}
