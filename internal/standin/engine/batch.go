package engine

import (
	"slices"
	"strings"
	"time"
)

// Outcomes of runs.
const (
	outcomeRunning   = "running"
	outcomeComplete  = "complete"
	outcomeCancelled = "cancelled"
	outcomeCrashed   = "crashed"
)

// sequence is one request while it waits or runs.
type sequence struct {
	p       *prompt
	attempt string
	// The next token to generate.
	next int
	// When the prompt has been read in.
	ready time.Time
	// Prompt tokens that were in the cache.
	cached int
	// Has room for the whole answer, so that the task never waits for a
	// reader. Closed after the last token.
	out chan int
	run *run
}

// table is the state of the task.
type table struct {
	s *settings
	// In order of arrival.
	waiting []*sequence
	running []*sequence
	// End of the current step, zero when nothing runs.
	step   time.Time
	cache  *cache
	runs   *runs
	loads  loads
	orders orders
	faults faults
	// Closed when the connections of this time go silent, and then replaced.
	mute chan struct{}
	// Closed while the engine is crashed.
	down chan struct{}
	// When a crashed engine takes requests again, zero for never.
	back time.Time
}

func newTable(s *settings) *table {
	return &table{
		s: s, cache: newCache(s.cacheBlocks), runs: newRuns(),
		orders: orders{model: s.model, checked: s.checksFencing},
		faults: faults{slow: 1, mode: crashRefuse},
		mute:   make(chan struct{}), down: make(chan struct{}),
	}
}

// submit lets a request wait, or returns nil when too many do.
func (t *table) submit(p *prompt, attempt string, offset int, now time.Time) *sequence {
	if len(t.waiting) >= t.s.queueLength {
		return nil
	}
	q := &sequence{p: p, attempt: attempt, next: min(offset, p.answer)}
	q.out = make(chan int, p.answer-q.next)
	t.waiting = append(t.waiting, q)
	t.admit(now)
	return q
}

// admit gives free slots to waiting requests.
func (t *table) admit(now time.Time) {
	for len(t.waiting) > 0 && len(t.running) < t.s.slots {
		q := t.waiting[0]
		t.waiting = t.waiting[1:]
		q.run = t.runs.begin(q)
		n := t.cache.use(q.p.blocks, now)
		q.cached = n * blockTokens
		// The tokens generated before are read in like the prompt.
		u := q.p.tokens() - q.cached + q.next
		q.ready = now.Add(t.slowed(time.Duration(u) * t.s.promptToken))
		if q.next == q.p.answer {
			t.end(q, outcomeComplete)
			close(q.out)
			continue
		}
		t.running = append(t.running, q)
	}
	if len(t.running) > 0 && t.step.IsZero() {
		t.schedule(now)
	}
	t.loads.note(now, load{len(t.running), len(t.waiting), t.cache.ratio()}, t.s.loadLag)
}

// schedule starts a step.
func (t *table) schedule(now time.Time) {
	t.step = time.Time{}
	if n := len(t.running); n > 0 {
		t.step = now.Add(t.slowed(t.s.token + time.Duration(n)*t.s.tokenPerRequest))
	}
}

func (t *table) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.faults.slow)
}

// advance ends a step: each request whose prompt is read in gets a token.
func (t *table) advance(now time.Time) {
	x := t.faults.text
	for _, q := range t.running {
		if x != "" && !now.Before(q.ready) && strings.Contains(q.p.text, x) {
			t.crash(now)
			return
		}
	}
	t.running = slices.DeleteFunc(t.running, func(q *sequence) bool {
		if now.Before(q.ready) {
			return false
		}
		q.out <- q.next
		q.next++
		q.run.tokens++
		if q.next < q.p.answer {
			return false
		}
		t.end(q, outcomeComplete)
		close(q.out)
		return true
	})
	t.step = time.Time{}
	t.admit(now)
}

func (t *table) end(q *sequence, outcome string) {
	q.run.outcome = outcome
}

// cancel stops a request whose connection was closed.
func (t *table) cancel(q *sequence, now time.Time) {
	f := func(x *sequence) bool { return x == q }
	t.waiting = slices.DeleteFunc(t.waiting, f)
	n := len(t.running)
	t.running = slices.DeleteFunc(t.running, f)
	if len(t.running) < n {
		t.end(q, outcomeCancelled)
	}
	if len(t.running) == 0 {
		t.step = time.Time{}
	}
	t.admit(now)
}

// crash loses all requests and the cache.
func (t *table) crash(now time.Time) {
	for _, q := range t.running {
		t.end(q, outcomeCrashed)
	}
	t.running, t.waiting = nil, nil
	t.step = time.Time{}
	t.cache.clear(now)
	t.loads.note(now, load{}, t.s.loadLag)
	if t.crashed() {
		return
	}
	close(t.down)
	if t.faults.restart > 0 {
		t.back = now.Add(t.faults.restart)
	}
	if t.faults.mode == crashExit && t.s.exit != nil {
		go t.s.exit()
	}
}

// restart takes requests again after a crash.
func (t *table) restart() {
	t.back = time.Time{}
	if t.crashed() {
		t.down = make(chan struct{})
	}
}

func (t *table) crashed() bool {
	select {
	case <-t.down:
		return true
	default:
		return false
	}
}

// wake returns when the table changes by itself next, zero for never.
func (t *table) wake() time.Time {
	if t.step.IsZero() || !t.back.IsZero() && t.back.Before(t.step) {
		return t.back
	}
	return t.step
}

// tick does what is due.
func (t *table) tick(now time.Time) {
	if !t.back.IsZero() && !now.Before(t.back) {
		t.restart()
	}
	if !t.step.IsZero() && !now.Before(t.step) {
		t.advance(now)
	}
}
