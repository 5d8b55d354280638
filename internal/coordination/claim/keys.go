package claim

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	objectKind = "claims"
	namePrefix = "shard-"
	// Must not change during the life of a deployment: a key's claim is looked
	// up in its shard only.
	shardCount = 64
)

// ShardOf returns the shard of a caller's key, 0 to 63.
func ShardOf(caller, key string) uint32 {
	// The length prefix distinguishes ("a", "bc") from ("ab", "c").
	return uint32(xxhash.Sum64String(strconv.Itoa(len(caller))+":"+caller+key) % shardCount)
}

// OwnerKey returns the key by which package owner ranks the schedulers for a
// shard: the kind and name of the shard's object.
func OwnerKey(shard uint32) string { return objectKind + "/" + objectName(shard) }

func objectName(shard uint32) string { return namePrefix + strconv.FormatUint(uint64(shard), 10) }
