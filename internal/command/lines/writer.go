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
	perSecond = 300
	burst     = 1500
	// Bytes that wait to be written.
	maxWaiting = 1 << 20
	// Lines within this time share a write.
	gather = 50 * time.Millisecond
)

// Writer is an io.Writer of whole lines. A line that comes too fast, or that
// finds the buffer full because the other end does not read, is left out, and
// a later line tells how many were.
type Writer struct {
	w io.Writer
	r *rate.Limiter
	// Holds a value while lines wait.
	wake chan struct{}

	m       sync.Mutex
	waiting []byte
	// Lines left out since the last one written.
	omitted int
	closed  bool
	done    chan struct{}
}

// New returns a writer to w. Close ends it.
func New(w io.Writer) *Writer {
	s := &Writer{w: w, r: rate.NewLimiter(perSecond, burst), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write keeps one line to be written soon. It never fails.
func (s *Writer) Write(line []byte) (int, error) {
	s.m.Lock()
	defer s.m.Unlock()
	if s.closed {
		return len(line), nil
	}
	if len(s.waiting)+len(line) > maxWaiting || !s.r.Allow() {
		s.omitted++
		return len(line), nil
	}
	if s.omitted > 0 {
		s.waiting = fmt.Appendf(s.waiting, `{"fields":{"omitted":%d},"level":"warn","timestamp":%q,"message":"log: lines left out, they came too fast"}`+"\n",
			s.omitted, time.Now().Format(time.RFC3339Nano))
		s.omitted = 0
	}
	s.waiting = append(s.waiting, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *Writer) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(gather)
		s.flush()
	}
	s.flush()
}

func (s *Writer) flush() {
	s.m.Lock()
	b := s.waiting
	s.waiting = nil
	s.m.Unlock()
	if len(b) > 0 {
		// There is nowhere to report a failure of the log itself.
		_, _ = s.w.Write(b)
	}
}

// Close writes what waits and ends the writer.
func (s *Writer) Close() {
	s.m.Lock()
	d := s.closed
	s.closed = true
	s.m.Unlock()
	if d {
		return
	}
	close(s.wake)
	<-s.done
}
