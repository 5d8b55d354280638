package engine

import (
	"fmt"
	"net/http"
	"time"
)

// Number of attempts kept; beyond it the oldest is evicted.
const maxRuns = 100_000

// run records what ran under one attempt id.
type run struct {
	attempt string
	// Seed of the generated text, equal for equal messages.
	seed uint64
	// Number of times that a request with this id was admitted to a slot.
	starts  int
	tokens  int
	outcome string
}

type runs struct {
	byAttempt   map[string]*run
	oldestFirst []*run
	total       int
}

func newRuns() *runs {
	return &runs{byAttempt: map[string]*run{}}
}

// begin records that a request was admitted to a slot.
func (s *runs) begin(seq *sequence) *run {
	s.total++
	r := s.byAttempt[seq.attempt]
	if r == nil {
		r = &run{attempt: seq.attempt, seed: seq.request.seed}
		s.byAttempt[seq.attempt] = r
		s.oldestFirst = append(s.oldestFirst, r)
	}
	if len(s.oldestFirst) > maxRuns {
		delete(s.byAttempt, s.oldestFirst[0].attempt)
		s.oldestFirst = s.oldestFirst[1:]
	}
	r.starts++
	r.outcome = outcomeRunning
	return r
}

// runsForm is the response to GET /control/runs.
type runsForm struct {
	Total int       `json:"total"`
	Runs  []runForm `json:"runs"`
}

type runForm struct {
	AttemptID string `json:"attempt-id"`
	// Equal for requests with equal messages.
	PromptDigest string `json:"prompt-digest"`
	Count        int    `json:"count"`
	Tokens       int    `json:"tokens"`
	Outcome      string `json:"outcome"`
}

func (s *Engine) listRuns(w http.ResponseWriter, _ *http.Request) {
	o := runsForm{Runs: []runForm{}}
	s.runTask(func(t *scheduler, _ time.Time) {
		o.Total = t.runs.total
		for _, r := range t.runs.oldestFirst {
			o.Runs = append(o.Runs, runForm{r.attempt, fmt.Sprintf("%016x", r.seed), r.starts, r.tokens, r.outcome})
		}
	})
	writeJSON(w, http.StatusOK, o)
}
