package place

import (
	"cmp"
	"slices"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/retry"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Queue length of a service whose configuration has none.
	defaultQueueLength = 1000
	// Batch calls queue at the scheduler only so that a free slot is filled
	// immediately. The rest wait in their jobs.
	maxQueuedBatch = 4096
	// Weight of a new sample in the moving averages.
	sampleWeight = 0.1
	// Samples before which no call is rejected by its estimated time.
	minSamples = 10
	// Bounds of the estimate margin. Below the lower bound, admitted calls
	// would miss their deadline even on an idle backend server.
	minMargin = 0.5
	maxMargin = 1.5
	// Change of the estimate margin per call that missed its deadline while in
	// flight, and per completed call. At this ratio the margin settles where
	// about 1 call in 100 misses its deadline.
	marginRise = 0.05
	marginFall = marginRise / 99
)

// service is the state of one service: its configuration, backend servers and
// queues.
type service struct {
	name string
	// Nil if the service is not configured.
	config *wire.Service
	// Ordered by name.
	servers     []*server
	onlineQueue trail.Queue
	batchQueue  trail.Queue
	// Failed calls that wait for another backend server.
	retries []*call
	// Calls that wait to run alone; at most one of them runs at a time.
	suspects []*call
	// The attempt of the suspect in flight, or nil.
	runningSuspect *attempt
	retryBudget    *retry.Budget
	onlineBurst    burstTracker
	// Calls that are waiting or in flight.
	callCount int
	// Moving averages over completed online calls: duration, and cost in
	// tokens.
	meanDuration time.Duration
	meanCost     float64
	sampleCount  int
	// Factor on estimated durations. It follows the share of calls that miss
	// their deadline, because the costs are themselves estimates.
	estimateMargin float64
}

func newService(name string, policy trail.Policy) *service {
	return &service{
		name:           name,
		onlineQueue:    policy.Queue(wire.Class_CLASS_ONLINE),
		batchQueue:     policy.Queue(wire.Class_CLASS_BATCH),
		retryBudget:    retry.New(),
		estimateMargin: 1,
	}
}

func (v *service) isModel() bool { return v.config.GetKind() == "model" }

func (v *service) queueFor(call *call) trail.Queue {
	if call.online() {
		return v.onlineQueue
	}
	return v.batchQueue
}

func (v *service) maxQueued(call *call) int {
	if !call.online() {
		return maxQueuedBatch
	}
	return cmp.Or(int(v.config.GetLimits().GetQueueLength()), defaultQueueLength)
}

func (v *service) addServer(added *server) {
	i, _ := slices.BinarySearchFunc(v.servers, added.name, func(s *server, n string) int { return cmp.Compare(s.name, n) })
	v.servers = slices.Insert(v.servers, i, added)
}

// available returns whether a backend server is usable, even if all its slots
// are taken. If none is, it returns the time until the first ejected one
// returns, or takes a call again by its rate, or 0 if there is none.
func (v *service) available(now time.Time) (bool, time.Duration) {
	var w time.Duration
	for _, s := range v.servers {
		if !s.present(now) || s.lost {
			continue
		}
		d := s.nextUse().Sub(now)
		if d <= 0 {
			return true, 0
		}
		if w == 0 || d < w {
			w = d
		}
	}
	return false, w
}

// onlineSlots returns the total and the free slots for online calls. Slots of
// batch calls count as free, because batch calls can be preempted.
func (v *service) onlineSlots(now time.Time) (int, int) {
	n := 0
	f := 0
	for _, s := range v.servers {
		if s.usable(now) {
			n += s.limit()
			f += max(s.limit()-s.onlineInFlight-s.externalLoad, 0)
		}
	}
	return n, f
}

// estimateWait estimates the queueing time of a new online call of the same
// caller. It returns 0 for batch calls, whose wait depends on future online
// load.
func (v *service) estimateWait(now time.Time, call *call) time.Duration {
	if !call.online() {
		return 0
	}
	n, f := v.onlineSlots(now)
	a := v.queueFor(call).Ahead(call.request.GetCaller())
	if v.sampleCount < minSamples || a < f {
		return 0
	}
	return time.Duration(float64(v.meanDuration) * float64(a+1-f) / float64(max(n, 1)))
}

// estimateDuration returns the expected duration of a call including the
// margin, or 0 if it is not known.
func (v *service) estimateDuration(call *call) time.Duration {
	if v.sampleCount < minSamples {
		return 0
	}
	d := float64(v.meanDuration) * v.estimateMargin
	if c := call.request.GetCostTokens(); c > 0 && v.meanCost > 0 {
		d *= float64(c) / v.meanCost
	}
	return time.Duration(d)
}

// recordDuration records the duration and the cost of a completed online call.
func (v *service) recordDuration(duration time.Duration, cost int64) {
	if v.sampleCount == 0 {
		v.meanDuration = duration
		v.meanCost = float64(cost)
	}
	v.sampleCount++
	v.estimateMargin = max(v.estimateMargin-marginFall, minMargin)
	v.meanDuration = time.Duration(movingAverage(float64(v.meanDuration), float64(duration)))
	v.meanCost = movingAverage(v.meanCost, float64(cost))
}

func movingAverage(previous, sample float64) float64 {
	return (1-sampleWeight)*previous + sampleWeight*sample
}

// ServiceLoads returns the load of each configured service that has backend
// servers or calls here, ordered by name.
func (p *Placer) ServiceLoads(now time.Time) []*wire.ServiceLoad {
	var l []*wire.ServiceLoad
	for _, v := range p.sortedServices() {
		if v.config == nil || len(v.servers) == 0 && v.callCount == 0 {
			continue
		}
		n := 0
		for _, s := range v.servers {
			if s.usable(now) {
				n++
			}
		}
		_, f := v.onlineSlots(now)
		// The wait of a caller without queued calls.
		w := v.estimateWait(now, &call{request: &wire.Call{}, service: v}).Milliseconds()
		l = append(l, wire.ServiceLoad_builder{
			Service:         &v.name,
			Runners:         int32Pointer(n),
			FreeOnlineSlots: int32Pointer(max(f-v.onlineQueue.Len(), 0)),
			QueuedOnline:    int32Pointer(v.onlineQueue.Len()),
			QueuedBatch:     int32Pointer(v.batchQueue.Len()),
			ExpectedWaitMs:  &w,
		}.Build())
	}
	return l
}

func int32Pointer(value int) *int32 {
	m := int32(value)
	return &m
}

// IsModel returns whether the service is configured as a model service.
func (p *Placer) IsModel(name string) bool {
	v := p.services[name]
	return v != nil && v.isModel()
}
