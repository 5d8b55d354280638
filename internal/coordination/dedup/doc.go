// Package dedup is the client of entries for idempotency keys: it claims keys at
// the schedulers before non-idempotent requests are dispatched, and settles the
// claims afterwards.
//
// The preferred scheduler of the key's shard is called first. Any other
// scheduler can serve the claim too, because claims are committed by conditional
// updates of the shard.
package dedup
