package speed

import (
	"math"
	"time"
)

const (
	// Time constant with which samples fade in the estimate of the speed.
	speedFade = 3 * time.Second
	// Time constant for the slowdown of a nearly full server. It is longer, since the
	// estimate itself keeps requests away from where it would be measured.
	slowdownFade = 15 * time.Second
	// Number of samples of mean weight that the prior counts for: that a server is as
	// fast as the mean, and that it does not slow down.
	speedPrior    = 1.0
	slowdownPrior = 2.0
	// Greatest weight of the samples of a server. Where samples are plentiful, older ones
	// only delay the estimate, and the memory of a silent server ends after a known time.
	maxWeight = 5.0
	// Weight of the time to the first byte beside the pace. It contains the set-up of
	// connections, and waits for the prompts of other requests.
	firstWeight = 0.6
	// Weight of a sample of a nearly full server in its speed.
	nearlyFullWeight = 0.5
	// Share of the slots from which a server counts as nearly full.
	nearlyFull = 0.75
	// Weight of the speed's samples from which the slowdown is measured against it.
	minSpeedWeight = 1.0
	// A sample counts as if it differed by at most a factor of 2.7 from the estimate, so
	// that an outlier is worth no more than a few samples.
	maxResidual = 1.0
	// A first byte that takes longer than usual by this factor is reported before the
	// response is complete: a server that turns slow takes seconds to complete one.
	lateFirst = 1.5
	// Bounds of the speed relative to the mean, as a logarithm: 1/5 to 5. A server
	// with the lowest speed still gets requests, by which a change is noticed.
	maxLogSpeed = 1.6
	// Least slowdown, as a logarithm, that is taken for more than noise.
	minSlowdown = 0.1
	// Estimates are computed again after this time.
	refreshInterval = 50 * time.Millisecond
)

// Model estimates the speed of the backend servers of one service. It is not safe for
// concurrent use.
type Model struct {
	first, pace baseline
	// By the hash of the server's id.
	servers     map[uint64]*estimate
	refreshedAt time.Time
	// Usual time to the first byte over all size classes, as a logarithm; negative
	// infinity if unknown.
	usualFirst float64
}

// estimate is what is known of one backend server. Values are logarithms of times
// relative to the usual ones: positive is slow.
type estimate struct {
	slots int
	// Samples from before this time are of another process.
	since time.Time
	// Weighted sums as of updatedAt.
	speed, slowdown sum
	updatedAt       time.Time
	// Results of the last refresh.
	logSlowness, logSlowdown float64
}

// sum is a weighted sum of values that fades.
type sum struct{ weight, total float64 }

func (s *sum) fade(elapsed, constant time.Duration) {
	k := math.Exp(-max(elapsed.Seconds(), 0) / constant.Seconds())
	s.weight *= k
	s.total *= k
}

func (s *sum) add(value, weight float64) {
	s.weight += weight
	s.total += weight * value
	if s.weight > maxWeight {
		s.total *= maxWeight / s.weight
		s.weight = maxWeight
	}
}

// mean returns the mean of the values and of prior values of 0.
func (s *sum) mean(prior float64) float64 { return s.total / (s.weight + prior) }

// New returns a model without servers.
func New() *Model {
	return &Model{first: baseline{}, pace: baseline{}, servers: map[uint64]*estimate{}}
}

// SetServer adds a server with its number of slots, or updates the number.
func (m *Model) SetServer(server uint64, slots int) {
	s := m.servers[server]
	if s == nil {
		s = &estimate{}
		m.servers[server] = s
	}
	s.slots = max(slots, 1)
}

// Restart sets the estimate of a server back to the mean, because another process has
// its id.
func (m *Model) Restart(now time.Time, server uint64) {
	if s := m.servers[server]; s != nil {
		*s = estimate{slots: s.slots, since: now}
	}
}

// IsNearlyFull reports whether a server with so many requests may slow down because of
// them.
func (m *Model) IsNearlyFull(server uint64, requests int) bool {
	s := m.servers[server]
	return s != nil && s.isNearlyFull(requests)
}

// Retain forgets all servers but those that keep returns true for.
func (m *Model) Retain(keep func(server uint64) bool) {
	for h := range m.servers {
		if !keep(h) {
			delete(m.servers, h)
		}
	}
}

// Measure returns a response as a sample: the time to its first byte and the time of an
// event after it, 0 if unknown, relative to what is usual for a request of that size.
// The size may have any unit. A result is 0 if it is not known yet what is usual.
// Measure does not change the estimates.
func (m *Model) Measure(now time.Time, server uint64, concurrency int, size int64, first, pace time.Duration) (relativeFirst, relativePace float64) {
	s := m.servers[server]
	if s == nil {
		return 0, 0
	}
	m.refresh(now)
	x := s.logSlowness
	if s.isNearlyFull(concurrency) {
		x += s.logSlowdown
	}
	c := sizeClass(size)
	if first > 0 && concurrency <= s.slots {
		relativeFirst = relative(m.first.measure(c, first, x))
	}
	if pace > 0 {
		relativePace = relative(m.pace.measure(c, pace, x))
	}
	return relativeFirst, relativePace
}

