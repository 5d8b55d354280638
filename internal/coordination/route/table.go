package route

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	schedRole = "sched"
	// Bounded-load factor: a call does not go to the preferred scheduler of its
	// prefix if that one would then have more than this factor times the mean
	// number of calls per backend server. It equals the target for the peak
	// load per runner.
	maxLoadFactor = 1.25
	// Penalty added to the expected wait at schedulers of other data centres,
	// in milliseconds. It covers the way to the other data centre and back, and
	// the age of the load reports.
	remotePenaltyMs = 50
	// Maximum number of schedulers tried for a call if no load report lists
	// its service.
	maxUnreportedAttempts = 3
	// Assumed service time of a batch item at a backend server, in
	// milliseconds. It is only used to rank schedulers that have no free slots
	// for batch work.
	assumedBatchItemMs = 1000
	// Maximum number of alternatives in the log entry of a choice.
	maxAlternatives = 3
)

// Reasons of a choice, as logged and counted.
const (
	reasonPrefix        = "prefix"
	reasonPrefixSpilled = "prefix-spilled"
	reasonLeastWait     = "least-wait"
	reasonNoReport      = "no-report"
	reasonPassedOn      = "passed-on"
)

// scheduler is the state of one scheduler, from its load reports and from the
// calls of this process.
type scheduler struct {
	member *wire.Member
	// Nil before the first report.
	report *wire.Report
	// Loads in the report, by service.
	loads map[string]*wire.ServiceLoad
	// Whether the scheduler was marked as failed and has not reported since.
	avoided bool
	// Number of calls of this process in flight at the scheduler, by service.
	running map[string]int
	// Number of calls in flight that began after the last report, by service.
	// The report does not include them.
	unreported map[string]int
	// Number of reports received.
	reportCount int
}

// table holds the known schedulers and ranks them for a call. It does no I/O and
// starts no goroutine.
type table struct {
	dataCentre string
	// Schedulers in the member list that are not leaving, by member id.
	schedulers map[string]*scheduler
}

func newTable(dataCentre string) *table {
	return &table{dataCentre: dataCentre, schedulers: map[string]*scheduler{}}
}

// updateMembers applies the members of a new view. It returns the schedulers
// that were added and removed. A scheduler with a new address or incarnation is
// in both.
func (t *table) updateMembers(members []*wire.Member) (added, removed []*wire.Member) {
	k := map[string]bool{}
	for _, m := range members {
		if m.GetRole() != schedRole || m.GetLeaving() {
			continue
		}
		k[m.GetId()] = true
		o := t.schedulers[m.GetId()]
		if o != nil && o.member.GetPeerAddress() == m.GetPeerAddress() && o.member.GetIncarnation() == m.GetIncarnation() {
			continue
		}
		if o != nil {
			removed = append(removed, o.member)
		}
		t.schedulers[m.GetId()] = &scheduler{member: m, running: map[string]int{}, unreported: map[string]int{}}
		added = append(added, m)
	}
	for i, o := range t.schedulers {
		if !k[i] {
			removed = append(removed, o.member)
			delete(t.schedulers, i)
		}
	}
	slices.SortFunc(added, byID)
	slices.SortFunc(removed, byID)
	return added, removed
}

func byID(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) }

// applyReport stores a load report, which also shows that the scheduler answers.
func (t *table) applyReport(id string, report *wire.Report) {
	o := t.schedulers[id]
	if o == nil {
		return
	}
	o.report = report
	o.loads = make(map[string]*wire.ServiceLoad, len(report.GetServices()))
	for _, v := range report.GetServices() {
		o.loads[v.GetService()] = v
	}
	o.avoided = false
	o.reportCount++
	clear(o.unreported)
}

// markFailed makes choose avoid a scheduler until its next report.
func (t *table) markFailed(id string) {
	o := t.schedulers[id]
	if o == nil {
		return
	}
	o.avoided = true
}

// callStarted counts a call of this process as in flight at a scheduler. It
// returns the number of reports received so far, to be passed to callEnded.
func (t *table) callStarted(id, service string) int {
	o := t.schedulers[id]
	o.running[service]++
	o.unreported[service]++
	return o.reportCount
}

// callEnded removes a call that callStarted counted. Schedulers report only
// changes, so the next report may come late, and a call that both began and
// ended since the last one must not count as unreported until then.
func (t *table) callEnded(id, service string, reportCount int) {
	o := t.schedulers[id]
	if o == nil {
		return
	}
	// The count restarts at 0 when the scheduler is replaced by a new
	// incarnation.
	if o.running[service] > 0 {
		o.running[service]--
	}
	if o.reportCount == reportCount && o.unreported[service] > 0 {
		o.unreported[service]--
	}
}

// candidate is a scheduler that may run the call.
type candidate struct {
	scheduler *scheduler
	runners   int
	// Free slots for the class of the call, less the calls in flight that the
	// report does not include.
	free    int
	waitMs  int64
	running int
	// Rendezvous score for the key of the call.
	score uint64
	local bool
}

