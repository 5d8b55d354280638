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
	claimLimitBytes = 960 << 10
	limitBytes      = 1 << 20
	// Names, punctuation, numbers and the optional spaces of protojson.
	entryOverheadBytes = 200
	// Room kept in each entry for the answer id of its outcome.
	answerIDBytes = 128
	// An escaped character takes at most 6 bytes.
	escapedExtraBytes = 5
)

// ledgerKey identifies an entry.
type ledgerKey struct{ caller, key string }

// ledger is the content of a shard at one version. Its entries are shared by
// copies and never changed.
type ledger struct {
	entries map[ledgerKey]*wire.ClaimEntry
	// Upper bound of the encoded size.
	bytes int
}

func newLedger() *ledger { return &ledger{entries: map[ledgerKey]*wire.ClaimEntry{}} }

func decode(o object.Object) (*ledger, error) {
	m := &wire.ClaimShard{}
	e := o.Decode(m)
	if e != nil {
		return nil, e
	}
	l := newLedger()
	for _, n := range m.GetEntries() {
		l.put(n)
	}
	return l, nil
}

// encode returns the object that replaces the given version. Entries are
// sorted, so that equal ledgers have equal values.
func (l *ledger) encode(shard uint32, version int64) (object.Object, error) {
	s := slices.SortedFunc(maps.Values(l.entries), func(a, b *wire.ClaimEntry) int {
		return cmp.Or(cmp.Compare(a.GetCaller(), b.GetCaller()), cmp.Compare(a.GetKey(), b.GetKey()))
	})
	return object.Encode(kind, objectName(shard), version, wire.ClaimShard_builder{Entries: s}.Build())
}

func (l *ledger) clone() *ledger {
	return &ledger{entries: maps.Clone(l.entries), bytes: l.bytes}
}

// find returns the entry of a key, nil when there is none or it has expired.
func (l *ledger) find(caller, key string, now time.Time) *wire.ClaimEntry {
	n := l.entries[ledgerKey{caller, key}]
	if n == nil || expired(n, now) {
		return nil
	}
	return n
}

func (l *ledger) put(n *wire.ClaimEntry) {
	k := ledgerKey{n.GetCaller(), n.GetKey()}
	l.remove(k)
	l.entries[k] = n
	l.bytes += size(n)
}

func (l *ledger) remove(k ledgerKey) {
	n := l.entries[k]
	if n == nil {
		return
	}
	l.bytes -= size(n)
	delete(l.entries, k)
}

// prune removes the entries that have expired.
func (l *ledger) prune(now time.Time) {
	for k, n := range l.entries {
		if expired(n, now) {
			l.remove(k)
		}
	}
}

// makeRoom says whether one more entry fits. In a full ledger it first removes
// the entries whose attempt did not run, whose keys are free anyway.
func (l *ledger) makeRoom(n *wire.ClaimEntry) bool {
	if l.bytes+size(n) <= claimLimitBytes {
		return true
	}
	for k, o := range l.entries {
		if o.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN {
			l.remove(k)
		}
	}
	return l.bytes+size(n) <= claimLimitBytes
}

func expired(n *wire.ClaimEntry, now time.Time) bool {
	return now.UnixMilli()-n.GetTakenUnixMs() >= retention.Milliseconds()
}

// open says whether nothing final is known of an entry's attempt.
func open(n *wire.ClaimEntry) bool {
	v := n.GetOutcome().GetVerdict()
	return v == wire.Verdict_VERDICT_UNSPECIFIED || v == wire.Verdict_VERDICT_MAY_HAVE_RUN
}

func notRun(n *wire.ClaimEntry) bool {
	return n.GetOutcome().GetVerdict() == wire.Verdict_VERDICT_NOT_RUN
}

// settled returns a copy of an entry with an outcome.
func settled(n *wire.ClaimEntry, o *wire.Outcome) *wire.ClaimEntry {
	m := proto.CloneOf(n)
	m.SetOutcome(proto.CloneOf(o))
	return m
}

func size(n *wire.ClaimEntry) int {
	s := entryOverheadBytes + max(answerIDBytes, quoted(n.GetOutcome().GetAnswerId()))
	for _, t := range []string{n.GetCaller(), n.GetKey(), n.GetAttemptId(), n.GetDigest()} {
		s += quoted(t)
	}
	return s
}

// quoted bounds the length of a string in JSON.
func quoted(s string) int {
	n := len(s)
	for _, r := range s {
		switch {
		case r < ' ', r == '"', r == '\\', r == '<', r == '>', r == '&', r > '~':
			n += escapedExtraBytes
		}
	}
	return n
}
