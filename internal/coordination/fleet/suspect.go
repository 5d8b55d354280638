package fleet

import "time"

// First and longest time in which a backend server is left alone after a
// failure.
const (
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// usable says whether the server may get a request. After a failure it gets one
// alone, whose answer decides.
func (s *server) usable(now time.Time) bool {
	if s.entry.GetDraining() || now.Before(s.backoffUntil) {
		return false
	}
	return s.backoffUntil.IsZero() || s.failures == 0 || s.online+s.batch == 0
}

// suspect says whether the server answers, but with failures, as this front or
// another has seen lately. Since it fails faster than others work, it looks
// idle and would get more and more of the requests.
func (s *server) suspect(now time.Time) bool {
	if !s.failing {
		return s.remoteFailing > 0
	}
	return !s.usable(now)
}

// recordSuccess records an answer that was good.
func (s *server) recordSuccess() {
	s.failures = 0
	s.failing = false
}

// RecordFailure records that a backend server broke a request, or that it could not
// be reached at all. An unreachable one is left alone for a while that doubles
// with each failure; one that broke a single request is not, since answers are
// lost now and then by servers that are well. It returns how long the backend
// server is left alone.
func (f *Fleet) RecordFailure(now time.Time, id string, unreachable bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
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
// failure of its own. The server is left alone for a while that doubles with
// each failure, by the other fronts too, and gets requests only when there is
// no other server. It returns how long.
func (f *Fleet) RecordFailedAnswer(now time.Time, id string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return 0
	}
	if s.failing && now.Before(s.backoffUntil) {
		// It was sent before the failure that counts.
		return 0
	}
	s.failing = true
	s.failures++
	return s.backOff(now, s.failures)
}

// backOff leaves a server alone after n failures in a row.
func (s *server) backOff(now time.Time, failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	d := min(initialBackoff<<min(failures-1, 10), maxBackoff)
	s.backoffUntil = now.Add(d)
	return d
}
