package lines

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// Sustained rate of lines, and the number accepted in one burst.
	linesPerSecond = 300
	burstLines     = 1500
	// Most bytes that are buffered. Further lines are dropped.
	maxBufferedBytes = 1 << 20
	// Lines that arrive within this time are written together.
	coalescingWindow = 50 * time.Millisecond
)

// Writer is an io.Writer that expects one whole line in each call. A line that
// exceeds the rate limit, or that does not fit in the buffer because the output
// is blocked, is dropped. The next line that is accepted is preceded by one with
// the number of dropped lines.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	// Holds a value while the buffer has lines to be written.
	wake chan struct{}

	mu       sync.Mutex
	buffered []byte
	// Lines dropped since the last accepted one.
	omitted int
	closed  bool
	done    chan struct{}
}

// New returns a Writer to out and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	s := &Writer{out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line, or drops it. It never blocks on the output and always
// reports success.
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
		// An error is ignored, since it could only be reported in this log.
		_, _ = s.out.Write(b)
	}
}

// Close writes the buffered lines and stops the writer. Later lines are dropped.
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
