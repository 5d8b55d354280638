package depot

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/seglog"
)

const (
	// copyBytesPerSecond is an eighth of a 1 Gbit/s link, so that callers keep
	// most of the network and the disk.
	copyBytesPerSecond = 16 << 20
	copyBurst          = 256 << 10
	// watchPeriod is short against lossDelay.
	watchPeriod = 5 * time.Second
	// copyTimeout bounds the copy of one segment of at most 64 MB to a depot
	// to which several others copy.
	copyTimeout = 10 * time.Minute
)

// Results of the check of one segment or answer.
const (
	resultKept   = "kept"
	resultCopied = "copied"
	resultFailed = "failed"
	// Each depot that could take a copy keeps an earlier answer to the same
	// request. Readers find that one, and another attempt changes nothing.
	resultConflict = "conflict"
)

// check is one pass over the data of this depot.
type check struct {
	d *Depot
	// The losses that caused it.
	causes []loss
	began  time.Time
	// Segments and answers by result.
	counts map[string]int
	// Bytes of what was copied.
	bytes int64
}

// watchLosses observes the members and has the second copies checked, one pass
// at a time.
func (d *Depot) watchLosses(c context.Context) {
	s := newLosses(d.id)
	t := time.NewTicker(watchPeriod)
	defer t.Stop()
	// The losses that the pass in progress is for, nil between passes.
	var l []loss
	r := make(chan *check, 1)
	for {
		s.observe(d.v.Latest().GetMembers(), time.Now())
		if l == nil {
			l = s.take(time.Now())
			if l != nil {
				go d.checkCopies(c, l, r)
			}
		}
		d.pending.Set(float64(len(s.pending) + len(l)))
		select {
		case <-c.Done():
			return
		case <-t.C:
		case k := <-r:
			l = nil
			if k.counts[resultFailed] > 0 {
				s.retry(k.causes, time.Now())
			}
		}
	}
}

// checkCopies makes sure that each segment and each answer of this depot has a
// second copy.
func (d *Depot) checkCopies(c context.Context, causes []loss, done chan<- *check) {
	k := &check{d: d, causes: causes, began: time.Now(), counts: map[string]int{}}
	e := errors.Join(k.segments(c), k.answers(c))
	if e != nil {
		k.counts[resultFailed]++
	}
	if c.Err() == nil {
		k.report(e)
	}
	done <- k
}

// report logs one line for each loss.
func (k *check) report(e error) {
	for _, w := range k.causes {
		f := k.d.l.WithFields(log.Fields{
			"depot": w.depot, "reason": w.reason, "kept": k.counts[resultKept], "copied": k.counts[resultCopied],
			"failed": k.counts[resultFailed], "bytes": k.bytes, "seconds": time.Since(k.began).Seconds(),
		})
		if k.counts[resultFailed] == 0 {
			f.Info("depot: second copies checked")
			continue
		}
		f.WithError(e).Warn("depot: second copies not all checked, to be repeated")
	}
}

func (k *check) count(kind, result string, bytes int64) {
	k.counts[result]++
	k.d.checked.WithLabelValues(kind, result).Inc()
	if result == resultCopied {
		k.bytes += bytes
	}
}

func (k *check) segments(c context.Context) error {
	l, e := k.d.segments.List()
	if e != nil {
		return e
	}
	for _, i := range l {
		h, n, e := k.d.segments.Stat(i)
		if errors.Is(e, seglog.ErrMissing) {
			// It was damaged and has been set aside; the holder of the other
			// copy finds that this one is missing.
			continue
		}
		if e != nil {
			return e
		}
		g := &wire.Segment{}
		g.SetId(i)
		g.SetDigest(h)
		g.SetSizeBytes(n)
		k.count("segment", k.segment(c, g), n)
		if c.Err() != nil {
			return c.Err()
		}
	}
	return nil
}

// segment checks one segment and copies it when no other depot has it where
// its second copy belongs.
func (k *check) segment(c context.Context, g *wire.Segment) string {
	p := placesFor(k.d.v.Latest().GetMembers(), k.d.id, g.GetId())
	for _, m := range p.holders {
		if k.d.holds(c, m.GetPeerAddress(), g) {
			return resultKept
		}
	}
	for _, m := range p.targets {
		e := k.d.requestCopy(c, p.self.GetPeerAddress(), m.GetPeerAddress(), g)
		if e == nil {
			return resultCopied
		}
		k.d.l.WithFields(log.Fields{"segment": g.GetId(), "depot": m.GetId()}).WithError(e).
			Warn("depot: segment not copied, the next depot is tried")
	}
	return resultFailed
}

func (k *check) answers(c context.Context) error {
	return k.d.answers.Scan(c, func(a *wire.Answer) error {
		if a.GetStored().GetExpiresUnixMs() < time.Now().UnixMilli() {
			return nil
		}
		n := proto.Size(a)
		k.count("answer", k.answer(c, a), int64(n))
		return k.d.pace(c, n)
	})
}

// answer checks one answer. A depot that has an earlier answer to the same
// request keeps that one and has no copy of this.
func (k *check) answer(c context.Context, a *wire.Answer) string {
	p := placesFor(k.d.v.Latest().GetMembers(), k.d.id, a.GetCaller()+"\x00"+a.GetRequestId())
	x := map[string]bool{}
	for _, m := range p.holders {
		r, e := k.d.readFrom(c, m.GetPeerAddress(), a)
		if e == nil && proto.Equal(r.GetStored(), a.GetStored()) {
			return resultKept
		}
		x[m.GetId()] = r.GetResult() == wire.AnswerReply_RESULT_STORED || r.GetResult() == wire.AnswerReply_RESULT_MISMATCH
	}
	w := proto.CloneOf(a)
	w.SetAction(wire.Answer_ACTION_STORE)
	w.ClearCopyTo()
	q := resultConflict
	for _, m := range p.targets {
		if x[m.GetId()] {
			continue
		}
		e := k.d.sendAnswer(c, m.GetPeerAddress(), w)
		if e == nil {
			return resultCopied
		}
		q = resultFailed
		k.d.l.WithFields(log.Fields{"request-id": a.GetRequestId(), "depot": m.GetId()}).WithError(e).
			Warn("depot: answer not copied, the next depot is tried")
	}
	if len(p.targets) == 0 {
		return resultFailed
	}
	return q
}
