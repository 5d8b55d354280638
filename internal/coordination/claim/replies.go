package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

func (s *shard) reply(op *operation, reply result) {
	if op.replied {
		return
	}
	op.replied = true
	s.machine.emit(replyAction{op, reply})
}

func (s *shard) replyGranted(op *operation, reason string) {
	op.granted = true
	s.reply(op, result{
		claim:  wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_GRANTED.Enum()}.Build(),
		reason: reason,
		holder: op.claim.GetAttemptId(),
	})
}

func (s *shard) replyHeld(op *operation, entry *wire.ClaimEntry, now time.Time) {
	s.reply(op, result{
		claim: wire.ClaimReply_builder{
			Result:  wire.ClaimReply_RESULT_HELD.Enum(),
			Outcome: proto.CloneOf(entry.GetOutcome()),
			AgeMs:   new(now.UnixMilli() - entry.GetTakenUnixMs()),
		}.Build(),
		reason: "key is held",
		holder: entry.GetAttemptId(),
	})
}

func (s *shard) replyMismatch(op *operation, entry *wire.ClaimEntry) {
	s.reply(op, result{
		claim: wire.ClaimReply_builder{
			Result:  wire.ClaimReply_RESULT_MISMATCH.Enum(),
			Code:    new("key-mismatch"),
			Message: new("key was used with another request"),
		}.Build(),
		reason: "digest differs",
		holder: entry.GetAttemptId(),
	})
}

// refuse rejects a claim or settlement.
func (s *shard) refuse(op *operation, code, message string, retryAfter time.Duration) {
	if op.claim == nil {
		s.replyNotSettled(op, code, message)
		return
	}
	s.reply(op, result{
		claim: wire.ClaimReply_builder{
			Result:       wire.ClaimReply_RESULT_REFUSED.Enum(),
			Code:         &code,
			Message:      &message,
			RetryAfterMs: new(retryAfter.Milliseconds()),
		}.Build(),
		reason: message,
	})
}

// replyFromStale replies to a claim while the platform is unavailable. Possibly
// stale content is sufficient to report that a key is held or was used with
// another request, but never to grant it.
func (s *shard) replyFromStale(op *operation, now time.Time) {
	n := s.content.find(op.claim.GetCaller(), op.claim.GetKey(), now)
	switch {
	case n == nil || isNotRun(n):
		s.refuse(op, "platform-unavailable", "platform is down", max(s.machine.platformDownUntil.Sub(now), minRetryDelay))
	case n.GetDigest() != op.claim.GetDigest():
		s.replyMismatch(op, n)
	default:
		s.replyHeld(op, n, now)
	}
}

func (s *shard) replySettled(op *operation, reason string) {
	s.reply(op, result{
		settle: wire.SettleReply_builder{Done: new(true)}.Build(),
		reason: reason,
	})
}

func (s *shard) replyNotSettled(op *operation, code, message string) {
	s.reply(op, result{
		settle: wire.SettleReply_builder{Done: new(false), Code: &code, Message: &message}.Build(),
		reason: message,
	})
}

// replyPostponed replies to a settlement that continues until the platform is
// available.
func (s *shard) replyPostponed(op *operation) {
	s.replyNotSettled(op, codePostponed, "outcome will be recorded when the platform answers")
}