// applyLoad sets the figures from the load report. A batch call uses slots that
// online calls leave free and waits behind the queued batch calls.
func (k *candidate) applyLoad(load *wire.ServiceLoad, unreported int, class wire.Class) {
	k.runners = int(load.GetRunners())
	k.free = int(load.GetFreeOnlineSlots()) - unreported
	k.waitMs = load.GetExpectedWaitMs()
	if class != wire.Class_CLASS_BATCH {
		return
	}
	k.free -= int(load.GetQueuedBatch())
	k.waitMs = 0
	if k.free <= 0 {
		k.waitMs = int64(1-k.free) * assumedBatchItemMs / int64(k.runners)
	}
}

// label returns the id and the load figures of the candidate for the log.
func (k *candidate) label() string {
	s := k.scheduler.member.GetId()
	if k.scheduler.report == nil {
		return s
	}
	return s + " free=" + strconv.Itoa(k.free) + " wait-ms=" + strconv.FormatInt(k.waitMs, 10)
}

// choice is the scheduler chosen for a call, with the reason.
type choice struct {
	member *wire.Member
	reason string
	// The other candidates, best first.
	alternatives []string
	// Result of callStarted for the call.
	reportCount int
}

// choose returns the best scheduler for the call that is not in tried, or nil if
// there is none.
func (t *table) choose(call *wire.Call, tried map[string]bool) *choice {
	l := t.candidates(call, tried)
	if len(l) == 0 {
		return nil
	}
	n, s := rank(l, len(call.GetPrefixHashes()) > 0)
	if len(tried) > 0 {
		s = reasonPassedOn
	}
	k := &choice{member: n[0].scheduler.member, reason: s}
	for _, o := range n[1:min(len(n), maxAlternatives+1)] {
		k.alternatives = append(k.alternatives, o.label())
	}
	return k
}

// candidates returns the schedulers that report backend servers for the service.
// If none does, it returns all schedulers, until maxUnreportedAttempts have been
// tried: a report follows shortly after a new configuration or a new backend
// server, and a scheduler without one refuses the call with the verdict NotRun.
func (t *table) candidates(call *wire.Call, tried map[string]bool) []*candidate {
	// l are the schedulers that report the service, n are all.
	var l, n []*candidate
	for i, o := range t.schedulers {
		if o.avoided || tried[i] || o.report.GetLeaving() {
			continue
		}
		k := &candidate{
			scheduler: o,
			running:   o.running[call.GetService()],
			score:     xxhash.Sum64String(rendezvousKey(call) + "\x00" + i),
			local:     o.member.GetDataCentre() == t.dataCentre,
		}
		n = append(n, k)
		v := o.loads[call.GetService()]
		if v.GetRunners() > 0 {
			k.applyLoad(v, o.unreported[call.GetService()], call.GetClass())
			l = append(l, k)
		}
	}
	switch {
	case len(l) > 0:
		return l
	case len(tried) >= maxUnreportedAttempts:
		return nil
	}
	return n
}

// rendezvousKey returns the key that is equal for calls that should go to the
// same scheduler.
func rendezvousKey(call *wire.Call) string {
	p := call.GetPrefixHashes()
	if len(p) == 0 {
		return call.GetService() + "\x00" + call.GetRequestId()
	}
	// The first hash is that of the shortest prefix, which most calls share.
	return call.GetService() + "\x00" + strconv.FormatUint(p[0], 16)
}

// rank sorts the candidates, best first, and returns the reason for the first.
func rank(candidates []*candidate, prefixed bool) ([]*candidate, string) {
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()),
			-compareBool(a.local, b.local),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.scheduler.member.GetId(), b.scheduler.member.GetId()))
	})
	if candidates[0].runners == 0 {
		return candidates, reasonNoReport
	}
	if !prefixed || candidates[0].free <= 0 {
		return candidates, reasonLeastWait
	}
	// Prefix affinity applies within the data centre of the best candidate.
	i := prefixOwner(candidates)
	if i < 0 {
		return candidates, reasonLeastWait
	}
	s := reasonPrefix
	for _, o := range candidates {
		if o.local == candidates[i].local && o.score > candidates[i].score {
			s = reasonPrefixSpilled
		}
	}
	k := candidates[i]
	candidates = slices.Delete(candidates, i, i+1)
	return slices.Insert(candidates, 0, k), s
}

// cost returns the expected wait in milliseconds, plus remotePenaltyMs for
// another data centre.
func (k *candidate) cost() int64 {
	w := k.waitMs
	if k.runners > 0 && k.free <= 0 {
		// Calls that the report does not include wait behind those that it
		// includes.
		w = max(w, 1) + int64(-k.free)
	}
	if !k.local {
		w += remotePenaltyMs
	}
	return w
}

// prefixOwner returns the index of the first candidate in the rendezvous order
// of the prefix that has a free slot and stays within maxLoadFactor, or -1 if
// there is none.
func prefixOwner(candidates []*candidate) int {
	// Calls in flight and backend servers in the data centre.
	var q, n int
	for _, o := range candidates {
		if o.local == candidates[0].local {
			q += o.running
			n += o.runners
		}
	}
	b := -1
	for i, o := range candidates {
		if o.local != candidates[0].local || o.free <= 0 {
			continue
		}
		m := math.Ceil(maxLoadFactor * float64(q+1) * float64(o.runners) / float64(n))
		if float64(o.running+1) > m {
			continue
		}
		if b < 0 || o.score > candidates[b].score {
			b = i
		}
	}
	return b
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
