package place

import (
	"time"

	"bulrushtrail.example/trail/internal/coordination/decide"
)

// process is one process of a backend server. The host list names it late, so that an
// entry may describe the process before it.
type process struct {
	// 0 if it is not known.
	startUnixMs int64
	// Software version in the entry of its server, empty if that names none.
	version string
	// Whether that may be the version of another process of the server.
	uncertain bool
}

// applyVersion applies the version in the entry of a backend server. At a new address
// it describes the process there. A changed one describes the latest process if that
// has started since the change before. Otherwise it describes a later process, or it is
// late and describes the latest one, whose version is uncertain then.
func (s *server) applyVersion(version string) {
	o := s.version
	s.version = version
	switch {
	case s.process == nil:
		s.process = &process{version: version}
		s.entryIsNewer = false
	case o == version:
	case s.process.uncertain && !s.entryIsNewer:
		s.process.version = version
		s.process.uncertain = false
	case s.process.startUnixMs > 0 && (o != "" || s.entryIsNewer):
		s.process.uncertain = true
		s.entryIsNewer = true
	default:
		// No start tells the next process from this one, or the entry has begun
		// to name a version.
		s.process.uncertain = true
		s.process = &process{startUnixMs: s.process.startUnixMs, version: version}
	}
}

// identify returns the process of the backend server that started at a time. A later
// start than that of the latest process shows that the server has started again.
func (s *server) identify(startUnixMs int64) *process {
	switch {
	case startUnixMs == s.process.startUnixMs:
	case s.process.startUnixMs == 0:
		s.process.startUnixMs = startUnixMs
	case startUnixMs > s.process.startUnixMs:
		s.process = &process{startUnixMs: startUnixMs, version: s.version, uncertain: !s.entryIsNewer}
		s.entryIsNewer = false
		s.forgetProcess()
	default:
		// It ended before the latest one started, or the clock of its host was
		// set back.
		return &process{startUnixMs: startUnixMs, version: s.version, uncertain: true}
	}
	return s.process
}

// forgetProcess discards what the process before has told of itself, and what was in
// its cache. The failures stay unless the address is new, so that a process that
// crashes again and again is ejected for longer each time.
func (s *server) forgetProcess() {
	s.drainUntil = time.Time{}
	s.pacer, s.pacedUntil = nil, time.Time{}
	s.prefixes = prefixHistory{}
	s.largestAnswered = 0
}

// ProcessSeen reports the start of the process that has answered for a backend server
// at an address, in Unix milliseconds.
func (p *Placer) ProcessSeen(now time.Time, name, address string, startUnixMs int64) []decide.Decision {
	s := p.servers[name]
	if s == nil || s.address != address || startUnixMs <= 0 {
		return nil
	}
	o := s.process
	if s.identify(startUnixMs) == o {
		return nil
	}
	p.schedule(now, s.service)
	return p.takeDecisions()
}

// AttemptIdentified reports which process runs an attempt: its start in Unix
// milliseconds, 0 if it publishes none, or that it could not be asked. An attempt that
// continues an answer is cancelled before it has sent any data if its process may not.
func (p *Placer) AttemptIdentified(now time.Time, id string, startUnixMs int64, unknown bool) []decide.Decision {
	a := p.inFlight[id]
	if a == nil {
		return nil
	}
	s := a.server
	switch {
	case a.address != s.address:
		// Starts at two addresses don't tell which process is the later one.
		a.process = &process{startUnixMs: startUnixMs, version: a.process.version, uncertain: true}
	case startUnixMs > 0:
		a.process = s.identify(startUnixMs)
	case unknown || s.process.startUnixMs > 0:
		a.process = &process{version: s.version, uncertain: true}
	}
	k := a.call
	if k.service.mayContinue(k, a.process) {
		return nil
	}
	p.decisions = append(p.decisions, decide.Cancel(k.key, k.request, id, s.name, codeReplaced))
	p.releaseSlot(a)
	if a.process != s.process {
		// Its process may never be known, so that the call would return to it.
		k.failedHosts = append(k.failedHosts, s.name)
	}
	k.service.retries = append(k.service.retries, k)
	p.schedule(now, k.service)
	return p.takeDecisions()
}
