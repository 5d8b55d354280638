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
	// Start of the process as its entry said when it was sent the request, and by
	// its own word, 0 if it does not tell. The entry may describe the process before.
	born, ownBorn int64
	markedAt      time.Time
}

// MarkLeaving records that a backend server, as listed when a request was sent
// to it, has said that it is about to stop. born is the start of its process by its
// own word, 0 if it does not tell. The server gets no more requests from this front,
// whatever the platform says of it, until another process is listed. MarkLeaving
// reports whether this was new.
func (f *Fleet) MarkLeaving(now time.Time, entry *wire.BackendServer, born int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isMarkedLeaving(entry) {
		return false
	}
	f.leavingMarks[entry.GetId()] = leavingMark{born: entry.GetBorn(), ownBorn: born, markedAt: now}
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
	return k && (m.born == entry.GetBorn() || m.ownBorn != 0 && m.ownBorn == entry.GetBorn())
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
