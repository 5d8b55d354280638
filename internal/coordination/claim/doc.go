// Package claim commits idempotency keys before their requests run, so that a
// non-idempotent request runs at most once.
//
// Keys are hashed to 64 shards, each stored by the platform as one object
// claims/shard-<n>. A claim is granted once a conditional update that contains
// it has been committed. Claims that arrive while an update of their shard is
// in flight are batched into the next one. Any scheduler may serve any shard:
// preferred ownership only keeps conflicts rare.
//
// If the response to an update is lost, the shard is read back until the
// platform responds. An attempt found there is granted. One that is missing
// goes into the next update, whose success also makes the lost update fail with
// a version conflict if it is still in flight. An attempt that is not decided
// within 2 s is refused and then recorded as not run at the platform, so that a
// later attempt can claim the key.
//
// The decision logic (stateMachine, shard, shardContent) holds all state and
// does no I/O. The task in task.go performs the actions that it emits.
package claim
