package replay

import (
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/decide"
	"bulrushtrail.example/trail/internal/coordination/place"
	"bulrushtrail.example/trail/internal/coordination/policy"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Periods of the scheduler, and the lag of a runner's load report.
	tickPeriod = 100 * time.Millisecond
	loadPeriod = time.Second
	loadLag    = time.Second
	// Figures count from here, when the queues and caches have filled.
	warmUp = 10 * time.Second
	// A run goes on for so long after the end of the trace, so that what
	// arrived has ended.
	afterRun = 15 * time.Second
)

// setup is what one run varies.
type setup struct {
	t      *trace
	policy string
	// Whether the batch jobs of the trace and a backlog of batch items run.
	batch      bool
	batchShare int32
	// Whether batch items carry their prefix hash and are streams, which jobs
	// send neither of.
	batchPrefix, batchStream bool
	queue                    int32
	// Tokens in the prefix cache of a runner.
	cache  int
	faults []fault
	// Online requests of one caller that arrive together at half time, and the
	// callers with one request each that come after them.
	burst, small int
}

// run is one replay. It has one scheduler's decision module and its runners.
type run struct {
	s       setup
	d       *deployment
	c       *clock
	p       *place.Placer
	runners []*host
	keys    uint64
	calls   map[uint64]*call
	// Attempts in flight as the module knows them.
	live map[string]*attempt
	f    *figures
	// Online calls that wait, and batch attempts in flight.
	waiting, batch int
	// Caches of the runners if each prefix went to one of them only.
	fixed []*cache
	// Lines of the backlog, and the items taken from it.
	backlog []*line
	taken   int
}

// host is a runner with its state in the host list.
type host struct {
	*runner
	index int
	up    bool
	// Whether connections hang since it was lost, instead of breaking.
	silent bool
	// When it last started and was lost, from the start of the trace.
	upAt, lostAt time.Duration
}

// call is one request or batch item.
type call struct {
	key     uint64
	l       *line
	online  bool
	small   bool
	stream  bool
	arrived time.Duration
	// Nil for an online call and for an item of the backlog.
	j *job
	// When the first token came, 0 before.
	first      time.Duration
	dispatches int
	// Tokens of the answer that earlier attempts gave, when it is a stream.
	gained int
	// Slot time in which they were generated.
	kept time.Duration
}

// attempt is one dispatch of a call.
type attempt struct {
	id    string
	k     *call
	h     *host
	began time.Duration
	q     *sequence
}

func newRun(s setup) (*run, error) {
	y, e := policy.New(s.policy)
	if e != nil {
		return nil, e
	}
	d := s.t.d
	r := &run{
		s: s, d: d, c: newClock(), p: place.New(y, "replay"),
		calls: map[uint64]*call{}, live: map[string]*attempt{}, f: newFigures(s.t.length, d),
	}
	r.p.ServicesConfigured(r.c.now, d.text(s.queue, s.batchShare))
	for i := range d.runners {
		h := &host{index: i, up: true}
		h.runner = newRunner(r.c, d.slots, s.cache, r.firstToken, r.completed)
		r.runners = append(r.runners, h)
		r.fixed = append(r.fixed, newCache(s.cache))
		r.p.HostUpdated(r.c.now, d.host(i, 0))
	}
	return r, nil
}

// replay runs the trace and returns the figures.
func replay(s setup) (*figures, error) {
	r, e := newRun(s)
	if e != nil {
		return nil, e
	}
	for _, l := range s.t.lines {
		switch {
		case l.Kind == kindOnline:
			r.c.after(l.at(), func() { r.arrive(&call{l: l, online: true}) })
		case s.batch:
			r.c.after(l.at(), func() { r.submit(l) })
		}
	}
	if s.batch {
		r.startBacklog()
	}
	r.startBurst()
	for _, f := range s.faults {
		r.arrange(f)
	}
	r.c.every(tickPeriod, func() { r.follow(r.p.Tick(r.c.now)) })
	r.c.every(loadPeriod, r.reportLoads)
	r.c.run(s.t.length + afterRun)
	r.finish()
	return r.f, nil
}

// reportLoads delivers the load of each runner after its lag.
func (r *run) reportLoads() {
	for _, h := range r.runners {
		if !h.up {
			continue
		}
		n, w := len(h.running), len(h.waiting)
		r.c.after(loadLag, func() {
			if h.up {
				r.follow(r.p.LoadReported(r.c.now, hostName(h.index), n, w, r.d.slots))
			}
		})
	}
}

// arrive gives a call to the module.
func (r *run) arrive(k *call) {
	k.stream = k.l.Stream || !k.online && r.s.batchStream
	r.keys++
	k.key = r.keys
	k.arrived = r.c.since()
	r.calls[k.key] = k
	if k.online {
		r.waiting++
	}
	r.f.arrived(k)
	r.follow(r.p.CallArrived(r.c.now, k.key, r.request(k)))
}

// request is the call as an entry or a job sends it. Jobs name no prefix.
func (r *run) request(k *call) *wire.Call {
	n := int64(k.l.tokens())
	q := wire.Call_builder{
		Service:     &r.d.service,
		Caller:      &k.l.Caller,
		Class:       wire.Class_CLASS_BATCH.Enum(),
		CostTokens:  &n,
		Fingerprint: &k.key,
	}.Build()
	if k.online {
		q.SetClass(wire.Class_CLASS_ONLINE)
		q.SetStream(k.stream)
		q.SetPrefixHashes([]uint64{k.l.prefix(), k.rest()})
		d := defaultDeadline
		if k.l.DeadlineMS > 0 {
			d = time.Duration(k.l.DeadlineMS) * time.Millisecond
		}
		q.SetDeadlineUnixMs(r.c.now.Add(d).UnixMilli())
		return q
	}
	q.SetStream(k.stream)
	if r.s.batchPrefix {
		q.SetPrefixHashes([]uint64{k.l.prefix(), k.rest()})
	}
	if k.j != nil {
		q.SetDeadlineUnixMs(k.j.deadline.UnixMilli())
	}
	return q
}

