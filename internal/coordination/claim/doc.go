// Package claim commits idempotency keys before their requests run, so that a
// non-idempotent request runs at most once.
//
// The keys are spread over 64 shards, each one object claims/shard-<n> at the
// platform. A claim is granted when a conditional update that contains it has
// taken effect. Claims that arrive while an update of their shard is in
// progress go together into the next one. Any scheduler may serve any shard:
// preferred ownership only keeps conflicts rare.
//
// When the answer to an update is lost, the shard is read back until the
// platform answers. An attempt that is found there is granted. One that is not
// goes into the next update, whose success also makes the lost one fail if it
// is still on its way. An attempt that can't be settled within 2 s is refused,
// and then marked as not run at the platform, so that a later attempt can take
// the key.
//
// The decision module (book, shard, ledger) holds all state and opens no
// connection. The task in task.go carries its decisions out.
package claim
