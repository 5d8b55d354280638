package sched

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Codes of failed attempts.
const (
	codeRefused     = "backend-refused"
	codeUnreachable = "backend-unreachable"
	codeDraining    = "backend-draining"
	// The client of the backend servers has received the drain mark.
	codeServerLeaving = "backend-leaving"
	codeLost          = "backend-lost"
	// The answer ended early or has a gap.
	codeIncomplete = "answer-incomplete"
)

// headerDraining is the header that marks the responses of an engine that is
// shutting down.
const headerDraining = "Draining"

// headerLimit is the header with the calls a second that an engine takes from all
// schedulers together, as a decimal number.
const headerLimit = "Request-Limit"

// Least rate in calls a second. An engine that gets none could never say that its
// limit has ended.
const minLimit = 0.1

// isUnconnected returns whether the code means that no connection was made.
func isUnconnected(code string) bool { return code == codeRefused || code == codeUnreachable }

func (x *exchange) handleHead(ctx context.Context, order order, output *attemptOutput, head *wire.Head) progress {
	if head.GetStatus() == http.StatusServiceUnavailable && isDraining(head) {
		x.scheduler.sendEvent(ctx, attemptFailure{attemptID: order.attemptID, outcome: outcomeDraining, verdict: trail.NotRun})
		return awaitingOrder
	}
	output.head = head
	x.scheduler.sendEvent(ctx, attemptStarted{order.attemptID, isDraining(head), callsPerSecond(head), head.GetProcessStartUnixMs(), head.GetProcessUnknown()})
	return attemptContinues
}

func isDraining(head *wire.Head) bool {
	return strings.EqualFold(headerValue(head, headerDraining), "true")
}

// callsPerSecond returns the rate that an engine takes, 0 if it names none.
func callsPerSecond(head *wire.Head) float64 {
	l, e := strconv.ParseFloat(headerValue(head, headerLimit), 64)
	if e != nil || math.IsNaN(l) || math.IsInf(l, 0) {
		return 0
	}
	return max(l, minLimit)
}

func headerValue(head *wire.Head, name string) string {
	for _, a := range head.GetHeaders() {
		if http.CanonicalHeaderKey(a.GetName()) == name {
			return strings.Join(a.GetValues(), "")
		}
	}
	return ""
}

func (x *exchange) handleData(ctx context.Context, order order, output *attemptOutput, data *wire.Data) progress {
	if data.GetOffset() != output.received || output.head == nil {
		x.scheduler.counters.dropped.WithLabelValues(dropOffset).Inc()
		output.hasGap = output.hasGap || data.GetOffset() > output.received || output.head == nil
		return attemptContinues
	}
	output.received += int64(len(data.GetChunk()))
	if !x.mayWrite(ctx, order, output) {
		return awaitingOrder
	}
	if x.answer.writeData(output, data.GetChunk()) != nil {
		return callEnded
	}
	return attemptContinues
}

// mayWrite returns whether the attempt may send data. It asks the task only for
// the first data; if it is denied, the attempt has been cancelled.
func (x *exchange) mayWrite(ctx context.Context, order order, output *attemptOutput) bool {
	if output.permitted {
		return true
	}
	a := make(chan bool, 1)
	output.permitted = x.scheduler.sendEvent(ctx, dataPermissionRequest{order.attemptID, a}) && <-a
	return output.permitted
}

func (x *exchange) handleEnd(ctx context.Context, order order, output *attemptOutput, end *wire.End) progress {
	v := trail.VerdictFromProto(end.GetVerdict())
	f := attemptFailure{attemptID: order.attemptID, outcome: outcomeFailed, verdict: v, code: end.GetCode()}
	switch {
	case end.GetCrashed() || end.GetCode() == codeLost:
		f.outcome = outcomeCrashed
	case end.GetCode() == codeDraining:
		f.outcome = outcomeDraining
	case end.GetCode() == "" && v == trail.Ran && !output.hasGap && output.head != nil:
		return x.complete(ctx, order, output, end)
	case v == trail.NotRun && isUnconnected(end.GetCode()):
		f.outcome = outcomeRefused
	case end.GetCode() == "":
		f.verdict = trail.MayHaveRun
		f.code = codeIncomplete
	}
	x.scheduler.sendEvent(ctx, f)
	return awaitingOrder
}

// complete sends the rest of the answer and its end.
func (x *exchange) complete(ctx context.Context, order order, output *attemptOutput, end *wire.End) progress {
	if !x.mayWrite(ctx, order, output) || x.answer.flush(output) != nil {
		return awaitingOrder
	}
	a := make(chan bool, 1)
	if !x.scheduler.sendEvent(ctx, endPermissionRequest{order.attemptID, end.GetTokens(), a}) || !<-a {
		return awaitingOrder
	}
	x.answer.sendEnd(end)
	return callEnded
}
