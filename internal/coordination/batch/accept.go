package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Delay before a failed write is retried.
	writeRetryInterval = 60 * time.Millisecond
	// Code of a write that the platform would refuse each time.
	codeRefused = "platform-refused"
	// Code of a job with an item that is larger than an object.
	codeItemTooLarge = "item-too-large"
	// Retry-After for callers whose job could not be stored.
	acceptRetryAfter = 700 * time.Millisecond
)

// inputBytes returns the bytes of an input object of a team's job on a route beside its
// items, each with a comma, as it is sent to the platform.
func inputBytes(route *wire.RouteRule, team string) int {
	n := len(`{"items":[],"route":}`) + object.TextSize(route.GetName()) - len(",")
	if team != "" {
		n += len(`,"team":`) + object.TextSize(team)
	}
	return n
}

// Accept stores a job with its items, whose submission the route has matched, for a
// team, or for none if team is empty. It returns nil once the job is accepted, also when
// it was accepted before. The error's verdict says whether any part of the job may run.
// It is "job-missing" if the id is that of another team's job.
func (s *Jobs) Accept(ctx context.Context, route *wire.RouteRule, team, id, host, path string, items []*wire.BatchItem) error {
	if s.Knows(id) {
		return s.checkTeam(ctx, id, team)
	}
	f, d, e := s.reserveItems(ctx, id, items)
	if d {
		return s.checkTeam(ctx, id, team)
	}
	if e != nil {
		return e
	}
	defer f()
	d, e = s.reserveQuota(ctx, route, team, id, items)
	if d {
		return s.checkTeam(ctx, id, team)
	}
	if e != nil {
		return e
	}
	n, d, e := s.storeItems(ctx, route, team, id, items)
	if e == nil && !d {
		d, e = s.storeJob(ctx, id, wire.BatchJob_builder{
			Host: &host, Path: &path, Route: proto.String(route.GetName()), Team: teamField(team), Total: proto.Int32(int32(len(items))), Inputs: proto.Int32(int32(n)),
		}.Build(), items)
	}
	if d {
		e = s.checkTeam(ctx, id, team)
	}
	if trail.CodeOf(e) == codeJobMissing {
		s.ledger.ReduceReservation(route.GetName(), s.accountTeam(team), id, 0)
	}
	return e
}

// storeItems creates the input objects of a job and returns their number. It returns
// true instead if the first one is that of a submission by another team.
func (s *Jobs) storeItems(ctx context.Context, route *wire.RouteRule, team, id string, items []*wire.BatchItem) (int, bool, error) {
	l := splitItems(items, inputBytes(route, team), s.payloadBytes)
	for n, i := range l {
		v := wire.BatchInput_builder{Items: i}.Build()
		if n == 0 {
			v.SetRoute(route.GetName())
			if team != "" {
				v.SetTeam(team)
			}
		}
		o, e := s.createObject(ctx, kindInputs, partName(id, n), v)
		d := errors.Is(e, trail.ErrExists)
		if e != nil && !d {
			if trail.CodeOf(e) == codeRefused && s.isTooLarge(route, team, i) {
				return 0, false, trail.WrapError(e, codeItemTooLarge, trail.NotRun, "item is larger than an object of the platform").WithPlace(i[0].GetId())
			}
			// The verdict is NotRun: no item runs before the job object exists.
			return 0, false, trail.WrapError(e, trail.CodeOf(e), trail.NotRun, "items of the job were not kept").WithPlace(id).WithRetryAfter(acceptRetryAfter)
		}
		if n == 0 && (d || o.Version() == 0) {
			f, e := s.isForeignInput(ctx, id, team)
			if e != nil || f {
				return 0, f, e
			}
		}
	}
	return len(l), false, nil
}