// rest is the hash of the part of the prompt that no other request has.
func (k *call) rest() uint64 { return k.key | 1<<63 }

// follow carries out decisions.
func (r *run) follow(l []decide.Decision) {
	for _, d := range l {
		k := r.calls[d.Key()]
		switch d.Kind() {
		case decide.KindDispatch:
			r.dispatch(d, k)
		case decide.KindCancel:
			r.cancel(d.Attempt())
		case decide.KindReject:
			r.rejected(d, k)
		}
	}
	if len(l) > 0 && r.waiting > 0 && r.batch > 0 {
		r.f.heldUp++
	}
}

func (r *run) dispatch(d decide.Decision, k *call) {
	h := r.runners[slices.IndexFunc(r.runners, func(h *host) bool { return hostName(h.index) == d.Host() })]
	a := &attempt{id: d.Attempt(), k: k, h: h, began: r.c.since()}
	a.q = &sequence{
		attempt: a.id, prefix: k.l.prefix(), prefixTokens: k.l.PrefixTokens,
		rest: k.rest(), restTokens: k.l.PromptTokens + k.gained, answer: k.l.AnswerTokens - k.gained, start: -1,
	}
	r.live[a.id] = a
	k.dispatches++
	if k.online {
		r.waiting--
	} else {
		r.batch++
	}
	r.f.dispatched(a, r.touchFixed(k))
	r.c.after(r.d.latency, func() { r.receive(a) })
}

// touchFixed returns whether the prefix would be cached if it went to one
// fixed runner.
func (r *run) touchFixed(k *call) bool {
	c := r.fixed[k.l.prefix()%uint64(len(r.fixed))]
	h := c.use(k.l.prefix(), k.l.PrefixTokens)
	c.use(k.rest(), k.l.PromptTokens)
	return h
}

// receive is the arrival of an attempt at its runner.
func (r *run) receive(a *attempt) {
	if !a.h.up {
		w := r.d.latency
		if a.h.silent {
			w = connectTimeout
		}
		r.c.after(w, func() {
			if r.forget(a) {
				r.follow(r.p.ConnectionRefused(r.c.now, a.id))
			}
		})
		return
	}
	a.h.admit(a.q)
	r.c.after(r.d.latency, func() { r.p.AttemptStarted(r.c.now, a.id) })
}

// forget takes an attempt out of flight. It returns false when it was not.
func (r *run) forget(a *attempt) bool {
	if r.live[a.id] == nil {
		return false
	}
	delete(r.live, a.id)
	if a.k.online {
		r.waiting++
	} else {
		r.batch--
	}
	return true
}

func (r *run) cancel(id string) {
	a := r.live[id]
	if a == nil {
		return
	}
	r.forget(a)
	r.f.used(a, r.c.since(), false)
	if a.k.stream {
		n := a.h.gained(a.q)
		a.k.gained += n
		a.k.kept += time.Duration(n) * a.h.step()
	}
	r.c.after(r.d.latency, func() { a.h.cancel(id) })
}

func (r *run) firstToken(q *sequence) {
	r.c.after(r.d.latency, func() {
		a := r.live[q.attempt]
		// The answer that is not a stream comes as a whole at its end.
		if a == nil || !a.k.stream {
			return
		}
		if a.k.first == 0 {
			a.k.first = r.c.since()
		}
		r.follow(r.p.AnswerStarted(r.c.now, a.id))
	})
}

func (r *run) completed(q *sequence) {
	r.c.after(r.d.latency, func() {
		a := r.live[q.attempt]
		if a == nil {
			return
		}
		r.forget(a)
		r.f.used(a, r.c.since(), true)
		r.end(a.k, "")
		r.follow(r.p.AttemptCompleted(r.c.now, a.id, int64(q.answer)))
	})
}

// end counts the end of a call; the code is empty for a complete answer.
func (r *run) end(k *call, code string) {
	delete(r.calls, k.key)
	if k.online {
		r.waiting--
	}
	r.f.ended(k, r.c.since(), code)
	if !k.online {
		r.itemEnded(k, code, time.Second)
	}
}

func (r *run) rejected(d decide.Decision, k *call) {
	delete(r.calls, k.key)
	if k.online {
		r.waiting--
	}
	r.f.ended(k, r.c.since(), d.Reason())
	if !k.online {
		r.itemEnded(k, d.Reason(), max(d.RetryAfter(), time.Second))
	}
}

// failed ends an attempt that its connection broke off.
func (r *run) failed(a *attempt, silent bool) {
	if !r.forget(a) {
		return
	}
	r.f.used(a, a.h.lostAt, false)
	if silent {
		r.follow(r.p.AttemptFailed(r.c.now, a.id, trail.MayHaveRun, "backend-silent"))
		return
	}
	r.follow(r.p.ServerCrashed(r.c.now, a.id))
}

// finish closes the figures: what is still in flight has used its slot.
func (r *run) finish() {
	for _, a := range r.live {
		r.f.used(a, r.c.since(), false)
	}
	for _, h := range r.runners {
		if h.up {
			r.f.alive(h.upAt, r.c.since())
		}
	}
}
