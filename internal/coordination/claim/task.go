package claim

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Messages to the task that owns the state machine.
type (
	submitMessage struct{ operation *operation }
	cancelMessage struct{ operation *operation }
	// idle is closed when nothing is in progress.
	drainMessage  struct{ idle chan struct{} }
	loadedMessage struct {
		shard  uint32
		object object.Object
		err    error
	}
	writtenMessage struct {
		shard  uint32
		object object.Object
		err    error
	}
)

// task owns the state machine: it passes events to it and executes its actions.
type task struct {
	claims  *Claims
	machine *stateMachine
	// Closed when the state machine is idle.
	drainWaiters []chan struct{}
}

func (t *task) run(ctx context.Context, views <-chan *wire.View) {
	defer close(t.claims.done)
	for {
		var a <-chan time.Time
		if n := t.machine.nextDeadline(); !n.IsZero() {
			a = time.After(time.Until(n))
		}
		select {
		case <-ctx.Done():
			return
		case m := <-t.claims.messages:
			t.handle(m)
		case v, x := <-views:
			if !x {
				views = nil
				continue
			}
			t.machine.setMembers(v.GetMembers())
		case <-a:
			t.machine.tick(time.Now())
		}
		for _, a := range t.machine.takeActions() {
			t.execute(ctx, a)
		}
		t.finishDrains()
	}
}

func (t *task) handle(message any) {
	n := time.Now()
	switch m := message.(type) {
	case submitMessage:
		t.machine.accept(m.operation, n)
	case cancelMessage:
		t.machine.cancel(m.operation, n)
	case loadedMessage:
		t.machine.handleLoaded(m.shard, m.object, m.err, n)
	case writtenMessage:
		t.machine.handleWritten(m.shard, m.object, m.err, n)
	case drainMessage:
		t.machine.draining = true
		t.drainWaiters = append(t.drainWaiters, m.idle)
	}
}

func (t *task) finishDrains() {
	if len(t.drainWaiters) == 0 || !t.machine.idle() {
		return
	}
	for _, d := range t.drainWaiters {
		close(d)
	}
	t.drainWaiters = nil
}

func (t *task) execute(ctx context.Context, action any) {
	switch a := action.(type) {
	case loadAction:
		go func() {
			o, e := t.claims.store.Get(ctx, objectKind, objectName(a.shard))
			t.claims.send(loadedMessage{a.shard, o, e})
		}()
	case writeAction:
		t.claims.batchSizes.Observe(float64(a.operations))
		go func() {
			o, e := t.write(ctx, a)
			t.claims.send(writtenMessage{a.shard, o, e})
		}()
	case replyAction:
		t.logDecision(a)
		a.operation.reply <- a.result
	case revokedAction:
		t.claims.logger.WithField("shard", ShardOf(a.claim.GetCaller(), a.claim.GetKey())).WithField("caller", a.claim.GetCaller()).
			WithField("key", a.claim.GetKey()).WithField("attempt", a.claim.GetAttemptId()).
			Info("claim: refused attempt revoked")
	}
}

// write encodes a shard and writes it. It runs in a goroutine of its own,
// because encoding a full shard takes some milliseconds.
func (t *task) write(ctx context.Context, action writeAction) (object.Object, error) {
	o, e := action.content.encode(action.shard, action.version)
	if e != nil {
		return o, trail.WrapError(e, "claims-unreadable", trail.NotRun, "failed to encode shard %d", action.shard)
	}
	if o.Version() == 0 {
		return t.claims.store.Create(ctx, o)
	}
	return t.claims.store.Update(ctx, o)
}

// logDecision logs and counts one decision.
func (t *task) logDecision(action replyAction) {
	n := action.operation.shard()
	k := action.operation.key()
	l := t.claims.logger.WithField("shard", n).WithField("caller", k.caller).WithField("key", k.key).
		WithField("attempt", action.operation.attempt()).WithField("reason", action.result.reason).
		WithField("preferred", t.machine.shards[n].preferred)
	if action.result.holder != "" {
		l = l.WithField("holder", action.result.holder)
	}
	if action.result.settle != nil {
		t.claims.decisions.WithLabelValues("settle", action.result.settle.GetCode()).Inc()
		if action.result.settle.GetDone() {
			l.WithField("outcome", outcomeVerdict(action.operation.settle.GetOutcome()).String()).Info("claim: outcome recorded")
			return
		}
		l.WithField("outcome", outcomeVerdict(action.operation.settle.GetOutcome()).String()).Warn("claim: outcome not recorded")
		return
	}
	t.claims.decisions.WithLabelValues("claim", resultName(action.result.claim)).Inc()
	l.WithField("result", resultName(action.result.claim)).Info("claim: claim decided")
}

func outcomeVerdict(outcome *wire.Outcome) trail.Verdict {
	switch outcome.GetVerdict() {
	case wire.Verdict_VERDICT_NOT_RUN:
		return trail.NotRun
	case wire.Verdict_VERDICT_RAN:
		return trail.Ran
	}
	return trail.MayHaveRun
}

func resultName(reply *wire.ClaimReply) string {
	switch reply.GetResult() {
	case wire.ClaimReply_RESULT_GRANTED:
		return "granted"
	case wire.ClaimReply_RESULT_HELD:
		return "held"
	case wire.ClaimReply_RESULT_MISMATCH:
		return "mismatch"
	}
	return reply.GetCode()
}
