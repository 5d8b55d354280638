package sched

import (
	"context"
	"net/http"
	"strings"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Codes of attempts at backend servers.
const (
	codeRefused     = "backend-refused"
	codeUnreachable = "backend-unreachable"
	codeDraining    = "backend-draining"
	// The client of the backend servers has read the drain mark.
	codeLeaving = "backend-leaving"
	codeLost    = "backend-lost"
	// The answer ended early or has a gap.
	codeIncomplete = "answer-incomplete"
)

// drainingHeader marks the 503 of an engine that is shutting down.
const drainingHeader = "Draining"

// unconnected returns whether the code says that no connection was made.
func unconnected(code string) bool { return code == codeRefused || code == codeUnreachable }

func (x *exchange) head(c context.Context, o order, w *part, h *wire.Head) progress {
	if h.GetStatus() == http.StatusServiceUnavailable && drains(h) {
		x.s.send(c, failure{attempt: o.attempt, o: draining, verdict: trail.NotRun})
		return waiting
	}
	w.head = h
	x.s.send(c, started{o.attempt})
	return going
}

func drains(h *wire.Head) bool {
	for _, a := range h.GetHeaders() {
		if http.CanonicalHeaderKey(a.GetName()) == drainingHeader && strings.EqualFold(strings.Join(a.GetValues(), ""), "true") {
			return true
		}
	}
	return false
}

func (x *exchange) data(c context.Context, o order, w *part, d *wire.Data) progress {
	if d.GetOffset() != w.received || w.head == nil {
		x.s.n.dropped.WithLabelValues(dropOffset).Inc()
		w.gap = w.gap || d.GetOffset() > w.received || w.head == nil
		return going
	}
	w.received += int64(len(d.GetChunk()))
	if !x.permitted(c, o, w) {
		return waiting
	}
	if x.a.data(w, d.GetChunk()) != nil {
		return ended
	}
	return going
}

// permitted asks the task once per attempt whether its data may be passed on.
func (x *exchange) permitted(c context.Context, o order, w *part) bool {
	if w.permitted {
		return true
	}
	a := make(chan bool, 1)
	w.permitted = x.s.send(c, firstToken{o.attempt, a}) && <-a
	return w.permitted
}

func (x *exchange) end(c context.Context, o order, w *part, d *wire.End) progress {
	v := trail.VerdictFromProto(d.GetVerdict())
	f := failure{attempt: o.attempt, o: failed, verdict: v, code: d.GetCode()}
	switch {
	case d.GetCrashed() || d.GetCode() == codeLost:
		f.o = crashed
	case d.GetCode() == codeDraining:
		f.o = draining
	case d.GetCode() == "" && v == trail.Ran && !w.gap && w.head != nil:
		return x.complete(c, o, w, d)
	case v == trail.NotRun && unconnected(d.GetCode()):
		f.o = refused
	case d.GetCode() == "":
		f.verdict = trail.MayHaveRun
		f.code = codeIncomplete
	}
	x.s.send(c, f)
	return waiting
}

// complete passes on the end of an answer.
func (x *exchange) complete(c context.Context, o order, w *part, d *wire.End) progress {
	if !x.permitted(c, o, w) || x.a.flush(w) != nil {
		return waiting
	}
	a := make(chan bool, 1)
	if !x.s.send(c, completion{o.attempt, d.GetTokens(), a}) || !<-a {
		return waiting
	}
	x.a.end(d)
	return ended
}
