// Package dedup takes and settles idempotency keys at the schedulers, for the
// entries.
//
// The scheduler preferred for the key's shard is asked first. Any other one
// may serve as well, because the claim is agreed by conditional update.
package dedup
