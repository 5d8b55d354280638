package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// rateLimit is the rate of requests that a backend server takes from all hosts
// together, as it said with an answer.
type rateLimit struct {
	// Requests a second, 0 for no limit.
	perSecond float64
	// When a front received the answer. Zero if the server has never named a
	// limit.
	heardAt time.Time
}

// RecordLimit records the limit that a backend server named with an answer that
// this front has received, 0 for none. It reports whether the limit has changed.
func (f *Fleet) RecordLimit(now time.Time, entry *wire.BackendServer, perSecond float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s == nil || s.entry.GetBorn() != entry.GetBorn() || perSecond == 0 && s.limit.heardAt.IsZero() {
		return false
	}
	d := s.limit.perSecond != perSecond
	s.limit = rateLimit{perSecond: perSecond, heardAt: now}
	return d
}

// Limit returns the limit of a backend server in requests a second, 0 for none.
func (f *Fleet) Limit(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return s.limit.perSecond
}
