package direct

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A write to the caller that takes longer shows a caller that reads slowly. Then events
	// wait for it, and their pace says nothing about the backend server.
	slowWrite = 20 * time.Millisecond
	// Fewer events give no pace.
	minPaceEvents = 4
)

// timing measures the response of one attempt.
type timing struct {
	// Requests at the backend server when the attempt was sent, including this one.
	concurrency int
	// When its first event or its body had come, and the last event.
	firstAt, lastAt time.Time
	events          int
	// Size of a body that is not a stream.
	bytes int
	// The first event was late, and was reported.
	firstReported bool
	// The caller reads slowly.
	stalled bool
	// The attempt takes up a stream, of which the first event is later.
	resumed bool
}

func (x *call) startTiming(backendServer *wire.BackendServer) timing {
	return timing{concurrency: x.server.fleet.Concurrency(backendServer.GetId()), resumed: x.lastEventID != ""}
}

// addEvent records that an event has come.
func (m *timing) addEvent(now time.Time) {
	if m.events == 0 {
		m.firstAt = now
	}
	m.lastAt = now
	m.events++
}

// recordEvent records an event, and reports a late first one to the fleet at once.
func (x *call) recordEvent() {
	m := &x.timing
	m.addEvent(time.Now())
	if m.events == 1 && !m.resumed {
		m.firstReported = x.server.fleet.RecordFirst(m.firstAt, x.backendServer, x.born, m.concurrency, x.request.Tokens(), m.firstAt.Sub(x.sentAt))
	}
}

// checkWrite records that the last event has been written to the caller.
func (m *timing) checkWrite(now time.Time) { m.stalled = m.stalled || now.Sub(m.lastAt) > slowWrite }

// addBody records that a whole body has come.
func (m *timing) addBody(now time.Time, bytes int) {
	m.firstAt = now
	m.bytes = bytes
}

// pace returns the time of an event, 0 if unknown.
func (m *timing) pace() time.Duration {
	if m.events < minPaceEvents || m.stalled {
		return 0
	}
	return m.lastAt.Sub(m.firstAt) / time.Duration(m.events-1)
}

// recordTiming reports a complete response to the fleet, if it is a successful one.
func (x *call) recordTiming(backendServer *wire.BackendServer) {
	m := &x.timing
	if x.status != http.StatusOK || m.resumed || m.firstAt.IsZero() {
		return
	}
	z := x.request.Tokens()
	if z == 0 {
		z = int64(m.bytes)
	}
	f := m.firstAt.Sub(x.sentAt)
	if m.firstReported {
		f = 0
	}
	x.server.fleet.RecordTiming(time.Now(), backendServer, x.born, m.concurrency, z, f, m.pace())
}

// estimateFields returns what the fleet has learned of the last backend server, for the
// log.
func (x *call) estimateFields() log.Fields {
	v, n, k := x.server.fleet.Estimate(x.backendServer.GetId())
	if !k {
		return nil
	}
	return log.Fields{"speed": float64(int(v*100+0.5)) / 100, "served-slots": n, "at-server": x.timing.concurrency}
}
