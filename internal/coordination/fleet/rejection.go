package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// RecordRejection records that a backend server rejected a request of so many tokens, 0
// if its size is unknown, as if it were full. It returns true if the size may be the
// reason, which is no failure of the server. Otherwise the rejection counts as a
// failure, with the backoff that RecordFailure returns. entry is as in RecordFailure.
func (f *Fleet) RecordRejection(now time.Time, entry *wire.BackendServer, tokens int64) (time.Duration, bool) {
	f.mu.Lock()
	s := f.servers[entry.GetId()]
	m := s != nil && f.service(s.entry.GetService()).mayLackMemory(s, tokens)
	f.mu.Unlock()
	if m {
		return 0, true
	}
	return f.RecordFailure(now, entry, false), false
}

// RecordAnswer records that a backend server has answered a request of so many tokens.
// entry is as in RecordFailure.
func (f *Fleet) RecordAnswer(entry *wire.BackendServer, tokens int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s != nil && s.entry.GetBorn() == entry.GetBorn() {
		s.largestAnswered = max(s.largestAnswered, tokens)
	}
}

// mayLackMemory reports whether a server may lack the memory for a request. If its
// memory is unknown, it may unless it has answered one as large, or it has answered none
// and all others that have answered any have answered one as large. So a server that
// rejects what the others take is avoided, and one that only rejects requests larger
// than all before is not.
func (v *service) mayLackMemory(server *server, tokens int64) bool {
	switch {
	case tokens <= 0:
		return false
	case server.memory.tokens > 0:
		return tokens > server.memory.tokens
	case tokens <= server.largestAnswered:
		return false
	}
	n := 0
	for _, s := range v.servers {
		if s == server || s.largestAnswered == 0 {
			continue
		}
		if s.largestAnswered < tokens {
			return true
		}
		n++
	}
	return n == 0 || server.largestAnswered > 0
}
