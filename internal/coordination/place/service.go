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
	text *wire.Service
	// By name.
	servers []*server
	online  trail.Queue
	batch   trail.Queue
	// Calls that wait for an attempt at another backend server.
	retries []*call
	// Calls that wait to run alone; at most one of them runs.
	suspects []*call
	// The suspect in flight or nil.
	alone  *attempt
	budget *retry.Budget
	burst  burst
	// Number of calls that wait or run.
	calls int
	// Averages over completed online calls: how long they ran, and their cost
	// in tokens.
	duration time.Duration
	cost     float64
	samples  int
	// Factor on estimated times. Costs are estimates themselves; the margin
	// follows how many calls run past their deadline.
	margin float64
}

func newService(name string, p trail.Policy) *service {
	return &service{
		name:   name,
		online: p.Queue(wire.Class_CLASS_ONLINE),
		batch:  p.Queue(wire.Class_CLASS_BATCH),
		budget: retry.New(),
		margin: 1,
	}
}

func (v *service) model() bool { return v.text.GetKind() == "model" }

func (v *service) queue(k *call) trail.Queue {
	if k.online() {
		return v.online
	}
	return v.batch
}

func (v *service) maxQueued(k *call) int {
	if !k.online() {
		return maxQueuedBatch
	}
	return cmp.Or(int(v.text.GetLimits().GetQueueLength()), defaultQueueLength)
}

func (v *service) add(s *server) {
	i, _ := slices.BinarySearchFunc(v.servers, s.name, func(s *server, n string) int { return cmp.Compare(s.name, n) })
	v.servers = slices.Insert(v.servers, i, s)
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

// slots returns the sum of the limits and of the free slots for online calls,
// which include those that batch calls would give up.
func (v *service) slots(now time.Time) (int, int) {
	n := 0
	f := 0
	for _, s := range v.servers {
		if s.usable(now) {
			n += s.limit()
			f += max(s.limit()-s.online-s.external, 0)
		}
	}
	return n, f
}

// wait estimates how long a new online call of the same caller waits. Nothing
// is estimated for batch calls, whose slots depend on later online work.
func (v *service) wait(now time.Time, k *call) time.Duration {
	if !k.online() {
		return 0
	}
	n, f := v.slots(now)
	a := v.queue(k).Ahead(k.r.GetCaller())
	if v.samples < minSamples || a < f {
		return 0
	}
	return time.Duration(float64(v.duration) * float64(a+1-f) / float64(max(n, 1)))
}

// estimate returns how long a call is expected to run, with the margin, 0 when
// it is not known.
func (v *service) estimate(k *call) time.Duration {
	if v.samples < minSamples {
		return 0
	}
	d := float64(v.duration) * v.margin
	if c := k.r.GetCostTokens(); c > 0 && v.cost > 0 {
		d *= float64(c) / v.cost
	}
	return time.Duration(d)
}

// sample records the time that a completed online call took.
func (v *service) sample(d time.Duration, cost int64) {
	if v.samples == 0 {
		v.duration = d
		v.cost = float64(cost)
	}
	v.samples++
	v.margin = max(v.margin-marginFall, minMargin)
	v.duration = time.Duration(average(float64(v.duration), float64(d)))
	v.cost = average(v.cost, float64(cost))
}

func average(a, b float64) float64 { return (1-sampleWeight)*a + sampleWeight*b }

// Loads returns the load of each service with backend servers or calls here, by
// name.
func (p *Place) Loads(now time.Time) []*wire.ServiceLoad {
	var l []*wire.ServiceLoad
	for _, v := range p.sorted() {
		if v.text == nil || len(v.servers) == 0 && v.calls == 0 {
			continue
		}
		n := 0
		for _, s := range v.servers {
			if s.usable(now) {
				n++
			}
		}
		_, f := v.slots(now)
		// The wait of a caller who has no other call here.
		w := v.wait(now, &call{r: &wire.Call{}, v: v}).Milliseconds()
		l = append(l, wire.ServiceLoad_builder{
			Service:         &v.name,
			Runners:         number(n),
			FreeOnlineSlots: number(max(f-v.online.Len(), 0)),
			QueuedOnline:    number(v.online.Len()),
			QueuedBatch:     number(v.batch.Len()),
			ExpectedWaitMs:  &w,
		}.Build())
	}
	return l
}

func number(n int) *int32 {
	m := int32(n)
	return &m
}

// Model returns whether the services text has the service as a model engine's.
func (p *Place) Model(name string) bool {
	v := p.services[name]
	return v != nil && v.model()
}
