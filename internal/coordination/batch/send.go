package batch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/event"
)

var (
	// The backend server answered 422: no run of the item can succeed.
	errImpossible = errors.New("backend server cannot process the item (status 422)")
	// The backend server answered 500: it ran the item and failed.
	errFailed = errors.New("backend server failed to process the item (status 500)")
)

// sendItem sends the item to the backend server, from the last event received
// in earlier runs on, and reads the answer. It returns true when the output is
// complete.
func (s *Jobs) sendItem(ctx context.Context, run *itemRun, progress *itemProgress) (bool, error) {
	h := http.Header{}
	for _, v := range run.item.GetHeaders() {
		h[http.CanonicalHeaderKey(v.GetName())] = v.GetValues()
	}
	q := trail.NewRequest(run.item.GetId(), http.MethodPost, run.item.GetPath(), run.job.cached.host, h, run.item.GetBody())
	t := time.AfterFunc(eventTimeout, func() { run.cancel(errSilent) })
	defer t.Stop()
	a, e := s.upstream.Send(ctx, run.server, q, progress.lastEventID)
	if e != nil {
		return false, markUnbounded(e)
	}
	defer func() { _ = a.Body.Close() }()
	run.born, run.exchange = a.Born(), a.Exchange()
	switch {
	case a.StatusCode == http.StatusUnprocessableEntity:
		return false, errImpossible
	case a.StatusCode == http.StatusInternalServerError:
		return false, errFailed
	case a.StatusCode >= http.StatusBadRequest && a.StatusCode < http.StatusInternalServerError && a.StatusCode != http.StatusRequestTimeout && a.StatusCode != http.StatusTooManyRequests:
		return false, trail.NewError("backend-declined", trail.MayHaveRun, "backend server does not take the item, status %d", a.StatusCode)
	case a.StatusCode != http.StatusOK:
		return false, errors.Newf("backend server answered with status %d", a.StatusCode)
	}
	return s.readEvents(a.Response, run, progress, t)
}

func (s *Jobs) readEvents(response *http.Response, run *itemRun, progress *itemProgress, timer *time.Timer) (bool, error) {
	r := event.FromResponse(response)
	r.ShareRoom(s.eventRoom)
	defer r.Release()
	m := s.maxOutput(run.item)
	for {
		if progress.escapedBytes > m {
			return false, errTooLarge
		}
		e := r.Next()
		if errors.Is(e, io.EOF) {
			return progress.hasData, nil
		}
		if e != nil {
			return false, markUnbounded(e)
		}
		if !r.IsText() {
			return false, errNotText
		}
		if r.Empty() {
			continue
		}
		if r.HasData() {
			// Neither keep-alive comments nor ids without data count as progress.
			timer.Reset(eventTimeout)
		}
		if progress.build.IsZero() {
			progress.build = s.fleet.BuildOf(run.server, run.born)
		}
		n := len(progress.output)
		if !progress.addEvent(r) {
			return false, errEventOrder
		}
		if progress.exceeds(run.item) {
			return false, errUnbounded
		}
		if n/outputStep != len(progress.output)/outputStep {
			s.limitOutputs()
		}
	}
}

// markUnbounded marks an error as errUnbounded if it reports an answer or an
// event beyond its limit.
func markUnbounded(err error) error {
	if trail.CodeOf(err) == "answer-unbounded" || errors.Is(err, event.ErrTooLong) {
		return errors.Mark(err, errUnbounded)
	}
	return err
}
