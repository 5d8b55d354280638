package inform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Least time after which a list without an answer is sent again. The first one
	// may have been lost in an outage that has ended since.
	minListRepeat = 500 * time.Millisecond
	// Longest time after which it is sent again.
	maxListRepeat = 2 * time.Second
	// A list is sent again after this multiple of the time that the last one took:
	// a large list on a slow link must not be slowed by its repetitions.
	listRepeatFactor = 2
	// Lists of one informer that wait for their answers at the same time.
	maxPendingLists = 8
)

// errNoAnswer means that a list was sent again and has no answer either.
var errNoAnswer = errors.New("platform has not answered two lists")

// listResult is the outcome of one list.
type listResult struct {
	objects []object.Object
	version int64
	// When the list was sent: it has all changes that the platform had
	// acknowledged by then.
	sentAt time.Time
	err    error
}

// list lists the kind, and returns the first answer. While there is none, it
// sends the list again beside those that wait. It fails when no list waits any
// more.
func (s *Informer) list(ctx context.Context) listResult {
	c, f := context.WithCancel(ctx)
	defer f()
	r := make(chan listResult)
	t := time.NewTicker(s.listRepeat())
	defer t.Stop()
	s.sendList(c, r)
	// Lists that wait, and repetitions.
	n, p := 1, 0
	for {
		select {
		case a := <-r:
			n--
			if a.err == nil {
				s.setListDuration(time.Since(a.sentAt))
			}
			if a.err == nil || n == 0 {
				return a
			}
			s.noteListError(ctx, a.err)
		case <-t.C:
			p++
			if p > 1 {
				s.noteListError(ctx, errNoAnswer)
			}
			if n < maxPendingLists {
				s.logger.Info("inform: list has no answer yet and is sent again")
				s.sendList(c, r)
				n++
			}
		case <-ctx.Done():
			return listResult{err: ctx.Err()}
		}
	}
}

// listRepeat returns the time after which a list without an answer is sent again.
func (s *Informer) listRepeat() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(listRepeatFactor*s.listDuration, minListRepeat), maxListRepeat)
}

func (s *Informer) setListDuration(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDuration = duration
}

// sendList sends one list, whose outcome goes to results unless ctx ends.
func (s *Informer) sendList(ctx context.Context, results chan<- listResult) {
	go func() {
		a := listResult{sentAt: time.Now()}
		a.objects, a.version, a.err = s.store.List(ctx, s.kind)
		select {
		case results <- a:
		case <-ctx.Done():
		}
	}()
}

// ListThrough lists the kind once through another store, such as one that also calls
// the platform through other fronts. An unavailability goes on: its end is a list that
// the platform answers this process.
func (s *Informer) ListThrough(ctx context.Context, store trail.Store) error {
	b := time.Now()
	l, v, e := store.List(ctx, s.kind)
	if e != nil {
		return e
	}
	for _, o := range l {
		if s.check == nil {
			break
		}
		e := s.check(o)
		if e != nil {
			s.logger.WithError(e).WithField("name", o.Name()).Warn("inform: list through another store not used")
			return e
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(l, v, b)
	return nil
}

// noteListError records that the platform has not answered a list.
func (s *Informer) noteListError(ctx context.Context, err error) {
	// ErrTooOld requires a new list, but the platform is available.
	if ctx.Err() == nil && !errors.Is(err, trail.ErrTooOld) {
		s.markUnavailable(err)
	}
}
