package replay

import (
	"math"
	"slices"
	"time"
)

// The pace of a runner is that of the engine stand-in.
const (
	tokenTime       = 20 * time.Millisecond
	tokenPerRequest = 200 * time.Microsecond
	promptTokenTime = 250 * time.Microsecond
	// Rounding of the sum of steps, in tokens.
	rounding = 1e-6
)

// runner is the model of one backend server. All requests that decode gain
// tokens at the same rate, so that one counter of tokens tells when each ends.
type runner struct {
	c     *clock
	slots int
	cache *cache
	// The events of a request at the runner.
	first, done func(q *sequence)
	running     []*sequence
	waiting     []*sequence
	// Tokens that a request has gained which decoded from the start, as of at.
	tokens float64
	at     time.Time
	// Grows with each change; a planned event of an older one is void.
	change int
}

// sequence is one request at a runner.
type sequence struct {
	attempt string
	// Hash and tokens of the prefix that other requests share, and of the rest.
	prefix, rest             uint64
	prefixTokens, restTokens int
	// Tokens of the answer that are left.
	answer int
	// Value of the runner's counter at the first step; negative before it.
	start float64
	begun bool
	hit   bool
}

func newRunner(c *clock, slots, cacheTokens int, first, done func(q *sequence)) *runner {
	return &runner{c: c, slots: slots, cache: newCache(cacheTokens), first: first, done: done, at: c.now}
}

// step is the time of one token.
func (r *runner) step() time.Duration {
	return tokenTime + time.Duration(len(r.running))*tokenPerRequest
}

func (r *runner) advance() {
	r.tokens += float64(r.c.now.Sub(r.at)) / float64(r.step())
	r.at = r.c.now
}

// admit takes a request, which waits when no slot is free.
func (r *runner) admit(q *sequence) {
	if len(r.running) >= r.slots {
		r.waiting = append(r.waiting, q)
		return
	}
	r.advance()
	r.running = append(r.running, q)
	n := q.restTokens
	q.hit = r.cache.use(q.prefix, q.prefixTokens)
	if !q.hit {
		n += q.prefixTokens
	}
	r.cache.use(q.rest, q.restTokens)
	r.c.after(time.Duration(n)*promptTokenTime, func() {
		if slices.Contains(r.running, q) {
			r.advance()
			q.start = r.tokens
			r.plan()
		}
	})
	r.plan()
}

// cancel ends a request and returns the tokens that it has gained.
func (r *runner) cancel(attempt string) {
	r.advance()
	m := func(q *sequence) bool { return q.attempt == attempt }
	r.running = slices.DeleteFunc(r.running, m)
	r.waiting = slices.DeleteFunc(r.waiting, m)
	r.fill()
	r.plan()
}

func (r *runner) fill() {
	for len(r.waiting) > 0 && len(r.running) < r.slots {
		q := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.admit(q)
	}
}

// gained returns the tokens of the answer so far.
func (r *runner) gained(q *sequence) int {
	if q.start < 0 {
		return 0
	}
	return int(r.tokens + float64(r.c.now.Sub(r.at))/float64(r.step()) - q.start + rounding)
}

// due returns the value of the counter at the next event of a request.
func (q *sequence) due() float64 {
	switch {
	case q.start < 0:
		return math.Inf(1)
	case !q.begun:
		return q.start + 1
	}
	return q.start + float64(q.answer)
}

// plan arranges the next event.
func (r *runner) plan() {
	r.change++
	n := math.Inf(1)
	for _, q := range r.running {
		n = min(n, q.due())
	}
	if math.IsInf(n, 1) {
		return
	}
	k := r.change
	d := time.Duration(math.Ceil(max(n-r.tokens, 0) * float64(r.step())))
	r.c.after(d, func() {
		if k == r.change {
			r.advance()
			r.reach()
		}
	})
}

// reach carries out the events that are due.
func (r *runner) reach() {
	for _, q := range slices.Clone(r.running) {
		if q.due() > r.tokens+rounding {
			continue
		}
		if !q.begun {
			q.begun = true
			r.first(q)
		}
		if q.due() <= r.tokens+rounding {
			r.running = slices.DeleteFunc(r.running, func(o *sequence) bool { return o == q })
			r.done(q)
		}
	}
	r.fill()
	r.plan()
}

// lose ends everything that runs, with the cache.
func (r *runner) lose() {
	r.change++
	r.running, r.waiting = nil, nil
	r.cache = newCache(r.cache.capacity)
}
