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
	// Intervals of scheduler ticks and of load reports, and the delay of a
	// runner's load report.
	tickInterval       = 100 * time.Millisecond
	loadReportInterval = time.Second
	loadReportLag      = time.Second
	// Measurements start after this time, when queues and caches have filled.
	warmUp = 10 * time.Second
	// Time that a run continues after the end of the trace, so that calls in
	// flight can end.
	drainTime = 15 * time.Second
)

// runConfig holds the parameters of one run.
type runConfig struct {
	trace  *serviceTrace
	policy string
	// Whether the batch jobs of the trace and a backlog of batch items run.
	batch      bool
	batchShare int32
	// Whether batch items carry a prefix hash, and whether they are streams.
	batchPrefix, batchStream bool
	queueLength              int32
	// Capacity of a runner's prefix cache in tokens.
	cache  int
	faults []runnerFault
	// Number of online requests that one caller sends together in the middle of
	// the trace, and of callers that send one request each after them.
	burstRequests, smallCallers int
}

// run is one simulation of a scheduler's decision module and its runners.
type run struct {
	config     runConfig
	deployment *modelDeployment
	clock      *clock
	placer     *place.Placer
	runners    []*hostState
	lastKey    uint64
	calls      map[uint64]*callState
	// Attempts that the decision module considers in flight, by id.
	attempts map[string]*callAttempt
	figures  *figures
	// Waiting online calls, and batch attempts in flight.
	onlineWaiting, batchInFlight int
	// Caches that the runners would have if each prefix had one fixed runner.
	fixedCaches []*cache
	// Trace lines of the backlog, and the number of items taken from it.
	backlogLines []*traceLine
	backlogTaken int
}

// hostState is a runner with its availability.
type hostState struct {
	*runner
	index int
	up    bool
	// Whether connections hang instead of breaking while the runner is lost.
	unresponsive bool
	// When the runner last started and was last lost, since the start of the
	// trace.
	upAt, lostAt time.Duration
}

// callState is one request or batch item.
type callState struct {
	key         uint64
	line        *traceLine
	online      bool
	smallCaller bool
	stream      bool
	arrived     time.Duration
	// Nil for an online call and for an item of the backlog.
	job *batchJob
	// When the first token was received; 0 before.
	firstTokenAt time.Duration
	dispatches   int
	// Answer tokens that earlier attempts of a stream generated.
	resumedTokens int
	// Slot time in which resumedTokens were generated.
	resumedTime time.Duration
}

// callAttempt is one dispatch of a call.
type callAttempt struct {
	id        string
	call      *callState
	host      *hostState
	startedAt time.Duration
	sequence  *sequence
}

func newRun(config runConfig) (*run, error) {
	y, e := policy.New(config.policy)
	if e != nil {
		return nil, e
	}
	d := config.trace.deployment
	r := &run{
		config: config, deployment: d, clock: newClock(), placer: place.New(y, "replay"),
		calls: map[uint64]*callState{}, attempts: map[string]*callAttempt{}, figures: newFigures(config.trace.length, d),
	}
	r.placer.ServicesConfigured(r.clock.now, d.servicesText(config.queueLength, config.batchShare))
	for i := range d.runners {
		h := &hostState{index: i, up: true}
		h.runner = newRunner(r.clock, d.slots, config.cache, r.firstToken, r.completed)
		r.runners = append(r.runners, h)
		r.fixedCaches = append(r.fixedCaches, newCache(config.cache))
		r.placer.HostUpdated(r.clock.now, d.hostEntry(i, 0))
	}
	return r, nil
}

// runTrace simulates the trace and returns the figures.
func runTrace(config runConfig) (*figures, error) {
	r, e := newRun(config)
	if e != nil {
		return nil, e
	}
	for _, l := range config.trace.lines {
		switch {
		case l.Kind == kindOnline:
			r.clock.after(l.at(), func() { r.submitCall(&callState{line: l, online: true}) })
		case config.batch:
			r.clock.after(l.at(), func() { r.submitJob(l) })
		}
	}
	if config.batch {
		r.startBacklog()
	}
	r.startBurst()
	for _, f := range config.faults {
		r.scheduleFault(f)
	}
	r.clock.every(tickInterval, func() { r.apply(r.placer.Tick(r.clock.now)) })
	r.clock.every(loadReportInterval, r.reportLoads)
	r.clock.run(config.trace.length + drainTime)
	r.finish()
	return r.figures, nil
}

