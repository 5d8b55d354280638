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
	"bulrushtrail.example/trail/internal/transport/buffer"
)

// Kinds of the platform objects.
const (
	kindJobs    = "batch-jobs"
	kindInputs  = "batch-inputs"
	kindResults = "batch-results"
)

const (
	// Coalescing window of results: those that arrive within it are listed in
	// one update.
	commitWindow = 800 * time.Millisecond
	// Items are dispatched to free slots at this interval, and also whenever
	// the load changes.
	dispatchInterval = 50 * time.Millisecond
	// Interval at which a front that runs jobs looks for jobs that have ended
	// or have no live owner.
	reconcileInterval = 1500 * time.Millisecond
	// Delay of the first reconciliation, in which a restarted front finds the
	// jobs that it ran before.
	firstReconcileDelay = 300 * time.Millisecond
	// Interval at which a front that runs no jobs does the same. It also does
	// so when another front goes silent or releases a job.
	idleReconcileInterval = 15 * time.Second
	// Time after the start in which a process learns from heartbeats which
	// other fronts are alive. Before its end it takes no jobs over.
	discoveryTime = 2500 * time.Millisecond
	// Share of the largest object that input and results objects fill with several
	// items or results. An earlier version of the program, which counts in another
	// encoding, may append to a results object.
	payloadShare = 0.5
	// Bytes of an object beside its items or results: the platform's metadata, whose
	// name has up to 135 bytes, and the mark of a full results object.
	metadataBytes = 512
)

// Jobs holds the batch jobs that this front runs or has cached. Its methods may
// be called from any goroutine.
type Jobs struct {
	self     *wire.Front
	store    trail.StaleStore
	fleet    *fleet.Fleet
	upstream trail.Upstream
	routes   trail.Routes
	peers    trail.PeerJobs
	// Tokens that the jobs reserve of the quotas of their routes.
	ledger *ledger.Ledger
	logger log.Interface
	// Called when something has changed that the heartbeats of this front
	// report: slots taken or freed, failures of backend servers, released jobs.
	onLoadChange func()
	// Largest payload of an input or results object with several items or results, in
	// bytes as they are sent to the platform.
	payloadBytes int
	// Largest payload of an object with a single item or result. A response to a
	// caller has room for it too.
	singleBytes int
	// Bytes that long events hold while they are read.
	eventRoom *buffer.Limit
	// Bytes that the outputs of unfinished items may hold together.
	outputBytes int64
	// Bytes that the items of unfinished jobs may hold together, 0 for no limit.
	itemLimit      int64
	dispatchSignal chan struct{}
	// Holds a value while a reconciliation from current objects is requested.
	reconcileSignal chan struct{}
	// Holds a value while this front has to look for the jobs of fronts that have
	// gone silent.
	peerLostSignal chan struct{}
	// Holds a value while a reconciliation from stale objects is requested.
	lookSignal chan struct{}
	startTime  time.Time
	// Ends when the process does, and with it all work of its own accord.
	running context.Context
	// Jobs released without a successor that acknowledged the hand-over, and jobs
	// ended without their owner's acknowledgement.
	released atomic.Uint32

	mu sync.Mutex
	// All jobs that this process has seen, by job id.
	cached map[string]*cachedJob
	owned  map[string]*ownedJob
	// Progress of the items of jobs that another front is handing over, by job
	// id.
	inheritedProgress map[string][]*wire.ItemProgress
	agenda            *agenda.Agenda
	// Bytes of the items of jobs that are being accepted.
	acceptingBytes int64
	// Runs in progress by backend server, oldest first.
	runs map[string][]*itemRun
	// The front is stopping; no new items are started.
	draining bool
	// Start of the last read of the configuration that was asked for here, zero for none.
	routesReadAt time.Time
	// Such a read is in progress, or the pause after it.
	readingRoutes bool

	outcomes *prometheus.CounterVec
}

