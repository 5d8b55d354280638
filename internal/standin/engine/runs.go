package engine

import (
	"fmt"
	"net/http"
	"time"
)

// Attempts beyond so many push the oldest out.
const maxRuns = 100_000

// run counts what ran under one attempt id.
type run struct {
	attempt string
	// Seed of the text, the same for the same messages.
	seed uint64
	// Times that the attempt got a slot.
	count   int
	tokens  int
	outcome string
}

type runs struct {
	known map[string]*run
	order []*run
	total int
}

func newRuns() *runs {
	return &runs{known: map[string]*run{}}
}

// begin counts a request that got a slot.
func (s *runs) begin(q *sequence) *run {
	s.total++
	r := s.known[q.attempt]
	if r == nil {
		r = &run{attempt: q.attempt, seed: q.p.seed}
		s.known[q.attempt] = r
		s.order = append(s.order, r)
	}
	if len(s.order) > maxRuns {
		delete(s.known, s.order[0].attempt)
		s.order = s.order[1:]
	}
	r.count++
	r.outcome = outcomeRunning
	return r
}

// runsForm answers GET /control/runs.
type runsForm struct {
	Total int       `json:"total"`
	Runs  []runForm `json:"runs"`
}

type runForm struct {
	AttemptID string `json:"attempt-id"`
	// The same for requests with the same messages.
	PromptDigest string `json:"prompt-digest"`
	Count        int    `json:"count"`
	Tokens       int    `json:"tokens"`
	Outcome      string `json:"outcome"`
}

func (s *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	o := runsForm{Runs: []runForm{}}
	s.do(func(t *table, _ time.Time) {
		o.Total = t.runs.total
		for _, r := range t.runs.order {
			o.Runs = append(o.Runs, runForm{r.attempt, fmt.Sprintf("%016x", r.seed), r.count, r.tokens, r.outcome})
		}
	})
	answer(w, http.StatusOK, o)
}
