package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record microseconds up to an hour with three significant digits.
	maxMicroseconds  = int64(time.Hour / time.Microsecond)
	histogramDigits  = 3
	lostRunnerMarker = -1
)

// figures are the measurements of one run. They cover the window from the end
// of the warm-up to the end of the trace, except for the counts, which cover
// the whole run.
type figures struct {
	from, to time.Duration
	slots    int
	// Time to first token of online requests.
	timeToFirstToken *hdrhistogram.Histogram
	// Online requests: all, those with a complete answer, and the others by
	// error code.
	requests, answered int
	rejected           map[string]int
	// Answer tokens of complete online answers.
	tokens int
	// Dispatches of batch items, and submitted batch items.
	batchAttempts, batchItems int
	// Start and end of the outage, or of the window if there is none, and the
	// online dispatches and requests in that time.
	outage, outageEnd              time.Duration
	outageAttempts, outageRequests int
	// Batch items that completed in the window.
	completedItems int
	// Slot time of the runners in service, of online requests, of batch
	// attempts, and of the batch attempts that completed or whose tokens were
	// kept.
	capacity, onlineTime, batchTime, usefulBatchTime time.Duration
	// Batch items that were not completed by their job's deadline, and the jobs
	// with such items.
	missedItems, missedJobs int
	// Online attempts that have ended, those of them that found their prefix
	// cached, and the online dispatches that would find it if each prefix had
	// one fixed runner.
	lookups, hits, fixedHits int
	// Online dispatches in the window by runner; lostRunnerMarker for a runner
	// that was lost.
	dispatchesByRunner []int
	// Scheduling steps after which an online request was waiting while a batch
	// call held a slot.
	blockedSteps int
	// Time to first token and to the complete answer of the small callers'
	// answered requests, by caller.
	smallCallerFirstToken, smallCallerAnswer map[string]time.Duration
}

func newFigures(length time.Duration, deployment *modelDeployment) *figures {
	return &figures{
		from: warmUp, to: length, outage: warmUp, outageEnd: length, slots: deployment.slots,
		timeToFirstToken: hdrhistogram.New(1, maxMicroseconds, histogramDigits), rejected: map[string]int{}, dispatchesByRunner: make([]int, deployment.runners),
		smallCallerFirstToken: map[string]time.Duration{}, smallCallerAnswer: map[string]time.Duration{},
	}
}

func (f *figures) within(at time.Duration) bool { return at >= f.from && at < f.to }

// overlap returns how much of an interval lies in the window.
func (f *figures) overlap(from, to time.Duration) time.Duration {
	return max(min(to, f.to)-max(from, f.from), 0)
}

func (f *figures) recordUptime(from, to time.Duration) {
	f.capacity += time.Duration(f.slots) * f.overlap(from, to)
}

func (f *figures) recordArrival(call *callState) {
	if !call.online {
		f.batchItems++
		return
	}
	f.requests++
	if call.arrived >= f.outage && call.arrived < f.outageEnd {
		f.outageRequests++
	}
}

func (f *figures) recordDispatch(attempt *callAttempt, fixedHit bool) {
	if !attempt.call.online {
		f.batchAttempts++
		return
	}
	if attempt.startedAt >= f.outage && attempt.startedAt < f.outageEnd {
		f.outageAttempts++
	}
	if !f.within(attempt.startedAt) {
		return
	}
	if f.dispatchesByRunner[attempt.host.index] != lostRunnerMarker {
		f.dispatchesByRunner[attempt.host.index]++
	}
	if fixedHit {
		f.fixedHits++
	}
}

// recordSlotTime records the slot time and the prefix cache hit of an attempt
// that has ended.
func (f *figures) recordSlotTime(attempt *callAttempt, until time.Duration, complete bool) {
	d := f.overlap(attempt.startedAt, until)
	if attempt.call.online {
		f.onlineTime += d
		if f.within(attempt.startedAt) {
			f.lookups++
			if attempt.sequence.prefixCached {
				f.hits++
			}
		}
		return
	}
	f.batchTime += d
	if complete {
		f.usefulBatchTime += d + attempt.call.resumedTime
	}
}

func (f *figures) recordEnd(call *callState, at time.Duration, code string) {
	if !call.online {
		if code == "" && f.within(at) {
			f.completedItems++
		}
		return
	}
	if call.firstTokenAt > 0 && f.within(call.arrived) && call.line.Caller != burstCallerName {
		_ = f.timeToFirstToken.RecordValue(max((call.firstTokenAt - call.arrived).Microseconds(), 1))
	}
	if code != "" {
		f.rejected[code]++
		return
	}
	f.answered++
	if f.within(at) {
		f.tokens += call.line.AnswerTokens
	}
	if call.smallCaller {
		f.smallCallerFirstToken[call.line.Caller] = call.firstTokenAt - call.arrived
		f.smallCallerAnswer[call.line.Caller] = at - call.arrived
	}
}

// quantile returns a percentile of the time to first token in milliseconds.
func (f *figures) quantile(percentile float64) float64 {
	return float64(f.timeToFirstToken.ValueAtQuantile(percentile)) / 1000
}

// idleShare returns the useful slot time of batch items as a share of the slot
// time that online requests left idle. An idle slot can complete one item per
// mean slot time of an item, so this is also the achieved share of the possible
// items per second.
func (f *figures) idleShare() float64 {
	return ratio(float64(f.usefulBatchTime), float64(f.capacity-f.onlineTime))
}

func (f *figures) itemsPerSecond() float64 {
	return float64(f.completedItems) / (f.to - f.from).Seconds()
}

func (f *figures) goodput() float64 { return float64(f.tokens) / (f.to - f.from).Seconds() }

func (f *figures) attemptsPerRequest() float64 {
	return ratio(float64(f.outageAttempts), float64(f.outageRequests))
}

// peakLoad returns the highest number of online dispatches of a runner divided
// by the mean, over the runners that were not lost.
func (f *figures) peakLoad() float64 {
	m, s, k := 0, 0, 0
	for _, n := range f.dispatchesByRunner {
		if n != lostRunnerMarker {
			m = max(m, n)
			s += n
			k++
		}
	}
	return ratio(float64(m*k), float64(s))
}

func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}
