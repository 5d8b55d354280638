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
	// Entries expire with or without an outcome.
	retention = 24 * time.Hour
	// A shard takes no claims above this size. The rest of the 1 MB that an
	// object may have is left for outcomes.
	maxClaimContentBytes = 960 << 10
	maxContentBytes      = 1 << 20
	// Names, punctuation, numbers and the optional spaces of protojson.
	entryOverheadBytes = 200
	// Room kept in each entry for the answer id of its outcome.
	answerIDBytes = 128
	// An escaped character takes at most 6 bytes.
	escapedExtraBytes = 5
)

// entryKey identifies an entry.
type entryKey struct{ caller, key string }

// shardContent is the content of a shard at one version. Its entries are shared by
// copies and never changed.
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
// sorted, so that equal ledgers have equal values.
func (l *shardContent) encode(shard uint32, version int64) (object.Object, error) {
	s := slices.SortedFunc(maps.Values(l.entries), func(a, b *wire.ClaimEntry) int {
		return cmp.Or(cmp.Compare(a.GetCaller(), b.GetCaller()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return object.Encode(objectKind, objectName(shard), version, wire.ClaimShard_builder{Entries: s}.Build())
}

func (l *shardContent) clone() *shardContent {
	return &shardContent{entries: maps.Clone(l.entries), sizeBound: l.sizeBound}
}

// find returns the entry of a key, nil when there is none or it has expired.
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

// makeRoom says whether one more entry fits. In a full ledger it first removes
// the entries whose attempt did not run, whose keys are free anyway.
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

// unresolved says whether nothing final is known of an entry's attempt.
func unresolved(entry *wire.ClaimEntry) bool {
	v := entry.GetOutcome().GetVerdict()
	return v == wire.Verdict_VERDICT_UNSPECIFIED || v == wire.Verdict_VERDICT_MAY_HAVE_RUN
}

func isNotRun(entry *wire.ClaimEntry) bool {
	return entry.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN
}

// withOutcome returns a copy of an entry with an outcome.
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

// maxQuotedLength bounds the length of a string in JSON.
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
