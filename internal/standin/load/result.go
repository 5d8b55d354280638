package load

import "time"

// Codes of failures that the tool detects itself.
const (
	codeUnreachable    = "entry-unreachable"
	codeConnectionLost = "connection-lost"
	codeTimeout        = "timeout"
	codeInvalidAnswer  = "answer-broken"
	// The answer is complete, but its text differs from the expected one.
	codeWrongText = "answer-wrong"
)

// Verdict of failures that report none.
const unknownVerdict = "unknown"

// result is the outcome of one line of the trace.
type result struct {
	line *traceLine
	// Empty on success.
	code    string
	verdict string
	// Requests sent, resends included; 0 for a job.
	attempts int
	// Measured from the planned start; firstToken is 0 when no token was
	// received.
	firstToken, total time.Duration
	tokenIntervals    []time.Duration
	// Delay of the actual start after the planned start.
	sendDelay time.Duration

	// For a job: items by outcome, and the time from its submission to its end.
	completed, failed, missing, duplicated, wrong int
	jobDuration                                   time.Duration
	// Measured from the start of the trace.
	endedAt time.Duration
}
