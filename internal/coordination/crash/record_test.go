package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushtrail.example/trail/internal/coordination/crash"
)

// Time from the sending of a request to the loss of its server.
const lossDelay = 100 * time.Millisecond

// bed is a record and the clock of its test.
type bed struct {
	t        *testing.T
	record   *crash.Record
	now      time.Time
	requests uint64
}

func newBed(t *testing.T) *bed {
	return &bed{t: t, record: crash.New("front"), now: time.UnixMilli(1_000_000)}
}

func (b *bed) wait(d time.Duration) { b.now = b.now.Add(d) }

// lose records the loss of a server under a new request with parts, and waits
// until long after.
func (b *bed) lose(server string, parts ...string) {
	b.requests++
	b.loseAgain(b.requests, server, parts...)
}

// loseAgain does the same for a request with a given fingerprint.
func (b *bed) loseAgain(fingerprint uint64, server string, parts ...string) {
	b.record.AddLoss(b.now.Add(lossDelay), fingerprint, parts, server, b.now)
	b.wait(2 * lossDelay)
}

func (b *bed) begin(parts ...string) {
	b.requests++
	b.record.AddBegun(b.now, b.requests, parts)
	b.wait(lossDelay)
}

// stopped returns the part for which a new request would be stopped, "request"
// if it is for the request itself, and "" if it is not stopped.
func (b *bed) stopped(parts ...string) string { return b.stoppedAgain(1<<40, parts...) }

func (b *bed) stoppedAgain(fingerprint uint64, parts ...string) string {
	return stoppedBy(b.record, b.now, fingerprint, parts)
}

func stoppedBy(record *crash.Record, now time.Time, fingerprint uint64, parts []string) string {
	d, o := record.Stopped(now, fingerprint, parts)
	switch {
	case !o:
		return ""
	case d.Part() < 0:
		return "request"
	}
	return parts[d.Part()]
}

// merge passes what one front knows to another one.
func (b *bed) merge(to, from *crash.Record) { to.Merge(b.now, from.Report(b.now)) }

func (b *bed) expect(want, got string) {
	b.t.Helper()
	if d := cmp.Diff(want, got); d != "" {
		b.t.Error(d)
	}
}

// Guards against sound requests that are stopped because they begin like those
// that crash servers, although no such sound request has been answered yet.
func TestSoundRequestOfSameFirstPartIsStopped(t *testing.T) {
	b := newBed(t)
	for n := range 3 {
		b.expect("", b.stopped("shared", "middle", "bad"))
		b.lose(fmt.Sprint("s", n), "shared", "middle", "bad")
	}
	b.expect("bad", b.stopped("shared", "middle", "bad"))
	b.expect("", b.stopped("shared", "middle"))
	b.expect("", b.stopped("shared"))
	b.expect("", b.stopped("shared", "other"))
}

// Guards against the same when several parts are bad at once.
func TestSoundRequestIsStoppedBySeveralBadParts(t *testing.T) {
	b := newBed(t)
	for n := range 9 {
		p := []string{"bad-1", "bad-2", "bad-3"}[n%3]
		if b.stopped("shared", p) == "" {
			b.lose(fmt.Sprint("s", n), "shared", p)
		}
		b.begin("shared", "middle")
	}
	for _, p := range []string{"bad-1", "bad-2", "bad-3"} {
		b.expect(p, b.stopped("shared", p))
	}
	b.expect("", b.stopped("shared"))
	b.expect("", b.stopped("shared", "other"))
}

// Guards against sound requests that are stopped after a burst of servers lost
// for another reason.
func TestBurstOfLossesStopsSoundRequests(t *testing.T) {
	b := newBed(t)
	for n := range uint64(50) {
		b.record.AddLoss(b.now.Add(time.Duration(n)*time.Millisecond), n, []string{"shared", fmt.Sprint("middle-", n%2)}, fmt.Sprint("s", n%10), b.now.Add(-lossDelay))
	}
	b.wait(time.Second)
	b.expect("", b.stopped("shared", "middle-0"))
	b.expect("", b.stopped("shared", "middle-1"))
}

// Guards against sound requests that are stopped because they were at the same
// servers as those that crash them.
func TestSoundRequestAtCrashingServersIsStopped(t *testing.T) {
	b := newBed(t)
	for n := range uint64(4) {
		s := fmt.Sprint("s", n)
		b.record.AddLoss(b.now.Add(lossDelay), 1000, []string{"sound"}, s, b.now)
		b.record.AddLoss(b.now.Add(lossDelay), 2000+n, []string{"shared", "bad"}, s, b.now)
		b.wait(2 * lossDelay)
	}
	// Either could be the cause, until one of them comes alone.
	b.expect("", b.stopped("sound"))
	b.expect("", b.stoppedAgain(1000, "sound"))
	for n := range 3 {
		b.lose(fmt.Sprint("t", n), "shared", "bad")
	}
	b.expect("bad", b.stopped("shared", "bad"))
	b.expect("", b.stopped("sound"))
	b.expect("", b.stoppedAgain(1000, "sound"))
}