// reportLoads samples the load of each runner and reports it after loadReportLag.
func (r *run) reportLoads() {
	for _, h := range r.runners {
		if !h.up {
			continue
		}
		n, w := len(h.running), len(h.waiting)
		r.clock.after(loadReportLag, func() {
			if h.up {
				r.apply(r.placer.LoadReported(r.clock.now, hostName(h.index), n, w, r.deployment.slots))
			}
		})
	}
}

// submitCall passes a call to the decision module.
func (r *run) submitCall(call *callState) {
	call.stream = call.line.Stream || !call.online && r.config.batchStream
	r.lastKey++
	call.key = r.lastKey
	call.arrived = r.clock.elapsed()
	r.calls[call.key] = call
	if call.online {
		r.onlineWaiting++
	}
	r.figures.recordArrival(call)
	r.apply(r.placer.CallArrived(r.clock.now, call.key, r.wireCall(call)))
}

// wireCall returns the call as an entry or a job sends it. Batch items carry
// prefix hashes only with the batchPrefix setting, because jobs send none.
func (r *run) wireCall(call *callState) *wire.Call {
	n := int64(call.line.tokens())
	q := wire.Call_builder{
		Service:     &r.deployment.service,
		Caller:      &call.line.Caller,
		Class:       wire.Class_CLASS_BATCH.Enum(),
		CostTokens:  &n,
		Fingerprint: &call.key,
	}.Build()
	if call.online {
		q.SetClass(wire.Class_CLASS_ONLINE)
		q.SetStream(call.stream)
		q.SetPrefixHashes([]uint64{call.line.prefix(), call.promptHash()})
		d := defaultDeadline
		if call.line.DeadlineMS > 0 {
			d = time.Duration(call.line.DeadlineMS) * time.Millisecond
		}
		q.SetDeadlineUnixMs(r.clock.now.Add(d).UnixMilli())
		return q
	}
	q.SetStream(call.stream)
	if r.config.batchPrefix {
		q.SetPrefixHashes([]uint64{call.line.prefix(), call.promptHash()})
	}
	if call.job != nil {
		q.SetDeadlineUnixMs(call.job.deadline.UnixMilli())
	}
	return q
}

// promptHash returns a hash for the part of the prompt that is unique to the
// call.
func (k *callState) promptHash() uint64 { return k.key | 1<<63 }

// apply executes decisions of the module.
func (r *run) apply(decisions []decide.Decision) {
	for _, d := range decisions {
		k := r.calls[d.Key()]
		switch d.Kind() {
		case decide.KindDispatch:
			r.dispatch(d, k)
		case decide.KindCancel:
			r.cancel(d.Attempt())
		case decide.KindReject:
			r.reject(d, k)
		}
	}
	if len(decisions) > 0 && r.onlineWaiting > 0 && r.batchInFlight > 0 {
		r.figures.blockedSteps++
	}
}

func (r *run) dispatch(decision decide.Decision, call *callState) {
	h := r.runners[slices.IndexFunc(r.runners, func(h *hostState) bool { return hostName(h.index) == decision.Host() })]
	a := &callAttempt{id: decision.Attempt(), call: call, host: h, startedAt: r.clock.elapsed()}
	a.sequence = &sequence{
		attempt: a.id, prefixHash: call.line.prefix(), prefixTokens: call.line.PrefixTokens,
		promptHash: call.promptHash(), promptTokens: call.line.PromptTokens + call.resumedTokens, answer: call.line.AnswerTokens - call.resumedTokens, start: -1,
	}
	r.attempts[a.id] = a
	call.dispatches++
	if call.online {
		r.onlineWaiting--
	} else {
		r.batchInFlight++
	}
	r.figures.recordDispatch(a, r.useFixedCache(call))
	r.clock.after(r.deployment.latency, func() { r.receive(a) })
}