// New starts to run the jobs that this front owns, until ctx ends. The platform takes
// objects of up to valueBytes; outputs of unfinished items hold up to outputBytes.
func New(ctx context.Context, self *wire.Front, store trail.StaleStore, peers trail.PeerJobs, fleet *fleet.Fleet, upstream trail.Upstream, routes trail.Routes, valueBytes, outputBytes int64, logger log.Interface, registry prometheus.Registerer, onLoadChange func()) *Jobs {
	s := &Jobs{
		running: ctx, self: self, store: store, peers: peers, fleet: fleet, upstream: upstream, routes: routes, logger: logger, onLoadChange: onLoadChange,
		payloadBytes: int(float64(valueBytes) * payloadShare), singleBytes: int(min(valueBytes, maxResultsBytes)) - metadataBytes, eventRoom: buffer.New(outputBytes), outputBytes: outputBytes, dispatchSignal: make(chan struct{}, 1), reconcileSignal: make(chan struct{}, 1), peerLostSignal: make(chan struct{}, 1), lookSignal: make(chan struct{}, 1), startTime: time.Now(),
		cached: map[string]*cachedJob{}, owned: map[string]*ownedJob{}, inheritedProgress: map[string][]*wire.ItemProgress{}, agenda: agenda.New(), runs: map[string][]*itemRun{},
		outcomes: promauto.With(registry).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_batch_runs_total",
			Help: "Runs of batch items by outcome.",
		}, []string{"outcome"}),
	}
	s.agenda.SetParticular(s.particularItems)
	s.ledger = ledger.New(store, s, logger, registry)
	go s.dispatch(ctx)
	go s.reconcileLoop(ctx)
	time.AfterFunc(firstReconcileDelay, s.TriggerReconcile)
	// From then on this front can take over jobs of fronts that have not come
	// back.
	time.AfterFunc(discoveryTime+firstReconcileDelay, s.TriggerReconcile)
	return s
}

// cachedJob is the local copy of a job, whichever front runs it.
type cachedJob struct {
	// The same in all versions of the job's object.
	total      int
	inputCount int
	host       string
	path       string
	// Name of the route under which the job was accepted, empty if not known. An earlier
	// version of the program drops it from the job's object.
	route string
	// Team whose key the submission had, empty if it needed none. An earlier version of
	// the program drops it too.
	team string
	// The first input object was read, which has the team as well.
	teamRead bool
	// The newest version that was read, written or received from another front.
	object object.Object
	job    *wire.BatchJob
	// All items, nil while they are not cached.
	items []*wire.BatchItem
	// The results objects in order, as last read or written.
	parts []*part
	// When the results were last read from the platform itself.
	resultsRead time.Time
	// Closed and replaced when results are added.
	resultsChanged chan struct{}
}

// part is one results object.
type part struct {
	version int64
	value   *wire.BatchResults
	// Bytes of the value as it is sent to the platform, 0 if not counted yet.
	size int
}

func newCachedJob(value *wire.BatchJob) *cachedJob {
	return &cachedJob{
		total: int(value.GetTotal()), inputCount: int(value.GetInputs()), host: value.GetHost(), path: value.GetPath(), route: value.GetRoute(), team: value.GetTeam(),
		job: value, resultsChanged: make(chan struct{}),
	}
}

// results returns the results from position after on.
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

// newestPart returns the newest known results object, nil if there is none.
func (k *cachedJob) newestPart() *part {
	if len(k.parts) == 0 {
		return nil
	}
	return k.parts[len(k.parts)-1]
}

// listedIDs returns the ids of the items with a result.
func (k *cachedJob) listedIDs() map[string]bool {
	m := map[string]bool{}
	for _, r := range k.results(0) {
		m[r.GetId()] = true
	}
	return m
}

// findItem returns the item with an id, nil if there is none.
func findItem(items []*wire.BatchItem, id string) *wire.BatchItem {
	for _, i := range items {
		if i.GetId() == id {
			return i
		}
	}
	return nil
}

// partName returns the name of the input or results object with an index.
func partName(id string, index int) string { return id + "." + strconv.Itoa(index) }

// TriggerDispatch makes the dispatch loop look for free slots now.
func (s *Jobs) TriggerDispatch() { signal(s.dispatchSignal) }
