package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms count microseconds up to an hour with three digits.
	maxMicroseconds = int64(time.Hour / time.Microsecond)
	digits          = 3
	lostLoad        = -1
)

// figures are what one run measures between the end of the warm-up and the end
// of the trace, but for the counts, which hold the whole run.
type figures struct {
	from, to time.Duration
	slots    int
	// Time to first token of online requests.
	first *hdrhistogram.Histogram
	// Online requests, those with a complete answer, and the others by code.
	requests, answered int
	refused            map[string]int
	// Answer tokens of complete online answers.
	tokens int
	// Dispatches of batch items, and the batch items.
	batchAttempts, items int
	// The outage, or the window without one, and the online dispatches and
	// requests in it.
	outage, outageEnd        time.Duration
	attempts, outageRequests int
	// Batch items that completed in the window.
	completed int
	// Slot time of the runners in service, of online requests, of batch
	// attempts, and of those of them that completed or whose tokens were kept.
	capacity, online, batch, useful time.Duration
	// Items of jobs that were not complete by the deadline, and their jobs.
	missedItems, missedJobs int
	// Online dispatches with a cached prefix, and if each prefix had one fixed
	// runner.
	lookups, hits, fixedHits int
	// Online dispatches in the window by runner, lostLoad for one that was lost.
	load []int
	// Scheduling steps that left an online request waiting while a batch call
	// held a slot.
	heldUp int
	// Time to first token and to the end of the small callers' requests that
	// were answered, by caller.
	smallFirst, smallDone map[string]time.Duration
}

func newFigures(length time.Duration, d *deployment) *figures {
	return &figures{
		from: warmUp, to: length, outage: warmUp, outageEnd: length, slots: d.slots,
		first: hdrhistogram.New(1, maxMicroseconds, digits), refused: map[string]int{}, load: make([]int, d.runners),
		smallFirst: map[string]time.Duration{}, smallDone: map[string]time.Duration{},
	}
}

func (f *figures) within(t time.Duration) bool { return t >= f.from && t < f.to }

// overlap returns the part of a time that is in the window.
func (f *figures) overlap(from, to time.Duration) time.Duration {
	return max(min(to, f.to)-max(from, f.from), 0)
}

func (f *figures) alive(from, to time.Duration) {
	f.capacity += time.Duration(f.slots) * f.overlap(from, to)
}

func (f *figures) arrived(k *call) {
	if !k.online {
		f.items++
		return
	}
	f.requests++
	if k.arrived >= f.outage && k.arrived < f.outageEnd {
		f.outageRequests++
	}
}

func (f *figures) dispatched(a *attempt, fixed bool) {
	if !a.k.online {
		f.batchAttempts++
		return
	}
	if a.began >= f.outage && a.began < f.outageEnd {
		f.attempts++
	}
	if !f.within(a.began) {
		return
	}
	if f.load[a.h.index] != lostLoad {
		f.load[a.h.index]++
	}
	if fixed {
		f.fixedHits++
	}
}

// used counts the slot time of an attempt that has ended.
func (f *figures) used(a *attempt, until time.Duration, complete bool) {
	d := f.overlap(a.began, until)
	if a.k.online {
		f.online += d
		if f.within(a.began) {
			f.lookups++
			if a.q.hit {
				f.hits++
			}
		}
		return
	}
	f.batch += d
	if complete {
		f.useful += d + a.k.kept
	}
}

func (f *figures) ended(k *call, at time.Duration, code string) {
	if !k.online {
		if code == "" && f.within(at) {
			f.completed++
		}
		return
	}
	if k.first > 0 && f.within(k.arrived) && k.l.Caller != burstCaller {
		_ = f.first.RecordValue(max((k.first - k.arrived).Microseconds(), 1))
	}
	if code != "" {
		f.refused[code]++
		return
	}
	f.answered++
	if f.within(at) {
		f.tokens += k.l.AnswerTokens
	}
	if k.small {
		f.smallFirst[k.l.Caller] = k.first - k.arrived
		f.smallDone[k.l.Caller] = at - k.arrived
	}
}

// quantile returns a quantile of the time to first token in milliseconds.
func (f *figures) quantile(q float64) float64 { return float64(f.first.ValueAtQuantile(q)) / 1000 }

// idleShare is the slot time of completed batch items as a share of the slot
// time that online requests left idle. An idle slot gives an item for each mean
// slot time of an item, so this is also the share of the items a second.
func (f *figures) idleShare() float64 {
	return ratio(float64(f.useful), float64(f.capacity-f.online))
}

func (f *figures) itemsPerSecond() float64 {
	return float64(f.completed) / (f.to - f.from).Seconds()
}

func (f *figures) goodput() float64 { return float64(f.tokens) / (f.to - f.from).Seconds() }

func (f *figures) attemptsPerRequest() float64 {
	return ratio(float64(f.attempts), float64(f.outageRequests))
}

// peakLoad is the most online dispatches of a runner over the mean of those
// that were not lost.
func (f *figures) peakLoad() float64 {
	m, s, k := 0, 0, 0
	for _, n := range f.load {
		if n != lostLoad {
			m = max(m, n)
			s += n
			k++
		}
	}
	return ratio(float64(m*k), float64(s))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
