package batch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/coordination/agenda"
	"bulrushtrail.example/trail/internal/coordination/fleet"
	"bulrushtrail.example/trail/internal/coordination/ledger"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
	"bulrushtrail.example/trail/internal/state/rules"
)

// Kinds of the platform objects.
const (
	kindJobs    = "batch-jobs"
	kindInputs  = "batch-inputs"
	kindResults = "batch-results"
)

const (
	// Results that are gathered before they are listed.
	commitWindow = 800 * time.Millisecond
	// Items are handed to free slots at this interval, besides each time that
	// the load changes.
	dispatchInterval = 50 * time.Millisecond
	// Interval at which a front that runs jobs looks for those that have ended
	// or lost their owner.
	reconcileInterval = 1500 * time.Millisecond
	// Time of the first review, in which a front finds the jobs that it ran
	// before it was restarted.
	firstReconcileDelay = 300 * time.Millisecond
	// Interval at which a front that runs no job does so, besides each time that
	// another front goes silent or leaves a job.
	idleReconcileInterval = 15 * time.Second
	// A new process hears from the other fronts before it takes jobs over.
	discoveryTime = 2500 * time.Millisecond
	// Bytes of the values of input and results objects, as a part of the
	// largest value; the rest is for their encoding.
	payloadShare = 0.5
)

// Jobs holds the batch jobs that this front knows. Its methods may be called
// from any goroutine.
type Jobs struct {
	self       *wire.Front
	store      trail.StaleStore
	fleet      *fleet.Fleet
	upstream   trail.Upstream
	routeTable func() *rules.Table
	peers      trail.PeerJobs
	// What the jobs take of the quotas of their routes.
	ledger *ledger.Ledger
	logger log.Interface
	// Called when the loads of this front have changed.
	onLoadChange func()
	// Largest value of an object in bytes.
	payloadBytes   int
	dispatchSignal chan struct{}
	// Holds a value while a review is wanted.
	reconcileSignal chan struct{}
	// Holds a value while a front that has gone silent may have left jobs.
	peerLostSignal chan struct{}
	startTime      time.Time
	// Jobs left to others.
	released atomic.Uint32

	mu sync.Mutex
	// By job id, all jobs that this process has seen.
	cached map[string]*cachedJob
	owned  map[string]*ownedJob
	// Progress of the items of jobs that are being taken over, by job id.
	inheritedProgress map[string][]*wire.ItemProgress
	agenda            *agenda.Agenda
	// Runs in progress by backend server, oldest first.
	runs map[string][]*itemRun
	// No new items are started.
	draining bool
	// When the last review that has succeeded began.
	reconciled time.Time

	outcomes *prometheus.CounterVec
}

// New starts to run the jobs that this front owns, until c ends.
func New(ctx context.Context, self *wire.Front, store trail.StaleStore, peers trail.PeerJobs, fleet *fleet.Fleet, upstream trail.Upstream, routeTable func() *rules.Table, valueBytes int64, logger log.Interface, registry prometheus.Registerer, onLoadChange func()) *Jobs {
	s := &Jobs{
		self: self, store: store, peers: peers, fleet: fleet, upstream: upstream, routeTable: routeTable, logger: logger, onLoadChange: onLoadChange,
		payloadBytes: int(float64(valueBytes) * payloadShare), dispatchSignal: make(chan struct{}, 1), reconcileSignal: make(chan struct{}, 1), peerLostSignal: make(chan struct{}, 1), startTime: time.Now(),
		cached: map[string]*cachedJob{}, owned: map[string]*ownedJob{}, inheritedProgress: map[string][]*wire.ItemProgress{}, agenda: agenda.New(), runs: map[string][]*itemRun{},
		outcomes: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_batch_runs_total",
			Help: "Runs of batch items by outcome.",
		}, []string{"outcome"}),
	}
	s.ledger = ledger.New(store, s, logger, registry)
	go s.dispatch(ctx)
	go s.reconcileLoop(ctx)
	time.AfterFunc(firstReconcileDelay, s.Reconcile)
	// By then jobs of fronts that have not come back can be taken over.
	time.AfterFunc(discoveryTime+firstReconcileDelay, s.PeerLost)
	return s
}

// cachedJob is what this process knows of a job, whoever runs it.
type cachedJob struct {
	// The same in all versions of the job's object.
	total      int
	inputCount int
	host       string
	path       string
	// The newest version that was read or written.
	object object.Object
	job    *wire.BatchJob
	// All items, nil before they were read.
	items []*wire.BatchItem
	// The results objects in their order, as last read or written.
	parts []*part
	// When the last part was read.
	resultsRead time.Time
	// Closed and replaced when results are added.
	resultsChanged chan struct{}
}

// part is one results object.
type part struct {
	version int64
	value   *wire.BatchResults
}

func newCachedJob(value *wire.BatchJob) *cachedJob {
	return &cachedJob{
		total: int(value.GetTotal()), inputCount: int(value.GetInputs()), host: value.GetHost(), path: value.GetPath(),
		job: value, resultsChanged: make(chan struct{}),
	}
}

// results returns all results from a position on.
func (k *cachedJob) results(after int) []*wire.BatchResult {
	var l []*wire.BatchResult
	for _, p := range k.parts {
		l = append(l, p.value.GetResults()...)
	}
	if after >= len(l) {
		return nil
	}
	return l[after:]
}

// listedIDs returns the ids of the items with a result.
func (k *cachedJob) listedIDs() map[string]bool {
	m := map[string]bool{}
	for _, r := range k.results(0) {
		m[r.GetId()] = true
	}
	return m
}

// item returns an item and its index, nil when the job has none with the id.
func (k *cachedJob) item(id string) *wire.BatchItem {
	for _, i := range k.items {
		if i.GetId() == id {
			return i
		}
	}
	return nil
}

// partName returns the name of the n-th input or results object of a job.
func partName(id string, index int) string { return id + "." + strconv.Itoa(index) }

// Wake hands items to free slots soon.
func (s *Jobs) Wake() {
	select {
	case s.dispatchSignal <- struct{}{}:
	default:
	}
}
