package engine

import (
	"slices"
	"strings"
	"time"
)

// Outcomes of attempts, as GET /control/runs reports them.
const (
	outcomeRunning   = "running"
	outcomeComplete  = "complete"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
)

// sequence is one request while it is queued or running.
type sequence struct {
	request *completionRequest
	attempt string
	// Index of the next token to generate.
	next int
	// End of the prefill; the first token is generated after it.
	prefillEnd time.Time
	// Prompt tokens found in the prefix cache.
	cachedTokens int
	// Buffers the whole answer, so that the goroutine that owns the scheduler
	// never blocks on a reader. Closed after the last token.
	tokens chan int
	run    *run
}

// scheduler is the state of the engine. Only the goroutine of Engine.run uses it.
type scheduler struct {
	config *engineConfig
	// Start of the process, which a restart after a crash stands for.
	processStart time.Time
	// In order of arrival, first in first out.
	waiting []*sequence
	running []*sequence
	// End of the current step, zero when no request is running.
	stepEnd time.Time
	cache   *cache
	runs    *runs
	loads   loadHistory
	orders  orderState
	faults  faults
	// Closed when the connections that are open go silent, and then replaced
	// for the connections opened later.
	silenced chan struct{}
	// Closed by a crash and replaced at the restart.
	crashSignal chan struct{}
	// Time of the restart after a crash, zero when none is scheduled.
	restartAt time.Time
}

func newScheduler(config *engineConfig) *scheduler {
	return &scheduler{
		config: config, processStart: time.Now(), cache: newCache(config.cacheBlocks), runs: newRuns(),
		orders:   orderState{model: config.model, checksFencing: config.checksFencing},
		faults:   faults{slowdown: 1, crashMode: crashRefuse},
		silenced: make(chan struct{}), crashSignal: make(chan struct{}),
	}
}

// submit queues a request, or returns nil when the queue is full.
func (t *scheduler) submit(request *completionRequest, attempt string, offset int, now time.Time) *sequence {
	if len(t.waiting) >= t.config.queueLength {
		return nil
	}
	q := &sequence{request: request, attempt: attempt, next: min(offset, request.answerTokens)}
	q.tokens = make(chan int, request.answerTokens-q.next)
	t.waiting = append(t.waiting, q)
	t.admit(now)
	return q
}

// admit moves waiting requests to free slots.
func (t *scheduler) admit(now time.Time) {
	for len(t.waiting) > 0 && len(t.running) < t.config.slots {
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		q.run = t.runs.begin(q)
		n := t.cache.lookupAndStore(q.request.blockHashes, now)
		q.cachedTokens = n * blockTokens
		// A resumed request prefills the tokens before its offset like prompt
		// tokens.
		u := q.request.promptTokens() - q.cachedTokens + q.next
		q.prefillEnd = now.Add(t.scaled(time.Duration(u) * t.config.promptToken))
		if q.next == q.request.answerTokens {
			t.setOutcome(q, outcomeComplete)
			close(q.tokens)
			continue
		}
		t.running = append(t.running, q)
	}
	if len(t.running) > 0 && t.stepEnd.IsZero() {
		t.startStep(now)
	}
	t.loads.record(now, load{len(t.running), len(t.waiting), t.cache.ratio()}, t.config.loadLag)
}

// startStep sets the end of the next step. A step gets longer with each
// running request.
func (t *scheduler) startStep(now time.Time) {
	t.stepEnd = time.Time{}
	if n := len(t.running); n > 0 {
		t.stepEnd = now.Add(t.scaled(t.config.token + time.Duration(n)*t.config.tokenPerRequest))
	}
}

func (t *scheduler) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * t.faults.slowdown)
}

// completeStep ends a step: each request whose prefill is complete gets a
// token. If the prompt of one contains the crash text, the engine crashes
// instead.
func (t *scheduler) completeStep(now time.Time) {
	x := t.faults.crashText
	for _, q := range t.running {
		if x != "" && !now.Before(q.prefillEnd) && strings.Contains(q.request.text, x) {
			t.crash(now)
			return
		}
	}
	t.running = slices.DeleteFunc(t.running, func(q *sequence) bool {
		if now.Before(q.prefillEnd) {
			return false
		}
		q.tokens <- q.next
		q.next++
		q.run.tokens++
		if q.next < q.request.answerTokens {
			return false
		}
		t.setOutcome(q, outcomeComplete)
		close(q.tokens)
		return true
	})
	t.stepEnd = time.Time{}
	t.admit(now)
}

func (t *scheduler) setOutcome(seq *sequence, outcome string) {
	seq.run.outcome = outcome
}

// cancel removes a request whose connection was closed, and admits waiting
// requests to its slot.
func (t *scheduler) cancel(seq *sequence, now time.Time) {
	f := func(x *sequence) bool { return x == seq }
	t.waiting = slices.DeleteFunc(t.waiting, f)
	n := len(t.running)
	t.running = slices.DeleteFunc(t.running, f)
	if len(t.running) < n {
		t.setOutcome(seq, outcomeCancelled)
	}
	if len(t.running) == 0 {
		t.stepEnd = time.Time{}
	}
	t.admit(now)
}

// crash drops all requests and the prefix cache, and resets the connections.
func (t *scheduler) crash(now time.Time) {
	for _, q := range t.running {
		t.setOutcome(q, outcomeCrashed)
	}
	t.running, t.waiting = nil, nil
	t.stepEnd = time.Time{}
	t.cache.clear(now)
	t.loads.record(now, load{}, t.config.loadLag)
	if t.crashed() {
		return
	}
	close(t.crashSignal)
	if t.faults.restartAfter > 0 {
		t.restartAt = now.Add(t.faults.restartAfter)
	}
	if t.faults.crashMode == crashExit && t.config.exit != nil {
		go t.config.exit()
	}
}

// restart ends a crash; the engine accepts requests again.
func (t *scheduler) restart(now time.Time) {
	t.restartAt = time.Time{}
	if t.crashed() {
		t.processStart = now
		t.crashSignal = make(chan struct{})
	}
}

func (t *scheduler) crashed() bool {
	select {
	case <-t.crashSignal:
		return true
	default:
		return false
	}
}

// nextEvent returns the time of the next step end or restart, zero for none.
func (t *scheduler) nextEvent() time.Time {
	if t.stepEnd.IsZero() || !t.restartAt.IsZero() && t.restartAt.Before(t.stepEnd) {
		return t.restartAt
	}
	return t.stepEnd
}

// processDue restarts the engine and completes the step if they are due.
func (t *scheduler) processDue(now time.Time) {
	if !t.restartAt.IsZero() && !now.Before(t.restartAt) {
		t.restart(now)
	}
	if !t.stepEnd.IsZero() && !now.Before(t.stepEnd) {
		t.completeStep(now)
	}
}
