package crash_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushtrail.example/trail/internal/coordination/crash"
)

var histories = flag.Int("histories", 8, "random histories of crashes to play")

const (
	// Each fourth history is long, so that decisions end in it.
	historyTime     = time.Minute
	longHistoryTime = 3 * time.Minute
	// Time after which a front that has just started, or was cut off, must know
	// what the others know; and time for which a decision may take after the
	// fifth crash.
	contactTime = 3 * time.Second
	restartTime = 3 * time.Second
	// Crashes after which a part must be stopped, and requests with it that may
	// reach engines later.
	crashesToStop = 5
	maxLateSends  = 3
)

// Guards against parts that are stopped late or never, and against sound
// requests that are stopped, in random histories: several bad parts, retries,
// bursts of engines lost, fronts that restart or hear nothing, lost datagrams.
func TestBadPartsAreStoppedInRandomHistories(t *testing.T) {
	for s := range uint64(*histories) {
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			h := newHistory(s)
			h.play()
			h.check(t)
		})
	}
}

// history is a simulated fleet of fronts and engines.
type history struct {
	random  *rand.Rand
	now     time.Time
	start   time.Time
	length  time.Duration
	events  eventQueue
	fronts  []*simFront
	engines []*simEngine
	bad     []*badPart
	// Requests a second.
	rate       float64
	firstParts int
	// Sound requests so far, and those that were stopped.
	sound, soundStopped int
	requests            uint64
}

// simFront is one front.
type simFront struct {
	name   string
	record *crash.Record
	// Changes as of the last datagram.
	changes uint64
	// Until when it hears nothing, and since when it knows what others know.
	deafUntil, inTouchAt time.Time
}

// simEngine is one engine with the requests that it has not begun to answer.
type simEngine struct {
	name    string
	downTo  time.Time
	waiting []*simRequest
	// Number of its starts.
	boot int
}

// simRequest is one attempt of a request.
type simRequest struct {
	front       *simFront
	fingerprint uint64
	parts       []string
	sentAt      time.Time
	bad         *badPart
	retries     int
}

// badPart is a part that crashes engines for some time.
type badPart struct {
	id string
	// The parts before it, if they are always the same.
	before     []string
	from, to   time.Time
	share      float64
	retries    int
	crashes    int
	fifthCrash time.Time
	lateSends  int
	// Sound requests with the same first part when the part must be stopped, and
	// those that were stopped.
	besides, besidesStopped int
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	l := *q
	x := l[len(l)-1]
	*q = l[:len(l)-1]
	return x
}

func newHistory(seed uint64) *history {
	h := &history{random: rand.New(rand.NewPCG(seed, 25)), start: time.UnixMilli(1_000_000_000), length: historyTime}
	if seed%4 == 3 {
		h.length = longHistoryTime
	}
	h.now = h.start
	n := []int{3, 6, 6, 20, 60}[h.random.IntN(5)]
	for i := range n {
		f := &simFront{name: fmt.Sprint("front-", i)}
		f.record = crash.New(f.name)
		h.fronts = append(h.fronts, f)
	}
	for i := range max(12, n*(2+h.random.IntN(3))) {
		h.engines = append(h.engines, &simEngine{name: fmt.Sprint("s", i)})
	}
	h.rate = float64(len(h.engines)) * (2 + 3*h.random.Float64())
	h.firstParts = 10 + h.random.IntN(30)
	for i := range 1 + h.random.IntN(3) {
		h.addBad(fmt.Sprint("bad-", i))
	}
	h.addTroubles()
	return h
}

func (h *history) addBad(id string) {
	b := &badPart{id: id, share: []float64{0.005, 0.02, 0.05, 0.1}[h.random.IntN(4)], retries: []int{0, 0, 1, 3}[h.random.IntN(4)]}
	b.from = h.start.Add(time.Duration(1+h.random.IntN(12)) * time.Second)
	b.to = b.from.Add(h.length/4 + time.Duration(h.random.Int64N(int64(h.length*3/4))))
	if h.random.IntN(3) > 0 {
		b.before = h.soundParts()
	}
	h.bad = append(h.bad, b)
}

