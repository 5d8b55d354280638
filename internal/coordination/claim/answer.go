package claim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

func (s *shard) answer(o *operation, r result) {
	if o.answered {
		return
	}
	o.answered = true
	s.b.act(answerAction{o, r})
}

func (s *shard) grant(o *operation, reason string) {
	o.granted = true
	s.answer(o, result{
		claim:  wire.ClaimReply_builder{Result: wire.ClaimReply_RESULT_GRANTED.Enum()}.Build(),
		reason: reason,
		holder: o.claim.GetAttemptId(),
	})
}

func (s *shard) held(o *operation, n *wire.ClaimEntry, now time.Time) {
	s.answer(o, result{
		claim: wire.ClaimReply_builder{
			Result:  wire.ClaimReply_RESULT_HELD.Enum(),
			Outcome: proto.CloneOf(n.GetOutcome()),
			AgeMs:   new(now.UnixMilli() - n.GetTakenUnixMs()),
		}.Build(),
		reason: "key is held",
		holder: n.GetAttemptId(),
	})
}

func (s *shard) mismatch(o *operation, n *wire.ClaimEntry) {
	s.answer(o, result{
		claim: wire.ClaimReply_builder{
			Result:  wire.ClaimReply_RESULT_MISMATCH.Enum(),
			Code:    new("key-mismatch"),
			Message: new("key was used with another request"),
		}.Build(),
		reason: "digest differs",
		holder: n.GetAttemptId(),
	})
}

// refuse answers a claim, or a settlement that was not taken.
func (s *shard) refuse(o *operation, code, message string, wait time.Duration) {
	if o.claim == nil {
		s.unsettled(o, code, message)
		return
	}
	s.answer(o, result{
		claim: wire.ClaimReply_builder{
			Result:       wire.ClaimReply_RESULT_REFUSED.Enum(),
			Code:         &code,
			Message:      &message,
			RetryAfterMs: new(wait.Milliseconds()),
		}.Build(),
		reason: message,
	})
}

// answerFromHint answers a claim while the platform fails. What was last known
// of a key is enough to say that it is held; it is never enough to grant it.
func (s *shard) answerFromHint(o *operation, now time.Time) {
	n := s.content.find(o.claim.GetCaller(), o.claim.GetKey(), now)
	switch {
	case n == nil || notRun(n):
		s.refuse(o, "platform-unavailable", "platform is down", max(s.b.downUntil.Sub(now), firstRetry))
	case n.GetDigest() != o.claim.GetDigest():
		s.mismatch(o, n)
	default:
		s.held(o, n, now)
	}
}

func (s *shard) settledWith(o *operation, reason string) {
	s.answer(o, result{
		settle: wire.SettleReply_builder{Done: new(true)}.Build(),
		reason: reason,
	})
}

func (s *shard) unsettled(o *operation, code, message string) {
	s.answer(o, result{
		settle: wire.SettleReply_builder{Done: new(false), Code: &code, Message: &message}.Build(),
		reason: message,
	})
}

// postpone answers a settlement that goes on until the platform answers.
func (s *shard) postpone(o *operation) {
	s.unsettled(o, codePostponed, "outcome will be recorded when the platform answers")
}