func relative(logarithm float64, known bool) float64 {
	if !known {
		return 0
	}
	return math.Exp(logarithm)
}

// IsLate reports whether a first byte took so much longer than usual that it is reported
// at once.
func (m *Model) IsLate(size int64, first time.Duration) bool {
	c := m.first[sizeClass(size)]
	return c != nil && c.count >= minMeasured && math.Log(max(first.Seconds(), 1e-4))-c.mean > math.Log(lateFirst)
}

// Add adds a sample of a response that ended at a time. concurrency is the number of
// requests at the server when this one was sent, including it.
func (m *Model) Add(at time.Time, server uint64, concurrency int, relativeFirst, relativePace float64) {
	s := m.servers[server]
	if s == nil || at.Before(s.since) {
		return
	}
	s.advance(at)
	// Beyond its slots a server queues, which is not slowness.
	if validRelative(relativeFirst) && concurrency <= s.slots {
		s.add(math.Log(relativeFirst), firstWeight, concurrency)
	}
	if validRelative(relativePace) {
		s.add(math.Log(relativePace), 1, concurrency)
	}
}

// validRelative reports whether a relative time is known and plausible. Samples come
// from other processes.
func validRelative(value float64) bool { return value >= 0.01 && value <= 100 }

func (s *estimate) add(value, weight float64, concurrency int) {
	v := s.speed.mean(speedPrior)
	if !s.isNearlyFull(concurrency) {
		s.speed.add(v+clamp(value-v, maxResidual), weight)
		return
	}
	d := s.slowdown.mean(slowdownPrior)
	if s.speed.weight >= minSpeedWeight {
		s.slowdown.add(d+clamp(value-v-d, maxResidual), weight)
	}
	s.speed.add(v+clamp(value-max(d, 0)-v, maxResidual), weight*nearlyFullWeight)
}

func (s *estimate) isNearlyFull(concurrency int) bool { return concurrency > s.reducedSlots() }

// reducedSlots is the number of requests with which a server is not nearly full.
func (s *estimate) reducedSlots() int { return max(int(nearlyFull*float64(s.slots)), 1) }

func (s *estimate) advance(to time.Time) {
	d := to.Sub(s.updatedAt)
	if d <= 0 {
		return
	}
	s.speed.fade(d, speedFade)
	s.slowdown.fade(d, slowdownFade)
	s.updatedAt = to
}

// refresh computes the estimates as of a time.
func (m *Model) refresh(now time.Time) {
	if d := now.Sub(m.refreshedAt); d >= 0 && d < refreshInterval {
		return
	}
	m.refreshedAt = now
	m.usualFirst = m.first.mean()
	t := 0.0
	for _, s := range m.servers {
		s.advance(now)
		s.logSlowness = s.speed.mean(speedPrior)
		s.logSlowdown = max(s.slowdown.mean(slowdownPrior), 0)
		t += s.logSlowness
	}
	t /= float64(max(len(m.servers), 1))
	for _, s := range m.servers {
		// What all have in common is the baseline's.
		s.logSlowness = clamp(s.logSlowness-t, maxLogSpeed)
	}
}

// Speed returns the speed of a server relative to the mean of the service: 2 is twice
// as fast. It is 1 for a server without samples.
func (m *Model) Speed(now time.Time, server uint64) float64 {
	s := m.servers[server]
	if s == nil {
		return 1
	}
	m.refresh(now)
	return math.Exp(-s.logSlowness)
}

// Slots returns how many concurrent requests a server serves well, at most its number of
// slots: fewer if it slows down so much when nearly full that it serves more requests a
// second without that, or that the first byte is later than firstBound.
func (m *Model) Slots(now time.Time, server uint64, firstBound time.Duration) int {
	s := m.servers[server]
	if s == nil {
		return 0
	}
	m.refresh(now)
	n := s.reducedSlots()
	g := s.logSlowdown > math.Log(float64(s.slots)/float64(n))
	f := m.usualFirst + s.logSlowness
	y := math.Log(max(firstBound.Seconds(), 1e-4))
	if g || s.logSlowdown > minSlowdown && f <= y && f+s.logSlowdown > y {
		return n
	}
	return s.slots
}

// UsualFirst returns the usual time to the first byte over all sizes, 0 if unknown.
func (m *Model) UsualFirst() time.Duration {
	return time.Duration(math.Exp(m.usualFirst) * float64(time.Second))
}
