package trail

import "bulrushtrail.example/trail/internal/protocol/wire"

// Verdict says whether a request may have run. Callers use it to decide whether a
// retry is safe.
type Verdict int

const (
	// MayHaveRun is the zero value, so that a verdict that is not set is the
	// conservative one.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and will not run.
	NotRun
	// Ran means that the request ran and was answered.
	Ran
)

// String returns the verdict as written in headers and error bodies.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	}
	return "may-have-run"
}

// ParseVerdict is the inverse of String. It returns MayHaveRun for unknown text.
func ParseVerdict(text string) Verdict {
	switch text {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// VerdictFromProto is the inverse of Proto. It returns MayHaveRun for a verdict
// that is not set or not known to this version of the program.
func VerdictFromProto(message wire.Verdict) Verdict {
	switch message {
	case wire.Verdict_VERDICT_NOT_RUN:
		return NotRun
	case wire.Verdict_VERDICT_RAN:
		return Ran
	}
	return MayHaveRun
}

// Proto returns the verdict as encoded in protobuf messages.
func (v Verdict) Proto() wire.Verdict {
	switch v {
	case NotRun:
		return wire.Verdict_VERDICT_NOT_RUN
	case Ran:
		return wire.Verdict_VERDICT_RAN
	}
	return wire.Verdict_VERDICT_MAY_HAVE_RUN
}
