package direct

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/stop"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// recordBegun records that a backend server has begun to answer with a status.
// A failure of the backend server's own shows nothing.
func (x *call) recordBegun(status int) {
	if x.begun || status >= http.StatusInternalServerError {
		return
	}
	x.begun = true
	x.server.crashes.AddBegun(time.Now(), x.fingerprint, x.request.SharedParts())
}

// recordLoss logs that the backend server was lost under the request, with what
// the request shares with others, and records it as a crash if no answer had
// begun.
func (x *call) recordLoss(backendServer *wire.BackendServer) {
	s := x.server
	s.lostTotal.WithLabelValues(x.service, strconv.FormatBool(x.begun)).Inc()
	s.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "server": backendServer.GetId(), "begun": x.begun,
		"shared-parts": x.request.SharedParts(), "fingerprint": x.fingerprintText(),
	}).Warn("direct: backend server lost under a request")
	if !x.begun {
		s.crashes.AddLoss(time.Now(), x.fingerprint, x.request.SharedParts(), backendServer.GetId(), x.sentAt)
		s.onLoadChange()
	}
}

func (x *call) fingerprintText() string { return strconv.FormatUint(x.fingerprint, 16) }

// stopError returns the error with which the call ends now because such requests
// crash backend servers, or nil.
func (x *call) stopError() error {
	d, o := x.server.crashes.Stopped(time.Now(), x.fingerprint, x.request.SharedParts())
	if !o {
		x.logResumed()
		return nil
	}
	x.logStopped(d)
	if x.possibleRuns > 0 {
		// A rejection would promise that the request has not run.
		return x.finalError(x.lastResult)
	}
	return trail.NewError("request-poisoned", trail.NotRun, "%d backend servers were lost when they began to answer such requests", d.Losses()).WithRetryAfter(time.Until(d.Until()))
}

// logStopped logs the evidence of a decision when it is first applied.
func (x *call) logStopped(decision stop.Decision) {
	s := x.server
	n, k := x.fingerprintText(), "request"
	if decision.Part() >= 0 {
		n, k = x.request.SharedParts()[decision.Part()], "prompt-part"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped[n] {
		return
	}
	s.stopped[n] = true
	o := time.Now()
	s.logger.WithFields(log.Fields{
		"request-id": x.request.ID(), "key": n, "kind": k, "losses": decision.Losses(), "servers": decision.Servers(),
		"first-ms-ago": o.Sub(decision.First()).Milliseconds(), "last-ms-ago": o.Sub(decision.Last()).Milliseconds(),
		"answers-begun-before": decision.KnownPart(), "for-ms": decision.Until().Sub(o).Milliseconds(),
	}).Warn("direct: requests are stopped, backend servers were lost when they began to answer them and none has answered since")
}

// logResumed logs the end of a decision at the first request that it no longer
// stops.
func (x *call) logResumed() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stopped) == 0 {
		return
	}
	for _, n := range append([]string{x.fingerprintText()}, x.request.SharedParts()...) {
		if s.stopped[n] {
			delete(s.stopped, n)
			s.logger.WithFields(log.Fields{"request-id": x.request.ID(), "key": n}).Info("direct: requests are no longer stopped, an answer began or the evidence is too old")
		}
	}
}
