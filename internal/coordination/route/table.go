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
	// A prefix leaves its preferred scheduler when that one would have more
	// than this share of the mean calls per backend server. The stated target
	// for the peak load per runner is the same.
	maxLoadFactor = 1.25
	// Expected wait at which another data centre is preferred to a busy one,
	// in milliseconds. It covers two crossings and the lag of the reports.
	remotePenaltyMs = 50
	// Schedulers that are asked without a report of the service.
	maxUnreportedAttempts = 3
	// Assumed time of one batch item at a backend server, in milliseconds. It
	// only ranks schedulers whose capacity for batch work is used up.
	assumedBatchItemMs = 1000
	// Alternatives named in a decision.
	maxAlternatives = 3
)

// Reasons of a choice, as they stand in the log.
const (
	reasonPrefix        = "prefix"
	reasonPrefixSpilled = "prefix-spilled"
	reasonLeastWait     = "least-wait"
	reasonNoReport      = "no-report"
	reasonPassedOn      = "passed-on"
)

// scheduler is a scheduler as the decision module knows it.
type scheduler struct {
	member *wire.Member
	// Nil before the first report.
	report *wire.Report
	// Loads of the report by service.
	loads map[string]*wire.ServiceLoad
	// Whether the last exchange failed and no new connection has worked since.
	avoided bool
	// Calls of this process that run at the scheduler, by service.
	running map[string]int
	// Calls of this process that began after the last report and run, by
	// service. They are not in the report's figures.
	unreported map[string]int
	// Reports received.
	reportCount int
}

// table is the decision module. It opens no socket and starts no goroutine.
type table struct {
	dataCentre string
	// By member id; only schedulers that are members and not leaving.
	schedulers map[string]*scheduler
}

func newTable(dataCentre string) *table {
	return &table{dataCentre: dataCentre, schedulers: map[string]*scheduler{}}
}

// updateMembers takes the members of a new view and returns the schedulers that
// were added and those that are gone.
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

// applyReport takes a load report, which also shows that the scheduler answers.
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

// markFailed marks a scheduler that did not answer.
func (t *table) markFailed(id string) {
	o := t.schedulers[id]
	if o == nil {
		return
	}
	o.avoided = true
}

// callStarted counts a call of this process that runs at a scheduler. It returns
// the number of reports so far, which ended needs.
func (t *table) callStarted(id, service string) int {
	o := t.schedulers[id]
	o.running[service]++
	o.unreported[service]++
	return o.reportCount
}

// callEnded takes a call back that was counted by started. Reports come only on
// change, so a call that began and ended between two of them must not count
// until the next one.
func (t *table) callEnded(id, service string, reportCount int) {
	o := t.schedulers[id]
	if o == nil {
		return
	}
	// A scheduler that started anew has no calls from before.
	if o.running[service] > 0 {
		o.running[service]--
	}
	if o.reportCount == reportCount && o.unreported[service] > 0 {
		o.unreported[service]--
	}
}

// candidate is a scheduler that may take the call.
type candidate struct {
	scheduler *scheduler
	runners   int
	// Free online slots less the calls that the report doesn't contain yet.
	free    int
	waitMs  int64
	running int
	// Rendezvous score for the key of the call.
	score uint64
	local bool
}

// applyLoad takes the figures of the report. Batch work waits for the slots that
// online work leaves free, behind the batch work that is queued.
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

// label names the candidate and its figures in the log.
func (k *candidate) label() string {
	s := k.scheduler.member.GetId()
	if k.scheduler.report == nil {
		return s
	}
	return s + " free=" + strconv.Itoa(k.free) + " wait-ms=" + strconv.FormatInt(k.waitMs, 10)
}

// choice is a decision and what speaks for it.
type choice struct {
	member *wire.Member
	reason string
	// The other candidates, best first.
	alternatives []string
	// What started returned for the call.
	reportCount int
}

// choose picks a scheduler for a call that those in tried have not taken. The
// result is nil when there is none.
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

// candidates returns the schedulers with backend servers for the service. When
// no report names one, it returns all, at most maxBlindTries in a row: reports
// come a moment after a new configuration or a new backend server, and a
// scheduler without one refuses the call as not run.
func (t *table) candidates(call *wire.Call, tried map[string]bool) []*candidate {
	// Those that report the service, and all.
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

// rendezvousKey is what a call shares with those that should meet at one scheduler.
func rendezvousKey(call *wire.Call) string {
	p := call.GetPrefixHashes()
	if len(p) == 0 {
		return call.GetService() + "\x00" + call.GetRequestId()
	}
	// The shortest prefix is the one that most calls share.
	return call.GetService() + "\x00" + strconv.FormatUint(p[0], 16)
}

// rank sorts the candidates, best first, and says why the first one leads.
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
	// Affinity holds within the data centre of the best candidate.
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

// cost is the expected wait in milliseconds, with the crossing to another
// data centre added.
func (k *candidate) cost() int64 {
	w := k.waitMs
	if k.runners > 0 && k.free <= 0 {
		// Calls that are not in the report yet wait behind those that are.
		w = max(w, 1) + int64(-k.free)
	}
	if !k.local {
		w += remotePenaltyMs
	}
	return w
}

// prefixOwner returns the index of the candidate that leads the rendezvous order of
// the prefix and stays within the bounded load, -1 when there is none.
func prefixOwner(candidates []*candidate) int {
	// Calls and backend servers of the data centre.
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
