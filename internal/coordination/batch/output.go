package batch

import (
	"strings"
	"sync/atomic"
	"time"

	"bulrushtrail.example/trail/internal/protocol/event"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/build"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// The outputs of all items are added up each time that one has grown by this many
	// bytes, which is more than most outputs have.
	outputStep = 64 << 10
	// Events that an output may have beyond the tokens of its item: some hold no
	// token, and the tokens are what the client says.
	spareEvents = 1000
)

// itemProgress is the output of an item received so far.
type itemProgress struct {
	// Id of the last event, empty before the first.
	lastEventID string
	// Data of the events so far, joined by line feeds.
	output []byte
	// Bytes of the output in a JSON string.
	escapedBytes int
	// Runs whose output was larger than an object.
	oversized int
	// Length of the output, which others may read while the item runs.
	size atomic.Int64
	// Whether any event with data was received.
	hasData bool
	// Number of events with data, of those that this front has received.
	events int64
	// Build of the backend servers that made the output, zero before the first
	// event.
	build build.Build
	// Since when the item waits for a slot at a server of that build, zero while it
	// does not.
	waitingSince time.Time
}

// resumable reports whether the item can go on after the output so far.
func (p *itemProgress) resumable() bool { return p.lastEventID != "" }

// addEvent appends the next event. It returns false when the event does not
// follow the last one.
func (p *itemProgress) addEvent(reader *event.Reader) bool {
	if !event.Follows(p.lastEventID, reader.ID()) {
		return false
	}
	if reader.HasData() {
		if p.hasData {
			p.output = append(p.output, '\n')
			p.escapedBytes += len(`\n`)
		}
		p.output = append(p.output, reader.Data()...)
		p.escapedBytes += object.EscapedSize(reader.Data())
		p.size.Store(int64(len(p.output)))
		p.hasData = true
		p.events++
	}
	if reader.ID() != "" {
		p.lastEventID = strings.Clone(reader.ID())
	}
	return true
}

// exceeds reports whether the output has far more events than the item can have tokens.
func (p *itemProgress) exceeds(item *wire.BatchItem) bool {
	return item.GetTokens() > 0 && p.events > item.GetTokens()+spareEvents
}

// reset discards the output.
func (p *itemProgress) reset() {
	p.lastEventID, p.output, p.escapedBytes, p.hasData, p.events = "", nil, 0, false, 0
	p.build, p.waitingSince = build.Build{}, time.Time{}
	p.size.Store(0)
}

// limitOutputs ends the run with the largest output if the outputs of all items hold
// more bytes than this front has room for. A faulty backend server may send events
// without end, at any pace.
func (s *Jobs) limitOutputs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(0)
	for _, o := range s.owned {
		for _, p := range o.progress {
			n += p.size.Load()
		}
	}
	if n <= s.outputBytes {
		return
	}
	var m *itemRun
	for _, l := range s.runs {
		for _, r := range l {
			if m == nil || r.progress.size.Load() > m.progress.size.Load() {
				m = r
			}
		}
	}
	if m != nil {
		m.cancel(errUnbounded)
	}
}

// requeueTooLarge requeues an item whose output no object can hold, as another server
// may answer otherwise. After the attempts of its route it is suspended: what the
// platform's users allow is to give it up when the longest wait of the route is over,
// if there is one, see giveUpAll. The caller holds the lock.
func (s *Jobs) requeueTooLarge(now time.Time, run *itemRun, progress *itemProgress) {
	r := s.route(run.job.cached)
	progress.oversized++
	if progress.oversized == 1 {
		// The next run goes elsewhere. More than once for an item would keep sound
		// servers from all others.
		s.fleet.RecordFailedAnswer(now, run.server)
		s.onLoadChange()
	}
	if progress.oversized < max(int(r.GetAttempts()), 1) {
		s.agenda.RequeueBroken(now, run.job.id, run.index, false)
		return
	}
	s.agenda.Suspend(now, run.job.id, run.index)
}