// Guards against a request that crashes servers whenever it comes again, and
// against others that are stopped with it.
func TestEqualRequestCrashesServerAfterServer(t *testing.T) {
	b := newBed(t)
	for n := range 3 {
		b.expect("", b.stoppedAgain(7, "shared", "middle"))
		b.loseAgain(7, fmt.Sprint("s", n), "shared", "middle")
	}
	b.expect("request", b.stoppedAgain(7, "shared", "middle"))
	b.expect("", b.stopped("shared", "middle"))
}

// Guards against retries that hide the part: each request is lost at two servers,
// and so is an explanation of its own.
func TestRetriedRequestsHideBadPart(t *testing.T) {
	b := newBed(t)
	for n := range uint64(3) {
		b.loseAgain(100+n, fmt.Sprint("s", n), "shared", "bad")
		if n < 2 {
			b.loseAgain(100+n, fmt.Sprint("t", n), "shared", "bad")
		}
	}
	b.expect("bad", b.stopped("shared", "bad"))
	b.expect("", b.stopped("shared", "other"))
}

// Guards against a server that starts again under its id, whose second crash is
// taken for the first one.
func TestCrashOfRestartedServerIsNotCounted(t *testing.T) {
	b := newBed(t)
	for range 3 {
		b.lose("s", "bad")
		b.wait(3 * time.Second)
	}
	b.expect("bad", b.stopped("bad"))
}

// Guards against a decision that outlives its evidence: an answer ends it at
// once, and without new losses it ends after a while.
func TestDecisionOutlivesItsEvidence(t *testing.T) {
	b := newBed(t)
	for n := range 3 {
		b.lose(fmt.Sprint("s", n), "bad")
	}
	b.expect("bad", b.stopped("bad"))
	b.begin("bad")
	b.expect("", b.stopped("bad"))
	for n := range 4 {
		b.expect("", b.stopped("bad"))
		b.lose(fmt.Sprint("s", n), "bad")
	}
	b.expect("bad", b.stopped("bad"))
	b.wait(59 * time.Second)
	b.expect("bad", b.stopped("bad"))
	b.wait(32 * time.Second)
	b.expect("", b.stopped("bad"))
	b.lose("s9", "bad")
	b.wait(119 * time.Second)
	b.expect("bad", b.stopped("bad"))
	b.wait(10 * time.Minute)
	b.expect("", b.stopped("bad"))
}

// Guards against a part with a few losses among many answers that is stopped as
// fast as one that never had an answer.
func TestPartWithAnswersIsStoppedAtOnce(t *testing.T) {
	b := newBed(t)
	b.begin("popular")
	for n := range 3 {
		b.lose(fmt.Sprint("s", n), "popular", fmt.Sprint("own-", n))
	}
	b.expect("", b.stopped("popular"))
	b.lose("s4", "popular", "own-4")
	b.expect("popular", b.stopped("popular"))
}

// Guards against a front that has just started, or was cut off, and does not
// learn what is stopped; against losses that count twice because two fronts
// report them; and against an answer at one front that the others don't hear of.
func TestDecisionIsUnknownToOtherFronts(t *testing.T) {
	b := newBed(t)
	c, d := crash.New("front-2"), crash.New("front-3")
	l := []string{"shared", "middle", "bad"}
	b.lose("s1", l...)
	b.lose("s2", l...)
	for range 5 {
		b.merge(c, b.record)
		b.merge(d, c)
		b.merge(d, b.record)
	}
	if g := stoppedBy(d, b.now, 99, l); g != "" {
		t.Error("stopped after two losses")
	}
	b.lose("s3", l...)
	b.merge(c, b.record)
	b.wait(40 * time.Second)
	// The front that saw the losses is gone.
	b.merge(d, c)
	if g := stoppedBy(d, b.now, 99, l); g != "bad" {
		t.Error("not stopped by the evidence of others")
	}
	d.AddBegun(b.now, 100, l)
	b.wait(time.Second)
	b.merge(b.record, d)
	b.expect("", b.stopped(l...))
}

// Guards against a record that grows without limit, and against one that forgets
// a decision because of losses that speak against nothing.
func TestRecordGrowsWithoutLimit(t *testing.T) {
	b := newBed(t)
	for n := range 3 {
		b.lose(fmt.Sprint("s", n), "bad")
	}
	b.wait(time.Second)
	for n := range uint64(5000) {
		b.record.AddLoss(b.now, n+1000, []string{"shared"}, fmt.Sprint("t", n), b.now)
		if n%100 == 99 {
			b.wait(time.Millisecond)
			b.begin("shared")
		}
	}
	b.expect("bad", b.stopped("bad"))
	if n := len(b.record.Report(b.now).GetLosses()); n > 64 {
		t.Error("losses in a report:", n)
	}
}
