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
	// copyBytesPerSecond is an eighth of a 1 Gbit/s link, which leaves most of
	// the network and disk throughput to callers.
	copyBytesPerSecond = 16 << 20
	copyBurst          = 256 << 10
	// observeInterval is short compared with lossDelay.
	observeInterval = 5 * time.Second
	// copyTimeout bounds the copy of one segment of up to 64 MB to a depot that
	// receives copies from several others at the same time.
	copyTimeout = 10 * time.Minute
)

// Results of the check of one segment or answer.
const (
	resultKept   = "kept"
	resultCopied = "copied"
	resultFailed = "failed"
	// Every depot that accepts a copy holds an earlier answer to the same
	// request. Readers find that answer, and a retry would not change it.
	resultConflict = "conflict"
)

// copyCheck is one pass over the segments and answers of this depot.
type copyCheck struct {
	depot *Depot
	// The losses that triggered the pass.
	losses  []loss
	started time.Time
	// Number of segments and answers by result.
	results map[string]int
	// Total size of the copied segments and answers.
	copiedBytes int64
}

// watchLosses observes the members and starts checks of second copies, one pass
// at a time.
func (d *Depot) watchLosses(ctx context.Context) {
	s := newLossTracker(d.id)
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	// The losses that the current pass is for, nil between passes.
	var l []loss
	r := make(chan *copyCheck, 1)
	for {
		s.observe(d.views.Latest().GetMembers(), time.Now())
		if l == nil {
			l = s.takeDue(time.Now())
			if l != nil {
				go d.checkCopies(ctx, l, r)
			}
		}
		d.pending.Set(float64(len(s.pending) + len(l)))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case k := <-r:
			l = nil
			if k.results[resultFailed] > 0 {
				s.retry(k.losses, time.Now())
			}
		}
	}
}

// checkCopies checks that each segment and answer of this depot has a second
// copy, and copies those that have none.
func (d *Depot) checkCopies(ctx context.Context, losses []loss, done chan<- *copyCheck) {
	k := &copyCheck{depot: d, losses: losses, started: time.Now(), results: map[string]int{}}
	e := errors.Join(k.checkSegments(ctx), k.checkAnswers(ctx))
	if e != nil {
		k.results[resultFailed]++
	}
	if ctx.Err() == nil {
		k.logResult(e)
	}
	done <- k
}

// logResult logs one line per loss.
func (k *copyCheck) logResult(err error) {
	for _, w := range k.losses {
		f := k.depot.logger.WithFields(log.Fields{
			"depot": w.depot, "reason": w.reason, "kept": k.results[resultKept], "copied": k.results[resultCopied],
			"failed": k.results[resultFailed], "bytes": k.copiedBytes, "seconds": time.Since(k.started).Seconds(),
		})
		if k.results[resultFailed] == 0 {
			f.Info("depot: second copies checked")
			continue
		}
		f.WithError(err).Warn("depot: check of second copies incomplete, will be retried")
	}
}

func (k *copyCheck) countResult(kind, result string, bytes int64) {
	k.results[result]++
	k.depot.checked.WithLabelValues(kind, result).Inc()
	if result == resultCopied {
		k.copiedBytes += bytes
	}
}

func (k *copyCheck) checkSegments(ctx context.Context) error {
	l, e := k.depot.segments.List()
	if e != nil {
		return e
	}
	for _, i := range l {
		h, n, e := k.depot.segments.Stat(i)
		if errors.Is(e, seglog.ErrMissing) {
			// The segment was corrupt and has been quarantined. The depot with
			// the other copy detects that this one is missing.
			continue
		}
		if e != nil {
			return e
		}
		g := &wire.Segment{}
		g.SetId(i)
		g.SetDigest(h)
		g.SetSizeBytes(n)
		k.countResult("segment", k.checkSegment(ctx, g), n)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// checkSegment checks one segment, and copies it if none of the depots that
// count for its second copy has it.
func (k *copyCheck) checkSegment(ctx context.Context, segment *wire.Segment) string {
	p := placementFor(k.depot.views.Latest().GetMembers(), k.depot.id, segment.GetId())
	for _, m := range p.holders {
		if k.depot.hasSegment(ctx, m.GetPeerAddress(), segment) {
			return resultKept
		}
	}
	for _, m := range p.targets {
		e := k.depot.requestCopy(ctx, p.self.GetPeerAddress(), m.GetPeerAddress(), segment)
		if e == nil {
			return resultCopied
		}
		k.depot.logger.WithFields(log.Fields{"segment": segment.GetId(), "depot": m.GetId()}).WithError(e).
			Warn("depot: copying the segment failed, trying the next depot")
	}
	return resultFailed
}

func (k *copyCheck) checkAnswers(ctx context.Context) error {
	return k.depot.answers.Scan(ctx, func(a *wire.Answer) error {
		if a.GetStored().GetExpiresUnixMs() < time.Now().UnixMilli() {
			return nil
		}
		n := proto.Size(a)
		k.countResult("answer", k.checkAnswer(ctx, a), int64(n))
		return k.depot.waitCopyRate(ctx, n)
	})
}

// checkAnswer checks one answer. A depot with an earlier answer to the same
// request keeps that answer and can't hold a copy of this one.
func (k *copyCheck) checkAnswer(ctx context.Context, answer *wire.Answer) string {
	p := placementFor(k.depot.views.Latest().GetMembers(), k.depot.id, answer.GetCaller()+"\x00"+answer.GetRequestId())
	x := map[string]bool{}
	for _, m := range p.holders {
		r, e := k.depot.readAnswerFrom(ctx, m.GetPeerAddress(), answer)
		if e == nil && proto.Equal(r.GetStored(), answer.GetStored()) {
			return resultKept
		}
		x[m.GetId()] = r.GetResult() == wire.AnswerReply_RESULT_STORED || r.GetResult() == wire.AnswerReply_RESULT_MISMATCH
	}
	w := proto.CloneOf(answer)
	w.SetAction(wire.Answer_ACTION_STORE)
	w.ClearCopyTo()
	q := resultConflict
	for _, m := range p.targets {
		if x[m.GetId()] {
			continue
		}
		e := k.depot.sendAnswer(ctx, m.GetPeerAddress(), w)
		if e == nil {
			return resultCopied
		}
		q = resultFailed
		k.depot.logger.WithFields(log.Fields{"request-id": answer.GetRequestId(), "depot": m.GetId()}).WithError(e).
			Warn("depot: copying the answer failed, trying the next depot")
	}
	if len(p.targets) == 0 {
		return resultFailed
	}
	return q
}
