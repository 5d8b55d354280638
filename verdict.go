package trail

import "bulrushtrail.example/trail/internal/protocol/wire"

// Verdict says whether a request may have run. A caller of the system decides
// by it whether a repeated request can do harm.
type Verdict int

const (
	// MayHaveRun is the zero value, so that a forgotten verdict is the
	// cautious one.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran to an answer.
	Ran
)

// String returns the verdict as it stands in headers and error bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return "may-have-run"
}

// ParseVerdict is the inverse of String. Unknown text is MayHaveRun.
func ParseVerdict(text string) Verdict {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// VerdictFromProto returns the verdict of a message. One that is not set, or that
// this process does not know, is MayHaveRun.
func VerdictFromProto(message wire.Verdict) Verdict {
	switch message {
	case wire.Verdict_VERDICT_NOT_RUN:
		return NotRun
	case wire.Verdict_VERDICT_RAN:
		return Ran
	}
	return MayHaveRun
}

// Proto returns the verdict as it stands in messages.
func (v Verdict) Proto() wire.Verdict {
	switch v {
	case NotRun:
		return wire.Verdict_VERDICT_NOT_RUN
	case Ran:
		return wire.Verdict_VERDICT_RAN
	}
	return wire.Verdict_VERDICT_MAY_HAVE_RUN
}
