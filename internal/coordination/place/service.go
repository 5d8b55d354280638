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
	// Queue length when the services text names none.
	defaultQueueLength = 1000
	// Batch calls wait at the scheduler only so that a freed slot is filled at
	// once; the jobs hold the rest.
	maxQueuedBatch = 4096
	// Weight of a new sample in the averages.
	sampleWeight = 0.1
	// Averages of fewer samples reject nobody.
	minSamples = 10
	// Bounds of the margin on estimated times. Below the lower one a call
	// would run in vain even on an empty backend server.
	minMargin = 0.5
	maxMargin = 1.5
	// Steps of the margin for a call that ran past its deadline and for one
	// that completed. Their ratio lets about one call in a hundred run in vain.
	marginRise = 0.05
	marginFall = marginRise / 99
)

// service is one service of the text with its backend servers and queues.
type service struct {
	name string
	// Nil when the service is not in the text.
	config *wire.Service
	// By name.
	servers     []*server
	onlineQueue trail.Queue
	batchQueue  trail.Queue
	// Calls that wait for an attempt at another backend server.
	retries []*call
	// Calls that wait to run alone; at most one of them runs.
	suspects []*call
	// The suspect in flight or nil.
	runningSuspect *attempt
	retryBudget    *retry.Budget
	onlineBurst    burstTracker
	// Number of calls that wait or run.
	callCount int
	// Averages over completed online calls: how long they ran, and their cost
	// in tokens.
	meanDuration time.Duration
	meanCost     float64
	sampleCount  int
	// Factor on estimated times. Costs are estimates themselves; the margin
	// follows how many calls run past their deadline.
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

// available returns whether a backend server takes calls now or after those
// that it runs. If not, it returns when the first ejected one returns, 0 when
// there is none.
func (v *service) available(now time.Time) (bool, time.Duration) {
	var w time.Duration
	for _, s := range v.servers {
		if !s.present(now) {
			continue
		}
		d := s.ejectedUntil.Sub(now)
		if d <= 0 {
			return true, 0
		}
		if w == 0 || d < w {
			w = d
		}
	}
	return false, w
}

// onlineSlots returns the sum of the limits and of the free slots for online calls,
// which include those that batch calls would give up.
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

// estimateWait estimates how long a new online call of the same caller waits. Nothing
// is estimated for batch calls, whose slots depend on later online work.
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

// estimateDuration returns how long a call is expected to run, with the margin, 0 when
// it is not known.
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

// recordDuration records the time that a completed online call took.
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

// ServiceLoads returns the load of each service with backend servers or calls here, by
// name.
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
		// The wait of a caller who has no other call here.
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

// IsModel returns whether the services text has the service as a model engine's.
func (p *Placer) IsModel(name string) bool {
	v := p.services[name]
	return v != nil && v.isModel()
}