// storeJob creates the object of a job, whose owner it sets, and starts to run the job.
// It returns true if the job was accepted before, perhaps for another team.
func (s *Jobs) storeJob(ctx context.Context, id string, job *wire.BatchJob, items []*wire.BatchItem) (bool, error) {
	j := job
	j.SetOwner(s.self.GetName())
	j.SetIncarnation(s.self.GetIncarnation())
	j.SetAcceptedUnixMs(time.Now().UnixMilli())
	v := s.isDraining()
	if v {
		// The successor runs the job.
		j.SetOwner("")
	}
	b := time.Now()
	o, e := s.createObject(ctx, kindJobs, id, j)
	if errors.Is(e, trail.ErrExists) {
		return true, nil
	}
	if e != nil {
		// If the object was stored after all, only this front looks for it
		// soon.
		s.retryReconcile()
		return false, trail.WrapError(e, trail.CodeOf(e), trail.VerdictOf(e), "job object was not stored").WithPlace(id).WithRetryAfter(acceptRetryAfter)
	}
	if o.Version() == 0 {
		var m bool
		o, m, e = s.confirmCreated(ctx, id, j)
		if e != nil || !m {
			return e == nil, e
		}
	}
	l := s.logger.WithFields(log.Fields{"job-id": id, "items": len(items)})
	if j.GetTeam() != "" {
		l = l.WithField("team", j.GetTeam())
	}
	l.Info("batch: job accepted")
	if v {
		s.cacheJob(o, j)
		s.notifySuccessor(ctx, id, nil)
		return false, nil
	}
	s.startJob(o, j, items, b, true)
	return false, nil
}

// confirmCreated reads a job object that exists after a try of unknown outcome, and returns
// whether this front has created it. Another one has if the caller has repeated the job
// there meanwhile, and it runs the items then.
func (s *Jobs) confirmCreated(ctx context.Context, id string, created *wire.BatchJob) (object.Object, bool, error) {
	o, e := s.store.Get(ctx, kindJobs, id)
	if e != nil {
		s.retryReconcile()
		return o, false, trail.WrapError(e, trail.CodeOf(e), trail.MayHaveRun, "owner of the job is not known").WithPlace(id).WithRetryAfter(acceptRetryAfter)
	}
	j := &wire.BatchJob{}
	e = o.Decode(j)
	if e != nil {
		return o, false, trail.WrapError(e, "object-unreadable", trail.MayHaveRun, "job object is not decodable").WithPlace(id)
	}
	return o, j.GetOwner() == created.GetOwner() && j.GetIncarnation() == created.GetIncarnation() && j.GetTeam() == created.GetTeam(), nil
}

func (s *Jobs) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Knows reports whether this front has seen a job with an id, by its own memory.
func (s *Jobs) Knows(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cached[id] != nil
}

// createObject creates an object and retries failed writes until ctx ends, unless
// the platform would refuse the object each time. When the object exists after a
// try of unknown outcome, that try may have created it: the call succeeds, and the
// version of the returned object is 0.
func (s *Jobs) createObject(ctx context.Context, kind, name string, message proto.Message) (object.Object, error) {
	o, e := object.Encode(kind, name, 0, message)
	if e != nil {
		return o, trail.WrapError(e, "internal", trail.NotRun, "object value was not encoded").WithPlace(name)
	}
	// Whether an earlier try may have created the object.
	d := false
	for {
		n, f := s.store.Create(ctx, o)
		if errors.Is(f, trail.ErrExists) && d {
			return o, nil
		}
		if f == nil || errors.Is(f, trail.ErrExists) {
			return n, f
		}
		e = f
		d = d || trail.VerdictOf(e) != trail.NotRun
		if trail.CodeOf(e) == codeRefused || !sleep(ctx, writeRetryInterval) {
			break
		}
	}
	if d {
		e = trail.WrapError(e, trail.CodeOf(e), trail.MayHaveRun, "object may have been created").WithPlace(name)
	}
	return o, e
}

// sleep waits for a duration. It returns false when ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// splitItems divides items into groups of at most maxBytes each, as they are sent to
// the platform, with the bytes beside them. A larger item is a group of its own.
func splitItems(items []*wire.BatchItem, besideBytes, maxBytes int) [][]*wire.BatchItem {
	var l [][]*wire.BatchItem
	n := 0
	for _, i := range items {
		w := object.Size(i) + len(",")
		if len(l) == 0 || n+w > maxBytes {
			l = append(l, nil)
			n = besideBytes
		}
		l[len(l)-1] = append(l[len(l)-1], i)
		n += w
	}
	return l
}

// isTooLarge reports whether a group of items is a single one that has no room in an
// object of its own.
func (s *Jobs) isTooLarge(route *wire.RouteRule, team string, items []*wire.BatchItem) bool {
	return len(items) == 1 && inputBytes(route, team)+len(",")+object.Size(items[0]) > s.singleBytes
}
