package claim

import (
	"time"
	"unicode/utf8"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// maxClaimTextBytes bounds caller, key, attempt id and digest of an entry
// together, so that one claim can't fill a shard.
const maxClaimTextBytes = 4 << 10

// operation is one claim or settlement on its way through a shard.
type operation struct {
	// One of the two is set.
	claim   *wire.Claim
	settle  *wire.Settle
	arrived time.Time
	// When its caller gets an answer at the latest.
	deadline time.Time
	// Whether an update that carried the claim has an unknown result, and the
	// version that this update was to replace.
	resultUnknown bool
	baseVersion   int64
	// Whether the caller has its answer. A settlement goes on after that.
	replied bool
	granted bool
	reply   chan result
}

// result answers one operation.
type result struct {
	claim  *wire.ClaimReply
	settle *wire.SettleReply
	// Why, for the log.
	reason string
	// Attempt that holds the key, for the log.
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

// invalidReason returns why the operation can't be taken, or the empty string. A
// sender with another idea of the shards is refused, because it would look for
// the key's owner in the wrong place.
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
