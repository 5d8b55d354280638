package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Time for which a server that is no longer listed is remembered as leaving. Its
// entry may have lapsed and come back.
const leavingMemory = time.Minute

// serverProcess is one process of a backend server.
type serverProcess struct {
	server string
	// Its start in Unix milliseconds, 0 if unknown.
	born int64
}

// MarkLeaving records that a backend server, as listed when a request was sent
// to it, has said that it is about to stop. born is the start of its process as
// trail.Response tells it; the entry may describe another one. The server gets no more
// requests from this front, whatever the platform says of it, until another process is
// listed. MarkLeaving reports whether this was new.
func (f *Fleet) MarkLeaving(now time.Time, entry *wire.BackendServer, born int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	p := serverProcess{entry.GetId(), entry.GetBorn()}
	if born > 0 {
		p.born = born
		if s != nil && s.entry.GetBorn() == entry.GetBorn() {
			s.born = born
		}
	}
	_, k := f.leavingMarks[p]
	if k {
		return false
	}
	f.leavingMarks[p] = now
	if s != nil {
		s.leaving = f.isMarkedLeaving(s)
		f.service(s.entry.GetService()).updateMemory()
	}
	return true
}

// isMarkedLeaving reports whether the process of a server has said that it is about to
// stop: the one that the entry describes, or the one that has answered since.
func (f *Fleet) isMarkedLeaving(server *server) bool {
	_, k := f.leavingMarks[serverProcess{server.entry.GetId(), server.entry.GetBorn()}]
	if !k && server.born != 0 {
		_, k = f.leavingMarks[serverProcess{server.entry.GetId(), server.born}]
	}
	return k
}

// expireLeavingMarks forgets processes that are no longer listed.
func (f *Fleet) expireLeavingMarks(now time.Time) {
	for p, m := range f.leavingMarks {
		s := f.servers[p.server]
		if now.Sub(m) > leavingMemory && (s == nil || s.entry.GetBorn() != p.born && s.born != p.born) {
			delete(f.leavingMarks, p)
		}
	}
}

// departing reports whether the server is about to stop, by its entry or by its
// own word.
func (s *server) departing() bool { return s.leaving || s.entry.GetDraining() }