// addTroubles schedules what happens beside the bad parts.
func (h *history) addTroubles() {
	for range h.random.IntN(3) {
		b := h.start.Add(time.Duration(h.random.IntN(40)) * time.Second)
		for n := range 5 {
			h.at(b.Add(time.Duration(n)*400*time.Millisecond), func() { h.crashMany(0.3) })
		}
	}
	if h.random.IntN(2) == 0 {
		f := h.fronts[h.random.IntN(len(h.fronts))]
		h.at(h.start.Add(time.Duration(5+h.random.IntN(25))*time.Second), func() {
			f.record = crash.New(f.name)
			f.changes = 0
			f.inTouchAt = h.now.Add(contactTime)
		})
	}
	if h.random.IntN(2) == 0 {
		f := h.fronts[h.random.IntN(len(h.fronts))]
		h.at(h.start.Add(time.Duration(3+h.random.IntN(20))*time.Second), func() {
			f.deafUntil = h.now.Add(5 * time.Second)
			f.inTouchAt = f.deafUntil.Add(contactTime)
		})
	}
}

func (h *history) at(t time.Time, run func()) { heap.Push(&h.events, event{t, run}) }

func (h *history) after(d time.Duration, run func()) { h.at(h.now.Add(d), run) }

func (h *history) play() {
	h.at(h.start, h.arrive)
	for _, f := range h.fronts {
		h.at(h.start.Add(h.millis(0, 250)), func() { h.heartbeat(f) })
	}
	for len(h.events) > 0 {
		e := heap.Pop(&h.events).(event)
		h.now = e.at
		if h.now.Sub(h.start) > h.length {
			return
		}
		e.run()
	}
}

func (h *history) millis(least, most int) time.Duration {
	return time.Duration(least+h.random.IntN(most-least)) * time.Millisecond
}

// soundParts returns the shared parts of a prompt; the first ones are more
// frequent.
func (h *history) soundParts() []string {
	f := min(h.random.IntN(h.firstParts), h.random.IntN(h.firstParts))
	return []string{fmt.Sprint("first-", f), fmt.Sprint("middle-", h.random.IntN(400))}
}

// arrive serves a new request at a front.
func (h *history) arrive() {
	h.after(time.Duration(h.random.ExpFloat64()/h.rate*float64(time.Second)), h.arrive)
	h.requests++
	r := &simRequest{fingerprint: h.requests, parts: h.soundParts()}
	for _, b := range h.bad {
		if h.now.After(b.from) && h.now.Before(b.to) && h.random.Float64() < b.share {
			r.bad = b
			r.retries = b.retries
			if b.before != nil {
				r.parts = slices.Clone(b.before)
			}
			r.parts = append(r.parts, b.id)
			break
		}
	}
	h.serve(r)
}

// serve sends a request from a front that is chosen at random.
func (h *history) serve(r *simRequest) {
	r.front = h.fronts[h.random.IntN(len(h.fronts))]
	s := stoppedBy(r.front.record, h.now, r.fingerprint, r.parts) != ""
	h.count(r, s)
	if s {
		return
	}
	e := h.engines[h.random.IntN(len(h.engines))]
	for range 8 {
		if h.now.After(e.downTo) {
			break
		}
		e = h.engines[h.random.IntN(len(h.engines))]
	}
	if !h.now.After(e.downTo) {
		return
	}
	r.sentAt = h.now
	e.waiting = append(e.waiting, r)
	n := e.boot
	h.after(h.millis(50, 150), func() {
		if e.boot == n {
			h.begin(e, r)
		}
	})
}

