package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Limits that this front has heard within this time are sent to the others.
const limitReportAge = 2 * time.Second

// rateLimit is the rate of requests that a backend server takes from all hosts
// together, as it said with an answer.
type rateLimit struct {
	// Requests a second, 0 for no limit.
	perSecond float64
	// Start of the process that named the limit, 0 if it was named to another front.
	born int64
	// When a front received the answer that named the limit or showed its end.
	// Zero if the server has never named one.
	heardAt time.Time
	// When this front itself received such an answer.
	ownHeardAt time.Time
	// This front has been denied a request until then.
	pausedUntil time.Time
}

// limited reports whether the server takes a limited rate of requests.
func (s *server) limited() bool { return s.limit.perSecond > 0 }

// paused reports whether the limit of the server allows this front no request
// yet.
func (s *server) paused(now time.Time) bool { return s.limited() && now.Before(s.limit.pausedUntil) }

// RecordLimit records the limit that a backend server named with an answer that
// this front has received, 0 for none. entry is the server's entry when the request was
// sent, and born the start of the process as trail.Response tells it. RecordLimit
// reports whether the limit has changed.
func (f *Fleet) RecordLimit(now time.Time, entry *wire.BackendServer, born int64, perSecond float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s == nil || !s.isAnswerOfCurrent(entry, born) || perSecond == 0 && !s.limited() {
		return false
	}
	d := s.limit.perSecond != perSecond
	s.limit.perSecond, s.limit.heardAt, s.limit.ownHeardAt = perSecond, now, now
	s.limit.born = entry.GetBorn()
	if born > 0 {
		s.limit.born = born
	}
	if d {
		f.limitChanges++
	}
	return d
}

// isAnswerOfCurrent reports whether an answer is not of a process before the one that
// the registry names. entry is the server's entry when the request was sent, and born
// the start of the process, not positive if it is not known.
func (s *server) isAnswerOfCurrent(entry *wire.BackendServer, born int64) bool {
	return s.entry.GetBorn() == entry.GetBorn() || born > 0 && born == s.entry.GetBorn()
}

// PauseLimited records that a backend server with a limit takes no request from
// this front before a time.
func (f *Fleet) PauseLimited(id string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s != nil {
		s.limit.pausedUntil = until
	}
}

// LimitChanges returns how often a backend server has named another limit to
// this front than before.
func (f *Fleet) LimitChanges() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limitChanges
}

// OwnLimits returns the limits, and the ends of limits, that backend servers have
// recently named to this front.
func (f *Fleet) OwnLimits(now time.Time) []*wire.ServerLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []*wire.ServerLimit
	for _, s := range f.servers {
		a := now.Sub(s.limit.ownHeardAt)
		if a > limitReportAge {
			continue
		}
		l = append(l, wire.ServerLimit_builder{
			Server: proto.Uint64(s.idHash), PerSecond: proto.Float64(s.limit.perSecond), HeardMsAgo: proto.Uint32(uint32(max(a.Milliseconds(), 0))),
		}.Build())
	}
	return l
}

// MergeLimits takes over the limits that backend servers have named to another
// front later than to this one.
func (f *Fleet) MergeLimits(now time.Time, limits []*wire.ServerLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range limits {
		s := f.serversByHash[x.GetServer()]
		h := now.Add(-time.Duration(x.GetHeardMsAgo()) * time.Millisecond)
		if s == nil || !h.After(s.limit.heardAt) || !(x.GetPerSecond() >= 0) || math.IsInf(x.GetPerSecond(), 0) {
			continue
		}
		s.limit.perSecond, s.limit.heardAt, s.limit.born = x.GetPerSecond(), h, 0
	}
}

// First returns the first front in rendezvous order for a key among the live
// ones of a data centre that do not stop, or among all such fronts if there is
// none. It is this front if there is no other.
func (f *Fleet) First(now time.Time, key, dataCentre string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first(now, key, dataCentre)
}

// first is First for a caller that holds the lock.
func (f *Fleet) first(now time.Time, key, dataCentre string) string {
	b := rendezvous{key: key, dataCentre: dataCentre, name: f.self}
	if !f.leaving {
		b.add(f.self, f.dataCentre)
	}
	for n, p := range f.peers {
		if now.Sub(p.lastSeen) <= peerTimeout && !p.load.GetLeaving() {
			b.add(n, p.load.GetDataCentre())
		}
	}
	return b.name
}

// SetLeaving records that this front stops: it is no longer the first for any
// key while there are others.
func (f *Fleet) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
}

// rendezvous finds the first front for a key.
type rendezvous struct {
	key, dataCentre string
	// The first of the fronts added so far.
	name  string
	score uint64
	local bool
	found bool
}

func (r *rendezvous) add(name, dataCentre string) {
	l := dataCentre == r.dataCentre
	h := xxhash.Sum64String(r.key + "/" + name)
	if r.found && (r.local && !l || r.local == l && h <= r.score) {
		return
	}
	r.name, r.score, r.local, r.found = name, h, l, true
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
