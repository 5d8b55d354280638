package fleet

import (
	"time"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Bounds of the exponential backoff of a backend server after failures.
const (
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// usable reports whether the server may get a request. After a backoff, a server
// gets a single probe request from this front, whose outcome decides.
func (s *server) usable(now time.Time) bool {
	if s.departing() || now.Before(s.backoffUntil) {
		return false
	}
	return s.backoffUntil.IsZero() || s.failures == 0 || s.online+s.batch == 0
}

// suspect reports whether this front or another has recently seen the server
// answer with failures. Since such a server fails faster than others work, it
// looks idle and would attract more and more requests.
func (s *server) suspect(now time.Time) bool {
	if !s.failing {
		return s.remoteFailing > 0
	}
	return !s.usable(now)
}

// recordSuccess resets the failure state after a successful answer.
func (s *server) recordSuccess() {
	s.failures = 0
	s.failing = false
}

// RecordFailure records that a request to a backend server broke off, or that
// the server was unreachable. It returns the resulting backoff of the server,
// which doubles with each failure. A single broken request causes none, since
// healthy servers occasionally lose an answer too. entry is the server's entry when
// the request was sent; a failure of a process before says nothing.
func (f *Fleet) RecordFailure(now time.Time, entry *wire.BackendServer, unreachable bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s == nil || s.entry.GetBorn() != entry.GetBorn() {
		return 0
	}
	s.failures++
	n := s.failures
	if !unreachable {
		n--
	}
	return s.backOff(now, n)
}

// RecordFailedAnswer records that a backend server has answered a request with a
// failure of its own, and returns the resulting backoff, which doubles with each
// failure. During the backoff the other fronts treat the server as suspect too,
// and it gets requests only when there is no other server. entry is as in
// RecordFailure.
func (f *Fleet) RecordFailedAnswer(now time.Time, entry *wire.BackendServer) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s == nil || s.entry.GetBorn() != entry.GetBorn() {
		return 0
	}
	if s.failing && now.Before(s.backoffUntil) {
		// The request was sent before the failure that started the backoff.
		return 0
	}
	s.failing = true
	s.failures++
	return s.backOff(now, s.failures)
}

// ForgiveFailures ends the backoffs of all backend servers but those that answer
// with failures. It is called when this front finds that it has lost its own paths
// to the servers.
func (f *Fleet) ForgiveFailures() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if !s.failing {
			s.failures = 0
			s.backoffUntil = time.Time{}
		}
	}
}

// backOff starts the backoff of a server after consecutive failures, and returns
// its duration.
func (s *server) backOff(now time.Time, failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	d := min(initialBackoff<<min(failures-1, 10), maxBackoff)
	s.backoffUntil = now.Add(d)
	return d
}
