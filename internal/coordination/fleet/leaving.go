package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Time for which a server that is no longer listed is remembered as leaving. Its
// entry may have lapsed and come back.
const leavingMemory = time.Minute

// leavingMark tells that a process of a backend server is about to stop.
type leavingMark struct {
	// Start of the process, as its entry says.
	born     int64
	markedAt time.Time
}

// MarkLeaving records that a backend server, as listed when a request was sent
// to it, has said that it is about to stop. It gets no more requests from this
// front, whatever the platform says of it, until its process has started again.
// MarkLeaving reports whether this was new.
func (f *Fleet) MarkLeaving(now time.Time, entry *wire.BackendServer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isMarkedLeaving(entry) {
		return false
	}
	f.leavingMarks[entry.GetId()] = leavingMark{born: entry.GetBorn(), markedAt: now}
	s := f.servers[entry.GetId()]
	if s != nil {
		s.leaving = f.isMarkedLeaving(s.entry)
	}
	return true
}

// isMarkedLeaving reports whether the process that an entry describes has said
// that it is about to stop.
func (f *Fleet) isMarkedLeaving(entry *wire.BackendServer) bool {
	m, k := f.leavingMarks[entry.GetId()]
	return k && m.born == entry.GetBorn()
}

// expireLeavingMarks forgets servers that are no longer listed.
func (f *Fleet) expireLeavingMarks(now time.Time, listed map[string]bool) {
	for n, m := range f.leavingMarks {
		if !listed[n] && now.Sub(m.markedAt) > leavingMemory {
			delete(f.leavingMarks, n)
		}
	}
}

// departing reports whether the server is about to stop, by its entry or by its
// own word.
func (s *server) departing() bool { return s.leaving || s.entry.GetDraining() }
