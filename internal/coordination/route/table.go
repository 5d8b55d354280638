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
	boundedLoad = 1.25
	// Expected wait at which another data centre is preferred to a busy one,
	// in milliseconds. It covers two crossings and the lag of the reports.
	crossingMs = 50
	// Schedulers that are asked without a report of the service.
	maxBlindTries = 3
	// Assumed time of one batch item at a backend server, in milliseconds. It
	// only ranks schedulers whose capacity for batch work is used up.
	batchItemMs = 1000
	// Alternatives named in a decision.
	maxAlternatives = 3
)

// Reasons of a choice, as they stand in the log.
const (
	byPrefix  = "prefix"
	bySpill   = "prefix-spilled"
	byWait    = "least-wait"
	byRank    = "no-report"
	byPassing = "passed-on"
)

// target is a scheduler as the decision module knows it.
type target struct {
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
	fresh map[string]int
	// Reports received.
	reports int
}

// table is the decision module. It opens no socket and starts no goroutine.
type table struct {
	dataCentre string
	// By member id; only schedulers that are members and not leaving.
	targets map[string]*target
}

func newTable(dataCentre string) *table {
	return &table{dataCentre: dataCentre, targets: map[string]*target{}}
}

// members takes the members of a new view and returns the schedulers that
// were added and those that are gone.
func (t *table) members(l []*wire.Member) (added, gone []*wire.Member) {
	k := map[string]bool{}
	for _, m := range l {
		if m.GetRole() != schedRole || m.GetLeaving() {
			continue
		}
		k[m.GetId()] = true
		o := t.targets[m.GetId()]
		if o != nil && o.member.GetPeerAddress() == m.GetPeerAddress() && o.member.GetIncarnation() == m.GetIncarnation() {
			continue
		}
		if o != nil {
			gone = append(gone, o.member)
		}
		t.targets[m.GetId()] = &target{member: m, running: map[string]int{}, fresh: map[string]int{}}
		added = append(added, m)
	}
	for i, o := range t.targets {
		if !k[i] {
			gone = append(gone, o.member)
			delete(t.targets, i)
		}
	}
	slices.SortFunc(added, byID)
	slices.SortFunc(gone, byID)
	return added, gone
}

func byID(a, b *wire.Member) int { return cmp.Compare(a.GetId(), b.GetId()) }

// reported takes a load report, which also shows that the scheduler answers.
func (t *table) reported(id string, r *wire.Report) {
	o := t.targets[id]
	if o == nil {
		return
	}
	o.report = r
	o.loads = make(map[string]*wire.ServiceLoad, len(r.GetServices()))
	for _, v := range r.GetServices() {
		o.loads[v.GetService()] = v
	}
	o.avoided = false
	o.reports++
	clear(o.fresh)
}

// failed marks a scheduler that did not answer.
func (t *table) failed(id string) {
	o := t.targets[id]
	if o == nil {
		return
	}
	o.avoided = true
}

// started counts a call of this process that runs at a scheduler. It returns
// the number of reports so far, which ended needs.
func (t *table) started(id, service string) int {
	o := t.targets[id]
	o.running[service]++
	o.fresh[service]++
	return o.reports
}

// ended takes a call back that was counted by started. Reports come only on
// change, so a call that began and ended between two of them must not count
// until the next one.
func (t *table) ended(id, service string, reports int) {
	o := t.targets[id]
	if o == nil {
		return
	}
	// A scheduler that started anew has no calls from before.
	if o.running[service] > 0 {
		o.running[service]--
	}
	if o.reports == reports && o.fresh[service] > 0 {
		o.fresh[service]--
	}
}

// candidate is a scheduler that may take the call.
type candidate struct {
	target  *target
	runners int
	// Free online slots less the calls that the report doesn't contain yet.
	free    int
	waitMs  int64
	running int
	// Rendezvous score for the key of the call.
	score uint64
	local bool
}

// load takes the figures of the report. Batch work waits for the slots that
// online work leaves free, behind the batch work that is queued.
func (k *candidate) load(v *wire.ServiceLoad, fresh int, class wire.Class) {
	k.runners = int(v.GetRunners())
	k.free = int(v.GetFreeOnlineSlots()) - fresh
	k.waitMs = v.GetExpectedWaitMs()
	if class != wire.Class_CLASS_BATCH {
		return
	}
	k.free -= int(v.GetQueuedBatch())
	k.waitMs = 0
	if k.free <= 0 {
		k.waitMs = int64(1-k.free) * batchItemMs / int64(k.runners)
	}
}

