package fleet

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/coordination/speed"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Estimates of the servers are taken over again after this time.
	capacityInterval = 50 * time.Millisecond
	// Slots that a server of half the mean speed counts as having fewer.
	speedOffset = 2.0
	// Samples that wait for a datagram. A front with 100 requests a second and datagrams
	// 80 ms apart has 8.
	maxWaitingSamples = 128
	// Samples in one datagram, 25 bytes each at most.
	maxSamplesSent = 32
	// Samples of one datagram that are used; the others are ignored.
	maxSamplesMerged = 64
	// A sample that has waited for longer is not sent.
	maxSampleWait = time.Second
	// An older sample from another front is ignored.
	maxSampleAge = 5 * time.Second
)

// capacity is what this front has learned of a backend server.
type capacity struct {
	// Speed relative to the mean of the service, 0 for the mean.
	speed float64
	// Number of requests that it serves well at a time, 0 for all its slots.
	slots int
	// Start of the process that the estimate is of, in Unix milliseconds, and its
	// address.
	born    int64
	address string
}

// sample is a sample that has not been sent yet.
type sample struct {
	server      uint64
	concurrency int
	// Relative to the usual times, 0 if unknown.
	first, pace float64
	endedAt     time.Time
}

// LearnCapacity makes the fleet learn how fast each backend server is and how many
// requests it serves well, and place requests accordingly. It is called before the first
// SetServers.
func (f *Fleet) LearnCapacity() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learning = true
}

// weight returns the speed of the server relative to the mean of its service, 1 if
// nothing is learned.
func (s *server) weight() float64 {
	if s.capacity.speed == 0 {
		return 1
	}
	return s.capacity.speed
}

// servedSlots returns how many requests the server serves well at a time.
func (s *server) servedSlots() int {
	if s.capacity.slots == 0 {
		return s.slots()
	}
	return min(s.capacity.slots, s.slots())
}

// expectedWait returns a measure of the time for which a request that is placed at a
// server in a tier waits there, beside so many others. It is their number if nothing is
// learned.
//
// In a queue, that is the requests ahead, and itself, by the rate at which the server ends
// requests. At a server with free slots a request waits only if other fronts take these at
// the same time, so the slots left count. A slower server counts as having fewer: a slot
// that is freed later helps less. The load is not divided by the speed: servers with the
// same number of requests already get requests in proportion to their speed, and a fast
// one with more would have no slot left in a burst.
func (f *Fleet) expectedWait(server *server, tier, requests int) float64 {
	n := float64(requests)
	switch {
	case server.capacity.speed == 0:
		return n
	case tier == tierQueue:
		return (n + 1) / (server.weight() * float64(server.servedSlots()))
	}
	return n + float64(server.slots()-server.servedSlots()) + speedOffset*(1/server.weight()-1)
}

// queueDepth returns how many online requests may wait at a server and still meet
// target.
func (v *service) queueDepth(server *server, target time.Duration) int {
	if server.capacity.speed == 0 {
		return v.maxQueueDepth(server.servedSlots(), target)
	}
	w := server.weight()
	// A share of the time that the first byte leaves; for a server of mean speed as if
	// nothing were learned.
	f := float64(min(v.model.UsualFirst(), target/2))
	a := max(float64(target)-f/w, 0) / (float64(target) - f)
	return int(float64(server.servedSlots()) * queueTimeShare * float64(target) * a * w / float64(max(v.meanServiceTime, time.Millisecond)))
}

// overloadWait returns after which time a caller may retry that is refused because all
// queues are full: no earlier than these have drained at the speeds learned, within the
// longest wait.
func (v *service) overloadWait(remaining time.Duration, draw float64) time.Duration {
	r := retryAfter(remaining, minOverloadWaitShare, draw)
	if v.model == nil {
		return r
	}
	q, n := 0, 0.0
	for _, s := range v.servers {
		q += max(s.totalOnline()-s.slots(), 0)
		n += s.weight() * float64(s.servedSlots())
	}
	d := time.Duration(float64(q) / max(n, 1) * float64(v.meanServiceTime))
	return max(r, min(d, retryAfter(remaining, 1, 0)))
}

// syncModels passes the listed servers to the models. Another process starts with the
// mean.
func (f *Fleet) syncModels(now time.Time) {
	if !f.learning {
		return
	}
	for _, v := range f.services {
		if v.model == nil {
			v.model = speed.New()
		}
		k := map[uint64]bool{}
		for _, s := range v.servers {
			k[s.idHash] = true
			v.model.SetServer(s.idHash, s.slots())
			v.restartIfOther(now, s)
		}
		v.model.Retain(func(h uint64) bool { return k[h] })
	}
}

// restartIfOther sets the estimate of a server back if another process has its id: by its
// own word, or else by its entry.
func (v *service) restartIfOther(now time.Time, server *server) {
	b, a := server.born, server.entry.GetAddress()
	if b <= 0 {
		b = server.entry.GetBorn()
	}
	if b == server.capacity.born && a == server.capacity.address {
		return
	}
	server.capacity = capacity{born: b, address: a}
	v.model.Restart(now, server.idHash)
}

