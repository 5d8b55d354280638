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
	commitPause = 800 * time.Millisecond
	// Items are handed to free slots at this interval, besides each time that
	// the load changes.
	dispatchPause = 50 * time.Millisecond
	// Interval at which a front that runs jobs looks for those that have ended
	// or lost their owner.
	reviewPause = 1500 * time.Millisecond
	// Time of the first review, in which a front finds the jobs that it ran
	// before it was restarted.
	firstReviewPause = 300 * time.Millisecond
	// Interval at which a front that runs no job does so, besides each time that
	// another front goes silent or leaves a job.
	idleReviewPause = 15 * time.Second
	// A new process hears from the other fronts before it takes jobs over.
	settlePause = 2500 * time.Millisecond
	// Bytes of the values of input and results objects, as a part of the
	// largest value; the rest is for their encoding.
	valueShare = 0.5
)

// Jobs holds the batch jobs that this front knows. Its methods may be called
// from any goroutine.
type Jobs struct {
	self  *wire.Front
	store trail.StaleStore
	f     *fleet.Fleet
	up    trail.Upstream
	table func() *rules.Table
	peers trail.PeerJobs
	// What the jobs take of the quotas of their routes.
	ledger *ledger.Ledger
	l      log.Interface
	// Called when the loads of this front have changed.
	changed func()
	// Largest value of an object in bytes.
	valueBytes int
	wake       chan struct{}
	// Holds a value while a review is wanted.
	asked chan struct{}
	// Holds a value while a front that has gone silent may have left jobs.
	lost chan struct{}
	born time.Time
	// Jobs left to others.
	released atomic.Uint32

	m sync.Mutex
	// By job id, all jobs that this process has seen.
	known map[string]*known
	owned map[string]*owned
	// Progress of the items of jobs that are being taken over, by job id.
	inherited map[string][]*wire.ItemProgress
	agenda    *agenda.Agenda
	// Runs in progress by backend server, oldest first.
	runs map[string][]*run
	// No new items are started.
	leaving bool
	// When the last review that has succeeded began.
	reviewed time.Time

	items *prometheus.CounterVec
}

// New starts to run the jobs that this front owns, until c ends.
func New(c context.Context, self *wire.Front, store trail.StaleStore, p trail.PeerJobs, f *fleet.Fleet, up trail.Upstream, table func() *rules.Table, valueBytes int64, l log.Interface, r prometheus.Registerer, changed func()) *Jobs {
	s := &Jobs{
		self: self, store: store, peers: p, f: f, up: up, table: table, l: l, changed: changed,
		valueBytes: int(float64(valueBytes) * valueShare), wake: make(chan struct{}, 1), asked: make(chan struct{}, 1), lost: make(chan struct{}, 1), born: time.Now(),
		known: map[string]*known{}, owned: map[string]*owned{}, inherited: map[string][]*wire.ItemProgress{}, agenda: agenda.New(), runs: map[string][]*run{},
		items: promauto.With(r).NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_batch_runs_total",
			Help: "Runs of batch items by outcome.",
		}, []string{"outcome"}),
	}
	s.ledger = ledger.New(store, s, l, r)
	go s.dispatch(c)
	go s.review(c)
	time.AfterFunc(firstReviewPause, s.Review)
	// By then jobs of fronts that have not come back can be taken over.
	time.AfterFunc(settlePause+firstReviewPause, s.Lost)
	return s
}

// known is what this process knows of a job, whoever runs it.
type known struct {
	// The same in all versions of the job's object.
	total  int
	inputs int
	host   string
	path   string
	// The newest version that was read or written.
	object object.Object
	job    *wire.BatchJob
	// All items, nil before they were read.
	input []*wire.BatchItem
	// The results objects in their order, as last read or written.
	parts []*part
	// When the last part was read.
	read time.Time
	// Closed and replaced when results are added.
	changed chan struct{}
}

// part is one results object.
type part struct {
	version int64
	v       *wire.BatchResults
}

func newKnown(j *wire.BatchJob) *known {
	return &known{
		total: int(j.GetTotal()), inputs: int(j.GetInputs()), host: j.GetHost(), path: j.GetPath(),
		job: j, changed: make(chan struct{}),
	}
}

// results returns all results from a position on.
func (k *known) results(after int) []*wire.BatchResult {
	var l []*wire.BatchResult
	for _, p := range k.parts {
		l = append(l, p.v.GetResults()...)
	}
	if after >= len(l) {
		return nil
	}
	return l[after:]
}

// listed returns the ids of the items with a result.
func (k *known) listed() map[string]bool {
	m := map[string]bool{}
	for _, r := range k.results(0) {
		m[r.GetId()] = true
	}
	return m
}

// item returns an item and its index, nil when the job has none with the id.
func (k *known) item(id string) *wire.BatchItem {
	for _, i := range k.input {
		if i.GetId() == id {
			return i
		}
	}
	return nil
}

// partName returns the name of the n-th input or results object of a job.
func partName(id string, n int) string { return id + "." + strconv.Itoa(n) }

// Wake hands items to free slots soon.
func (s *Jobs) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
