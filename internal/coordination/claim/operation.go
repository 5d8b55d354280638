package claim

import (
	"time"
	"unicode/utf8"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxClaimTextBytes limits the total length of caller, key, attempt id and
// digest, so that a single claim cannot fill a shard.
const maxClaimTextBytes = 4 << 10

// operation is a claim or settlement in progress.
type operation struct {
	// Exactly one of claim and settle is set.
	claim   *wire.Claim
	settle  *wire.Settle
	arrived time.Time
	// Time by which the caller gets a reply.
	deadline time.Time
	// Whether an update that contained the operation has an unknown result, and
	// the object version on which that update was conditional.
	resultUnknown bool
	baseVersion   int64
	// Whether the reply was sent. A settlement may continue after that.
	replied bool
	granted bool
	reply   chan result
}

// result is the reply to one operation.
type result struct {
	claim  *wire.ClaimReply
	settle *wire.SettleReply
	// Reason of the decision, for the log.
	reason string
	// Id of the attempt that holds the key, for the log.
	holder string
}

func (o *operation) key() entryKey {
	if o.claim != nil {
		return entryKey{o.claim.GetCaller(), o.claim.GetKey()}
	}
	return entryKey{o.settle.GetCaller(), o.settle.GetKey()}
}

func (o *operation) attempt() string {
	if o.claim != nil {
		return o.claim.GetAttemptId()
	}
	return o.settle.GetAttemptId()
}

// shard returns the shard of the operation's key.
func (o *operation) shard() uint32 {
	k := o.key()
	return ShardOf(k.caller, k.key)
}

// invalidReason returns why the operation is invalid, or the empty string. A
// sender that computes another shard for the key is rejected, because it would
// also look for the key's owner in the wrong shard.
func (o *operation) invalidReason() string {
	n := o.shard()
	k := o.key()
	s := k.caller + k.key + o.attempt() + o.claim.GetDigest()
	switch {
	case o.claim.HasShard() && o.claim.GetShard() != n, o.settle.HasShard() && o.settle.GetShard() != n:
		return "shard is not the key's"
	case k.caller == "", k.key == "", o.attempt() == "":
		return "caller, key or attempt id is empty"
	case len(s) > maxClaimTextBytes:
		return "key is too long"
	case !utf8.ValidString(s):
		return "key is not UTF-8"
	}
	return ""
}