// updateCapacities takes over the estimates of a service. target is the latency target of
// the online request to be placed, 0 for a batch item, which uses the last one.
func (f *Fleet) updateCapacities(now time.Time, service *service, target time.Duration) {
	if service.model == nil {
		return
	}
	if target > 0 {
		service.firstBound = time.Duration((1 - queueTimeShare) * float64(target))
	}
	if d := now.Sub(service.capacitiesAt); d >= 0 && d < capacityInterval {
		return
	}
	service.capacitiesAt = now
	b := service.firstBound
	if b == 0 {
		b = math.MaxInt64
	}
	for _, s := range service.servers {
		s.capacity.speed = service.model.Speed(now, s.idHash)
		s.capacity.slots = service.model.Slots(now, s.idHash, b)
	}
}

// Concurrency returns the number of requests at a backend server, as known to this front.
func (f *Fleet) Concurrency(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return 0
	}
	return s.total()
}

// RecordFirst records the time to the first byte of a successful response if it is late,
// and reports whether it is. The parameters are those of RecordTiming. A first byte in time
// is recorded with the complete response, so that one that fails later does not count as
// fast.
func (f *Fleet) RecordFirst(now time.Time, entry *wire.BackendServer, born int64, concurrency int, size int64, first time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[entry.GetId()]
	if s == nil || !f.learning {
		return false
	}
	m := f.service(s.entry.GetService()).model
	if m == nil || !m.IsLate(size, first) {
		return false
	}
	f.recordTiming(now, entry, born, concurrency, size, first, 0)
	return true
}

// RecordTiming records a complete, successful response that ended now. entry and born are
// as in RecordLimit. concurrency is the number of requests at the server when the
// request was sent, size its size in any unit; first is the time to the first byte and pace
// the time of each event after it, 0 if unknown.
func (f *Fleet) RecordTiming(now time.Time, entry *wire.BackendServer, born int64, concurrency int, size int64, first, pace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordTiming(now, entry, born, concurrency, size, first, pace)
}

func (f *Fleet) recordTiming(now time.Time, entry *wire.BackendServer, born int64, concurrency int, size int64, first, pace time.Duration) {
	s := f.servers[entry.GetId()]
	// The time at a server with a limit contains the wait for the permit.
	if !f.learning || s == nil || s.limited() || entry.GetBorn() != s.entry.GetBorn() {
		return
	}
	m := f.service(s.entry.GetService()).model
	if m == nil {
		return
	}
	f.service(s.entry.GetService()).restartIfOther(now, s)
	if born > 0 && born != s.capacity.born {
		return
	}
	if m.IsNearlyFull(s.idHash, concurrency) != m.IsNearlyFull(s.idHash, s.total()) {
		// The events came partly while the server was nearly full.
		pace = 0
	}
	x, y := m.Measure(now, s.idHash, concurrency, size, first, pace)
	if x == 0 && y == 0 {
		return
	}
	m.Add(now, s.idHash, concurrency, x, y)
	f.samples = append(f.samples, sample{server: s.idHash, concurrency: concurrency, first: x, pace: y, endedAt: now})
	if n := len(f.samples) - maxWaitingSamples; n > 0 {
		f.samples = append(f.samples[:0], f.samples[n:]...)
	}
}

// TakeSamples returns samples for the next datagram, each once.
func (f *Fleet) TakeSamples(now time.Time) []*wire.ServerSample {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []*wire.ServerSample
	n := 0
	for n < len(f.samples) && len(l) < maxSamplesSent {
		x := f.samples[n]
		n++
		a := now.Sub(x.endedAt)
		if a > maxSampleWait {
			continue
		}
		l = append(l, wire.ServerSample_builder{
			Server: proto.Uint64(x.server), Concurrency: proto.Uint32(uint32(max(x.concurrency, 0))),
			FirstPermille: permille(x.first), PacePermille: permille(x.pace), MsAgo: proto.Uint32(uint32(max(a.Milliseconds(), 0))),
		}.Build())
	}
	f.samples = append(f.samples[:0], f.samples[n:]...)
	return l
}

// permille returns a relative time in thousandths, nil if it is unknown.
func permille(relative float64) *uint32 {
	if relative <= 0 {
		return nil
	}
	return proto.Uint32(uint32(max(min(relative, 100)*1000, 1)))
}

// MergeSamples takes over the samples of another front.
func (f *Fleet) MergeSamples(now time.Time, samples []*wire.ServerSample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.learning {
		return
	}
	for _, x := range samples[:min(len(samples), maxSamplesMerged)] {
		s := f.serversByHash[x.GetServer()]
		a := time.Duration(x.GetMsAgo()) * time.Millisecond
		if s == nil || a > maxSampleAge {
			continue
		}
		if m := f.service(s.entry.GetService()).model; m != nil {
			m.Add(now.Add(-a), s.idHash, int(min(x.GetConcurrency(), math.MaxInt16)), float64(x.GetFirstPermille())/1000, float64(x.GetPacePermille())/1000)
		}
	}
}

// Estimate returns the speed of a backend server relative to the mean of its service, and
// how many requests it serves well at a time. known is false if the fleet does not learn
// or does not know the server.
func (f *Fleet) Estimate(id string) (speed float64, slots int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil || !f.learning {
		return 0, 0, false
	}
	return s.weight(), s.servedSlots(), true
}

// VisitEstimates calls visit with the id and service of each listed backend server, what
// Estimate returns of it, and its slots. visit must not call the fleet. There are no
// calls unless the fleet learns.
func (f *Fleet) VisitEstimates(now time.Time, visit func(id, service string, speed float64, slots, of int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.learning {
		return
	}
	for n, v := range f.services {
		f.updateCapacities(now, v, 0)
		for _, s := range v.servers {
			visit(s.entry.GetId(), n, s.weight(), s.servedSlots(), s.slots())
		}
	}
}
