package claim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	// Entries expire after this time, with or without an outcome.
	retention = 24 * time.Hour
	// Size above which a shard takes no more claims. The rest of the 1 MB
	// object size limit is reserved for outcomes.
	maxClaimContentBytes = 960 << 10
	maxContentBytes      = 1 << 20
	// Field names, punctuation, numbers and the optional spaces of protojson.
	entryOverheadBytes = 200
	// Space reserved in each entry for the answer id of its outcome.
	answerIDBytes = 128
	// An escaped character takes at most 6 bytes, 5 more than counted already.
	escapedExtraBytes = 5
)

// entryKey identifies an entry.
type entryKey struct{ caller, key string }

// shardContent is the content of a shard at one version. Clones share the
// entries, which are immutable.
type shardContent struct {
	entries map[entryKey]*wire.ClaimEntry
	// Upper bound of the encoded size.
	sizeBound int
}

func newShardContent() *shardContent { return &shardContent{entries: map[entryKey]*wire.ClaimEntry{}} }

func decodeContent(stored object.Object) (*shardContent, error) {
	m := &wire.ClaimShard{}
	e := stored.Decode(m)
	if e != nil {
		return nil, e
	}
	l := newShardContent()
	for _, n := range m.GetEntries() {
		l.put(n)
	}
	return l, nil
}

// encode returns the object that replaces the given version. Entries are
// sorted, so that equal contents have equal encodings.
func (l *shardContent) encode(shard uint32, version int64) (object.Object, error) {
	s := slices.SortedFunc(maps.Values(l.entries), func(a, b *wire.ClaimEntry) int {
		return cmp.Or(cmp.Compare(a.GetCaller(), b.GetCaller()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return object.Encode(objectKind, objectName(shard), version, wire.ClaimShard_builder{Entries: s}.Build())
}

func (l *shardContent) clone() *shardContent {
	return &shardContent{entries: maps.Clone(l.entries), sizeBound: l.sizeBound}
}

// find returns the entry of a key, nil if there is none or it has expired.
func (l *shardContent) find(caller, key string, now time.Time) *wire.ClaimEntry {
	n := l.entries[entryKey{caller, key}]
	if n == nil || expired(n, now) {
		return nil
	}
	return n
}

func (l *shardContent) put(entry *wire.ClaimEntry) {
	k := entryKey{entry.GetCaller(), entry.GetKey()}
	l.remove(k)
	l.entries[k] = entry
	l.sizeBound += maxEncodedSize(entry)
}

func (l *shardContent) remove(key entryKey) {
	n := l.entries[key]
	if n == nil {
		return
	}
	l.sizeBound -= maxEncodedSize(n)
	delete(l.entries, key)
}

// prune removes the entries that have expired.
func (l *shardContent) prune(now time.Time) {
	for k, n := range l.entries {
		if expired(n, now) {
			l.remove(k)
		}
	}
}

// makeRoom reports whether one more entry fits. If the content is full, it
// first removes the entries whose attempt did not run, since their keys can be
// claimed again anyway.
func (l *shardContent) makeRoom(entry *wire.ClaimEntry) bool {
	if l.sizeBound+maxEncodedSize(entry) <= maxClaimContentBytes {
		return true
	}
	for k, o := range l.entries {
		if o.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN {
			l.remove(k)
		}
	}
	return l.sizeBound+maxEncodedSize(entry) <= maxClaimContentBytes
}

func expired(entry *wire.ClaimEntry, now time.Time) bool {
	return now.UnixMilli()-entry.GetTakenUnixMs() >= retention.Milliseconds()
}

// unresolved reports whether an entry has no final outcome.
func unresolved(entry *wire.ClaimEntry) bool {
	v := entry.GetOutcome().GetVerdict()
	return v == wire.Verdict_VERDICT_UNSPECIFIED || v == wire.Verdict_VERDICT_MAY_HAVE_RUN
}

func isNotRun(entry *wire.ClaimEntry) bool {
	return entry.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN
}

// withOutcome returns a copy of an entry with the given outcome.
func withOutcome(entry *wire.ClaimEntry, outcome *wire.Outcome) *wire.ClaimEntry {
	m := proto.CloneOf(entry)
	m.SetOutcome(proto.CloneOf(outcome))
	return m
}

func maxEncodedSize(entry *wire.ClaimEntry) int {
	s := entryOverheadBytes + max(answerIDBytes, maxQuotedLength(entry.GetOutcome().GetAnswerId()))
	for _, t := range []string{entry.GetCaller(), entry.GetKey(), entry.GetAttemptId(), entry.GetDigest()} {
		s += maxQuotedLength(t)
	}
	return s
}

// maxQuotedLength returns an upper bound of the length of a string in JSON.
func maxQuotedLength(text string) int {
	n := len(text)
	for _, r := range text {
		switch {
		case r < ' ', r == '"', r == '\\', r == '<', r == '>', r == '&', r > '~':
			n += escapedExtraBytes
		}
	}
	return n
}
