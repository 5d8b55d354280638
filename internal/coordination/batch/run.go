package batch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/event"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/rules"
)

const (
	// A run without an event for so long has gone silent.
	silence = 4 * time.Second
	// Least time between the starts of two items. Other fronts start items at
	// the same time and see the slot taken only after it.
	startPause = 12 * time.Millisecond
)

var (
	errDropped = errors.New("job is no longer run here")
	errYielded = errors.New("slot given up for an online request")
	errSilent  = errors.New("backend server is silent")
	errOrder   = errors.New("stream lacks an event or repeats one")
	// errRunaway is the end of a run whose stream had no end in sight.
	errRunaway = errors.New("backend server sends more than an answer")
)

// run is one run of an item at a backend server.
type run struct {
	o      *owned
	n      int
	item   *wire.BatchItem
	server *wire.BackendServer
	end    context.CancelCauseFunc
	// Last event before the run.
	after string
	// Not counted at the backend server any more.
	uncounted bool
}

// dispatch hands waiting items to free slots until c ends.
func (s *Jobs) dispatch(c context.Context) {
	t := time.NewTicker(dispatchPause)
	defer t.Stop()
	var b time.Time
	for {
		select {
		case <-c.Done():
			return
		case <-s.wake:
		case <-t.C:
		}
		s.yieldAll()
		if time.Since(b) < startPause || !s.startNext() {
			continue
		}
		b = time.Now()
		// There may be more.
		time.AfterFunc(startPause, s.Wake)
	}
}

// startNext starts the item that comes next, and returns false when there is
// none or no slot is free.
func (s *Jobs) startNext() bool {
	s.m.Lock()
	defer s.m.Unlock()
	if s.leaving || len(s.owned) == 0 || !s.agenda.HasWaiting() {
		return false
	}
	t := s.table()
	if t == nil {
		return false
	}
	var b *wire.BackendServer
	o := time.Now()
	i, n, a := s.agenda.Next(o, func(id string) bool {
		v := service(t, s.owned[id].k)
		if v != "" {
			b = s.f.AcquireBatch(o, v)
		}
		return b != nil
	})
	if a {
		s.start(s.owned[i], n, b)
	}
	return a
}

// service returns the service that runs the items of a job now, empty when the
// job's route is gone.
func service(t *rules.Table, k *known) string {
	u := t.Match(k.host, k.path)
	if u == nil {
		return ""
	}
	return rules.PickService(u, rand.Float64())
}

// start begins a run; the caller holds the lock.
func (s *Jobs) start(o *owned, n int, b *wire.BackendServer) {
	c, f := context.WithCancelCause(o.c)
	r := &run{o: o, n: n, item: o.k.input[n], server: b, end: f}
	s.runs[b.GetId()] = append(s.runs[b.GetId()], r)
	p := o.progress[n]
	if p == nil {
		p = &progress{}
		o.progress[n] = p
	}
	r.after = p.last
	s.changed()
	go s.run(c, r, p)
}

// run runs an item and takes in how it ended.
func (s *Jobs) run(c context.Context, r *run, p *progress) {
	b := time.Now()
	a, e := s.send(c, r, p)
	v := errors.Is(context.Cause(c), errYielded)
	if e != nil && context.Cause(c) != nil {
		// Why the run was ended tells more than the closed connection.
		e = context.Cause(c)
	}
	r.end(nil)
	s.finish(r, a && e == nil)
	// The next run of the item may begin as soon as this one is accounted for.
	x := p.last
	n := s.outcome(r, p, a, v, e, time.Since(b))
	s.items.WithLabelValues(n).Inc()
	l := s.l.WithFields(log.Fields{
		"job-id": r.o.id, "item-id": r.item.GetId(), "server": r.server.GetId(), "outcome": n,
		"last-event": x, "ms": time.Since(b).Milliseconds(),
	})
	if e != nil {
		l = l.WithField("cause", e.Error())
	}
	l.Info("batch: run of an item ended")
}

// outcome takes in how a run ended and returns its name.
func (s *Jobs) outcome(r *run, p *progress, done, yielded bool, e error, ran time.Duration) string {
	s.m.Lock()
	defer s.m.Unlock()
	w := time.Now()
	defer s.Wake()
	if s.owned[r.o.id] != r.o {
		return "dropped"
	}
	if done || yielded {
		s.agenda.RecordRun(r.o.id, r.n, ran, done)
	}
	switch {
	case done:
		s.agenda.Close(r.o.id, r.n)
		s.result(r, false, string(p.text))
		return "done"
	case yielded:
		s.agenda.RequeuePreempted(r.o.id, r.n)
		return "yielded"
	case errors.Is(e, errImpossible):
		s.agenda.Close(r.o.id, r.n)
		s.result(r, true, "")
		return "impossible"
	case errors.Is(e, errFailed):
		s.f.RecordFailedAnswer(w, r.server.GetId())
		s.changed()
		if s.agenda.RequeueFailed(w, r.o.id, r.n, s.attempts(r.o)) {
			s.result(r, true, "")
			return "given-up"
		}
		return "failed"
	}
	if errors.Is(e, errOrder) || errors.Is(e, errRunaway) {
		*p = progress{}
	}
	s.agenda.RequeueBroken(w, r.o.id, r.n, p.last == r.after && trail.VerdictOf(e) != trail.NotRun)
	if errors.Is(e, errRunaway) {
		s.f.RecordFailedAnswer(w, r.server.GetId())
		s.changed()
	} else {
		s.f.RecordFailure(w, r.server.GetId(), trail.CodeOf(e) == "backend-unreachable")
	}
	return "broken"
}