// useFixedCache returns whether the prefix would be cached if each prefix had
// one fixed runner.
func (r *run) useFixedCache(call *callState) bool {
	c := r.fixedCaches[call.line.prefix()%uint64(len(r.fixedCaches))]
	h := c.use(call.line.prefix(), call.line.PrefixTokens)
	c.use(call.promptHash(), call.line.PromptTokens)
	return h
}

// receive handles the arrival of an attempt at its runner.
func (r *run) receive(attempt *callAttempt) {
	if !attempt.host.up {
		w := r.deployment.latency
		if attempt.host.unresponsive {
			w = connectTimeout
		}
		r.clock.after(w, func() {
			if r.removeAttempt(attempt) {
				r.apply(r.placer.ConnectionRefused(r.clock.now, attempt.id))
			}
		})
		return
	}
	attempt.host.admit(attempt.sequence)
	r.clock.after(r.deployment.latency, func() { r.placer.AttemptStarted(r.clock.now, attempt.id) })
}

// removeAttempt removes an attempt from those in flight. It returns false if the
// attempt was not in flight.
func (r *run) removeAttempt(attempt *callAttempt) bool {
	if r.attempts[attempt.id] == nil {
		return false
	}
	delete(r.attempts, attempt.id)
	if attempt.call.online {
		r.onlineWaiting++
	} else {
		r.batchInFlight--
	}
	return true
}

func (r *run) cancel(id string) {
	a := r.attempts[id]
	if a == nil {
		return
	}
	r.removeAttempt(a)
	r.figures.recordSlotTime(a, r.clock.elapsed(), false)
	if a.call.stream {
		n := a.host.generatedTokens(a.sequence)
		a.call.resumedTokens += n
		a.call.resumedTime += time.Duration(n) * a.host.step()
	}
	r.clock.after(r.deployment.latency, func() { a.host.cancel(id) })
}

func (r *run) firstToken(seq *sequence) {
	r.clock.after(r.deployment.latency, func() {
		a := r.attempts[seq.attempt]
		// An answer that is not a stream is sent whole on completion.
		if a == nil || !a.call.stream {
			return
		}
		if a.call.firstTokenAt == 0 {
			a.call.firstTokenAt = r.clock.elapsed()
		}
		r.apply(r.placer.AnswerStarted(r.clock.now, a.id))
	})
}

func (r *run) completed(seq *sequence) {
	r.clock.after(r.deployment.latency, func() {
		a := r.attempts[seq.attempt]
		if a == nil {
			return
		}
		r.removeAttempt(a)
		r.figures.recordSlotTime(a, r.clock.elapsed(), true)
		r.complete(a.call, "")
		r.apply(r.placer.AttemptCompleted(r.clock.now, a.id, int64(seq.answer)))
	})
}

// complete records the end of a call; the code is empty for a complete answer.
func (r *run) complete(call *callState, code string) {
	delete(r.calls, call.key)
	if call.online {
		r.onlineWaiting--
	}
	r.figures.recordEnd(call, r.clock.elapsed(), code)
	if !call.online {
		r.itemEnded(call, code, time.Second)
	}
}

func (r *run) reject(decision decide.Decision, call *callState) {
	delete(r.calls, call.key)
	if call.online {
		r.onlineWaiting--
	}
	r.figures.recordEnd(call, r.clock.elapsed(), decision.Reason())
	if !call.online {
		r.itemEnded(call, decision.Reason(), max(decision.RetryAfter(), time.Second))
	}
}

// failAttempt ends an attempt whose connection broke or timed out.
func (r *run) failAttempt(attempt *callAttempt, unresponsive bool) {
	if !r.removeAttempt(attempt) {
		return
	}
	r.figures.recordSlotTime(attempt, attempt.host.lostAt, false)
	if unresponsive {
		r.apply(r.placer.AttemptFailed(r.clock.now, attempt.id, trail.MayHaveRun, "backend-silent"))
		return
	}
	r.apply(r.placer.ServerCrashed(r.clock.now, attempt.id))
}

// finish adds the slot time of attempts still in flight and the uptime of the
// runners to the figures.
func (r *run) finish() {
	for _, a := range r.attempts {
		r.figures.recordSlotTime(a, r.clock.elapsed(), false)
	}
	for _, h := range r.runners {
		if h.up {
			r.figures.recordUptime(h.upAt, r.clock.elapsed())
		}
	}
}
