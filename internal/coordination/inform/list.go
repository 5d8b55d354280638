package inform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Time after which a list without an answer is sent again. The first one may
	// have been lost in an outage that has ended since.
	listRepeatInterval = 500 * time.Millisecond
	// Lists of one informer that wait for their answers at the same time. The
	// oldest one is given up for a further one.
	maxPendingLists = 4
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
	t := time.NewTicker(listRepeatInterval)
	defer t.Stop()
	// Cancel the lists that wait, the oldest first.
	p := []context.CancelFunc{s.sendList(c, r)}
	n := 1
	for {
		select {
		case a := <-r:
			n--
			if a.err == nil || n == 0 {
				return a
			}
			s.noteListError(ctx, a.err)
		case <-t.C:
			if len(p) == maxPendingLists {
				p[0]()
				p = p[1:]
			}
			if len(p) > 1 {
				s.noteListError(ctx, errNoAnswer)
			}
			s.logger.Info("inform: list has no answer yet and is sent again")
			p = append(p, s.sendList(c, r))
			n++
		case <-ctx.Done():
			return listResult{err: ctx.Err()}
		}
	}
}

// sendList sends one list, whose outcome goes to results unless ctx ends. The
// returned function cancels the list.
func (s *Informer) sendList(ctx context.Context, results chan<- listResult) context.CancelFunc {
	c, f := context.WithCancel(ctx)
	go func() {
		defer f()
		a := listResult{sentAt: time.Now()}
		a.objects, a.version, a.err = s.store.List(c, s.kind)
		select {
		case results <- a:
		case <-ctx.Done():
		}
	}()
	return f
}

// noteListError records that the platform has not answered a list.
func (s *Informer) noteListError(ctx context.Context, err error) {
	// ErrTooOld requires a new list, but the platform is available.
	if ctx.Err() == nil && !errors.Is(err, trail.ErrTooOld) {
		s.markUnavailable(err)
	}
}