// result keeps a result until it is listed; the caller holds the lock.
func (s *Jobs) result(r *run, failed bool, text string) {
	delete(r.o.progress, r.n)
	s.lower(r.o, r.o.tokens-r.item.GetTokens())
	i := r.item.GetId()
	r.o.results = append(r.o.results, wire.BatchResult_builder{Id: &i, Failed: &failed, Output: &text}.Build())
	if r.o.committing {
		return
	}
	r.o.committing = true
	d := commitPause
	if s.agenda.Unfinished(r.o.id) == 0 {
		d = 0
	}
	go s.commitSoon(r.o, d)
}

var (
	// The backend server says that the item can never be done.
	errImpossible = errors.New("item can never be done")
	// The backend server ran the item and failed.
	errFailed = errors.New("item failed")
)

// send runs the item to its end and gathers its events. It returns true when
// the output is whole.
func (s *Jobs) send(c context.Context, r *run, p *progress) (bool, error) {
	h := http.Header{}
	for _, v := range r.item.GetHeaders() {
		h[http.CanonicalHeaderKey(v.GetName())] = v.GetValues()
	}
	q := trail.NewRequest(r.item.GetId(), http.MethodPost, r.item.GetPath(), r.o.k.host, h, r.item.GetBody())
	t := time.AfterFunc(silence, func() { r.end(errSilent) })
	defer t.Stop()
	a, e := s.up.Send(c, r.server, q, p.last)
	if e != nil {
		return false, runaway(e)
	}
	defer func() { _ = a.Body.Close() }()
	switch {
	case a.StatusCode == http.StatusUnprocessableEntity:
		return false, errImpossible
	case a.StatusCode == http.StatusInternalServerError:
		return false, errFailed
	case a.StatusCode != http.StatusOK:
		return false, errors.Newf("backend server answered with status %d", a.StatusCode)
	}
	return s.gather(a, p, t)
}

func (s *Jobs) gather(a *http.Response, p *progress, t *time.Timer) (bool, error) {
	r := event.New(a.Body)
	for {
		e := r.Next()
		if errors.Is(e, io.EOF) {
			return p.begun, nil
		}
		if e != nil {
			return false, runaway(e)
		}
		if r.Empty() {
			// Bytes that only keep the connection open are no progress.
			continue
		}
		t.Reset(silence)
		if !p.add(r) {
			return false, errOrder
		}
		if len(p.text) > s.valueBytes {
			return false, errRunaway
		}
	}
}

// runaway marks the error of a server that sends bytes without end.
func runaway(e error) error {
	if trail.CodeOf(e) == "answer-unbounded" || errors.Is(e, event.ErrTooLong) {
		return errors.Mark(e, errRunaway)
	}
	return e
}

// add takes in the next event. It returns false when it does not follow the
// last one.
func (p *progress) add(r *event.Reader) bool {
	if !event.Follows(p.last, r.ID()) {
		return false
	}
	if r.HasData() {
		if p.begun {
			p.text = append(p.text, '\n')
		}
		p.text = append(p.text, r.Data()...)
		p.begun = true
	}
	if r.ID() != "" {
		p.last = strings.Clone(r.ID())
	}
	return true
}

// finish removes a run and frees its slot.
func (s *Jobs) finish(r *run, answered bool) {
	s.m.Lock()
	defer s.m.Unlock()
	l := s.runs[r.server.GetId()]
	for i, o := range l {
		if o == r {
			s.runs[r.server.GetId()] = append(l[:i:i], l[i+1:]...)
			break
		}
	}
	if !r.uncounted {
		r.uncounted = true
		s.f.ReleaseBatch(r.server.GetId(), answered)
		s.changed()
	}
}

// Crowded takes batch items away from a backend server that has more requests
// than slots.
func (s *Jobs) Crowded(server string) {
	s.m.Lock()
	defer s.m.Unlock()
	s.yield(server)
}

// yieldAll does so for all backend servers.
func (s *Jobs) yieldAll() {
	s.m.Lock()
	defer s.m.Unlock()
	for b := range s.runs {
		s.yield(b)
	}
}

// yield ends the youngest runs; the caller holds the lock.
func (s *Jobs) yield(server string) {
	n := s.f.BatchExcess(server)
	l := s.runs[server]
	for i := len(l) - 1; i >= 0 && n > 0; i-- {
		if l[i].uncounted {
			continue
		}
		l[i].uncounted = true
		s.f.ReleaseBatch(server, false)
		l[i].end(errYielded)
		n--
		s.changed()
	}
}