// count counts a request of a front that is connected to the others.
func (h *history) count(r *simRequest, stopped bool) {
	if !h.now.After(r.front.inTouchAt) {
		return
	}
	if b := r.bad; b != nil {
		if !stopped && b.crashes >= crashesToStop && h.now.Sub(b.fifthCrash) > contactTime {
			b.lateSends++
		}
		return
	}
	h.sound++
	if stopped {
		h.soundStopped++
	}
	for _, b := range h.bad {
		if b.before == nil || b.before[0] != r.parts[0] || b.crashes < crashesToStop || h.now.Sub(b.fifthCrash) < 2*contactTime || h.now.After(b.to) {
			continue
		}
		b.besides++
		if stopped {
			b.besidesStopped++
		}
	}
}

// begin begins the answer to a request, or crashes its engine.
func (h *history) begin(e *simEngine, r *simRequest) {
	if r.bad != nil {
		r.bad.crashes++
		if r.bad.crashes == crashesToStop {
			r.bad.fifthCrash = h.now
		}
		h.crash(e)
		return
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(o *simRequest) bool { return o == r })
	r.front.record.AddBegun(h.now, r.fingerprint, r.parts)
}

func (h *history) crash(e *simEngine) {
	l := e.waiting
	e.waiting = nil
	e.boot++
	e.downTo = h.now.Add(restartTime)
	for _, r := range l {
		f := r.front
		h.after(h.millis(1, 10), func() {
			f.record.AddLoss(h.now, r.fingerprint, r.parts, e.name, r.sentAt)
		})
		if r.retries > 0 {
			q := *r
			q.retries--
			h.after(h.millis(20, 600), func() { h.serve(&q) })
		}
	}
}

// crashMany crashes a share of the engines for another reason.
func (h *history) crashMany(share float64) {
	for _, e := range h.engines {
		if h.random.Float64() < share && h.now.After(e.downTo) {
			h.crash(e)
			e.downTo = h.now.Add(400 * time.Millisecond)
		}
	}
}

// heartbeat sends the report of a front: each 250 ms to all others of a small
// fleet or to a sixth of a large one, and after a change to all.
func (h *history) heartbeat(f *simFront) {
	h.after(250*time.Millisecond, func() { h.heartbeat(f) })
	n := f.record.Changes()
	k := n != f.changes
	f.changes = n
	w := f.record.Report(h.now)
	if w == nil || h.now.Before(f.deafUntil) {
		return
	}
	for i, o := range h.fronts {
		if o == f || h.random.Float64() < 0.02 || len(h.fronts) > 20 && !k && (i+int(h.now.UnixMilli()/250))%6 != 0 {
			continue
		}
		h.after(h.millis(1, 30), func() {
			if h.now.After(o.deafUntil) {
				o.record.Merge(h.now, w)
			}
		})
	}
}

func (h *history) check(t *testing.T) {
	t.Helper()
	for _, b := range h.bad {
		if b.lateSends > maxLateSends {
			t.Errorf("%s (share %v, retries %d, fixed beginning %v): %d requests sent late, %d crashes", b.id, b.share, b.retries, b.before != nil, b.lateSends, b.crashes)
		}
		if b.besides >= 20 && b.besidesStopped*2 > b.besides {
			t.Errorf("%s: %d of %d sound requests of the same beginning stopped", b.id, b.besidesStopped, b.besides)
		}
	}
	if h.soundStopped*100 > h.sound {
		t.Errorf("%d of %d sound requests stopped", h.soundStopped, h.sound)
	}
	t.Logf("%d fronts, %d engines, %.0f requests a second, stopped %d of %d sound ones", len(h.fronts), len(h.engines), h.rate, h.soundStopped, h.sound)
	for _, b := range h.bad {
		t.Logf("%s: share %v, retries %d, crashes %d, late %d, besides %d of %d", b.id, b.share, b.retries, b.crashes, b.lateSends, b.besidesStopped, b.besides)
	}
}
