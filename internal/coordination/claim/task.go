package claim

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Messages to the task.
type (
	arrival   struct{ o *operation }
	departure struct{ o *operation }
	// idle is closed when nothing is in progress any more.
	drain  struct{ idle chan struct{} }
	loaded struct {
		shard uint32
		o     object.Object
		e     error
	}
	written struct {
		shard uint32
		o     object.Object
		e     error
	}
)

// task owns the book. It carries out its actions and feeds it with results.
type task struct {
	s *Claims
	b *book
	// Waiting for the book to be idle.
	drains []chan struct{}
}

func (t *task) run(c context.Context, views <-chan *wire.View) {
	defer close(t.s.done)
	for {
		var a <-chan time.Time
		if n := t.b.next(); !n.IsZero() {
			a = time.After(time.Until(n))
		}
		select {
		case <-c.Done():
			return
		case m := <-t.s.messages:
			t.receive(m)
		case v, x := <-views:
			if !x {
				views = nil
				continue
			}
			t.b.members(v.GetMembers())
		case <-a:
			t.b.tick(time.Now())
		}
		for _, a := range t.b.take() {
			t.carryOut(c, a)
		}
		t.endDrains()
	}
}

func (t *task) receive(m any) {
	n := time.Now()
	switch m := m.(type) {
	case arrival:
		t.b.accept(m.o, n)
	case departure:
		t.b.cancel(m.o, n)
	case loaded:
		t.b.loaded(m.shard, m.o, m.e, n)
	case written:
		t.b.written(m.shard, m.o, m.e, n)
	case drain:
		t.b.draining = true
		t.drains = append(t.drains, m.idle)
	}
}

func (t *task) endDrains() {
	if len(t.drains) == 0 || !t.b.idle() {
		return
	}
	for _, d := range t.drains {
		close(d)
	}
	t.drains = nil
}

func (t *task) carryOut(c context.Context, a any) {
	switch a := a.(type) {
	case loadAction:
		go func() {
			o, e := t.s.store.Get(c, kind, objectName(a.shard))
			t.s.send(loaded{a.shard, o, e})
		}()
	case writeAction:
		t.s.batches.Observe(float64(a.operations))
		go func() {
			o, e := t.write(c, a)
			t.s.send(written{a.shard, o, e})
		}()
	case answerAction:
		t.log(a)
		a.o.reply <- a.r
	case voidAction:
		t.s.l.WithField("shard", ShardOf(a.c.GetCaller(), a.c.GetKey())).WithField("caller", a.c.GetCaller()).
			WithField("key", a.c.GetKey()).WithField("attempt", a.c.GetAttemptId()).
			Info("claim: refused attempt is not in force")
	}
}

// write encodes a shard, which takes some milliseconds for a full one, outside
// the task and writes it.
func (t *task) write(c context.Context, a writeAction) (object.Object, error) {
	o, e := a.content.encode(a.shard, a.version)
	if e != nil {
		return o, trail.WrapError(e, "claims-unreadable", trail.NotRun, "shard %d can't be encoded", a.shard)
	}
	if o.Version() == 0 {
		return t.s.store.Create(c, o)
	}
	return t.s.store.Update(c, o)
}

// log writes the line of one decision.
func (t *task) log(a answerAction) {
	n := a.o.shard()
	k := a.o.key()
	l := t.s.l.WithField("shard", n).WithField("caller", k.caller).WithField("key", k.key).
		WithField("attempt", a.o.attempt()).WithField("reason", a.r.reason).
		WithField("preferred", t.b.shards[n].preferred)
	if a.r.holder != "" {
		l = l.WithField("holder", a.r.holder)
	}
	if a.r.settle != nil {
		t.s.decisions.WithLabelValues("settle", a.r.settle.GetCode()).Inc()
		if a.r.settle.GetDone() {
			l.WithField("outcome", verdict(a.o.settle.GetOutcome()).String()).Info("claim: outcome recorded")
			return
		}
		l.WithField("outcome", verdict(a.o.settle.GetOutcome()).String()).Warn("claim: outcome not recorded")
		return
	}
	t.s.decisions.WithLabelValues("claim", resultName(a.r.claim)).Inc()
	l.WithField("result", resultName(a.r.claim)).Info("claim: claim decided")
}

func verdict(o *wire.Outcome) trail.Verdict {
	switch o.GetVerdict() {
	case wire.Verdict_VERDICT_NOT_RUN:
		return trail.NotRun
	case wire.Verdict_VERDICT_RAN:
		return trail.Ran
	}
	return trail.MayHaveRun
}

func resultName(r *wire.ClaimReply) string {
	switch r.GetResult() {
	case wire.ClaimReply_RESULT_GRANTED:
		return "granted"
	case wire.ClaimReply_RESULT_HELD:
		return "held"
	case wire.ClaimReply_RESULT_MISMATCH:
		return "mismatch"
	}
	return r.GetCode()
}
