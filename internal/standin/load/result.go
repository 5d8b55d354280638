package load

import "time"

// Codes of failures that the tool sees itself.
const (
	codeUnreachable = "entry-unreachable"
	codeLost        = "connection-lost"
	codeTimeout     = "timeout"
	codeBroken      = "answer-broken"
	// The answer is complete but has another text than the request must give.
	codeWrong = "answer-wrong"
)

// Verdict of failures that carry none.
const noVerdict = "unknown"

// result is what happened to one line of the trace.
type result struct {
	line *line
	// Empty when the answer is complete.
	code    string
	verdict string
	// Requests sent, without those of a job.
	attempts int
	// From the planned start; first is 0 when there was no first token.
	first, total time.Duration
	gaps         []time.Duration
	// Start of the request after its planned start.
	late time.Duration

	// Of a job: items by outcome, and the time from its submission to its end.
	completed, failed, missing, repeated, wrong int
	job                                         time.Duration
	// Time of the end, from the start of the trace.
	ended time.Duration
}