// label names the candidate and its figures in the log.
func (k *candidate) label() string {
	s := k.target.member.GetId()
	if k.target.report == nil {
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
	reports int
}

// choose picks a scheduler for a call that those in tried have not taken. The
// result is nil when there is none.
func (t *table) choose(r *wire.Call, tried map[string]bool) *choice {
	l := t.candidates(r, tried)
	if len(l) == 0 {
		return nil
	}
	n, s := order(l, len(r.GetPrefixHashes()) > 0)
	if len(tried) > 0 {
		s = byPassing
	}
	k := &choice{member: n[0].target.member, reason: s}
	for _, o := range n[1:min(len(n), maxAlternatives+1)] {
		k.alternatives = append(k.alternatives, o.label())
	}
	return k
}

// candidates returns the schedulers with backend servers for the service. When
// no report names one, it returns all, at most maxBlindTries in a row: reports
// come a moment after a new configuration or a new backend server, and a
// scheduler without one refuses the call as not run.
func (t *table) candidates(r *wire.Call, tried map[string]bool) []*candidate {
	// Those that report the service, and all.
	var l, n []*candidate
	for i, o := range t.targets {
		if o.avoided || tried[i] || o.report.GetLeaving() {
			continue
		}
		k := &candidate{
			target:  o,
			running: o.running[r.GetService()],
			score:   xxhash.Sum64String(key(r) + "\x00" + i),
			local:   o.member.GetDataCentre() == t.dataCentre,
		}
		n = append(n, k)
		v := o.loads[r.GetService()]
		if v.GetRunners() > 0 {
			k.load(v, o.fresh[r.GetService()], r.GetClass())
			l = append(l, k)
		}
	}
	switch {
	case len(l) > 0:
		return l
	case len(tried) >= maxBlindTries:
		return nil
	}
	return n
}

// key is what a call shares with those that should meet at one scheduler.
func key(r *wire.Call) string {
	p := r.GetPrefixHashes()
	if len(p) == 0 {
		return r.GetService() + "\x00" + r.GetRequestId()
	}
	// The shortest prefix is the one that most calls share.
	return r.GetService() + "\x00" + strconv.FormatUint(p[0], 16)
}

// order sorts the candidates, best first, and says why the first one leads.
func order(l []*candidate, prefixed bool) ([]*candidate, string) {
	slices.SortFunc(l, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.penalty(), b.penalty()),
			-compareBool(a.local, b.local),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.target.member.GetId(), b.target.member.GetId()))
	})
	if l[0].runners == 0 {
		return l, byRank
	}
	if !prefixed || l[0].free <= 0 {
		return l, byWait
	}
	// Affinity holds within the data centre of the best candidate.
	i := affine(l)
	if i < 0 {
		return l, byWait
	}
	s := byPrefix
	for _, o := range l {
		if o.local == l[i].local && o.score > l[i].score {
			s = bySpill
		}
	}
	k := l[i]
	l = slices.Delete(l, i, i+1)
	return slices.Insert(l, 0, k), s
}

// penalty is the expected wait in milliseconds, with the crossing to another
// data centre added.
func (k *candidate) penalty() int64 {
	w := k.waitMs
	if k.runners > 0 && k.free <= 0 {
		// Calls that are not in the report yet wait behind those that are.
		w = max(w, 1) + int64(-k.free)
	}
	if !k.local {
		w += crossingMs
	}
	return w
}

// affine returns the index of the candidate that leads the rendezvous order of
// the prefix and stays within the bounded load, -1 when there is none.
func affine(l []*candidate) int {
	// Calls and backend servers of the data centre.
	var q, n int
	for _, o := range l {
		if o.local == l[0].local {
			q += o.running
			n += o.runners
		}
	}
	b := -1
	for i, o := range l {
		if o.local != l[0].local || o.free <= 0 {
			continue
		}
		m := math.Ceil(boundedLoad * float64(q+1) * float64(o.runners) / float64(n))
		if float64(o.running+1) > m {
			continue
		}
		if b < 0 || o.score > l[b].score {
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
