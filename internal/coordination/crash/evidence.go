package crash

import (
	"slices"
	"sort"
	"time"
)

const (
	// Losses in a row after which a key is stopped.
	stopLosses = 3
	// The same for a part on which answers began shortly before: by far most
	// losses of such a part have another cause.
	stopLossesOfKnownPart = 4
	// How recently an answer must have begun before the first loss.
	knownPartPeriod = time.Minute
	// Losses of one server within this time belong to one crash. A server that
	// crashed takes longer to start again.
	sameCrashWindow = time.Second
	// Time for which a decision holds after the last loss. It doubles with each
	// further loss in a row.
	minHold = time.Minute
	maxHold = 8 * time.Minute
	// Losses are forgotten after this time, and with them each decision.
	lossLifetime = 10 * time.Minute
)

// key is the hash of a part of a prompt, or of a whole request.
type key uint64

// loss is a request whose server was lost before an answer had begun.
type loss struct {
	server  uint64
	request key
	parts   []key
	sentAt  time.Time
	at      time.Time
	// Whether this front sent the request.
	local bool
}

// has returns whether the request of the loss has a key.
func (l *loss) has(k key) bool { return l.request == k || slices.Contains(l.parts, k) }

// keys returns the keys of the request of the loss.
func (l *loss) keys() []key { return append([]key{l.request}, l.parts...) }

// sameCrash returns whether two losses belong to the same crash of a server.
func (l *loss) sameCrash(other *loss) bool {
	return l.server == other.server && l.at.Sub(other.at).Abs() < sameCrashWindow
}

// evidence holds losses and begun answers. It is not safe for concurrent use.
type evidence struct {
	// Sorted by the time of the loss.
	losses []*loss
	byKey  map[key][]*loss
	// When an answer last began, by key.
	begun map[key]time.Time
}

func newEvidence() evidence {
	return evidence{byKey: map[key][]*loss{}, begun: map[key]time.Time{}}
}

// standing returns whether no answer has begun since a loss of the key.
func (e *evidence) standing(k key, l *loss) bool { return l.at.After(e.begun[k]) }

// against returns the losses that count against a key of a request, in order.
func (e *evidence) against(k key, request []key) []*loss {
	var c []*loss
	for _, l := range e.byKey[k] {
		if !e.standing(k, l) || !e.follows(c, l, k) || e.explained(l, k, request) {
			continue
		}
		c = append(c, l)
	}
	return c
}

// follows returns whether a loss comes in a row with the counted ones: its
// request was sent after the last of them, and is another one, unless the key is
// the request itself.
func (e *evidence) follows(counted []*loss, l *loss, k key) bool {
	if len(counted) == 0 {
		return true
	}
	if l.sentAt.Before(counted[len(counted)-1].at) {
		return false
	}
	return l.request == k || !slices.ContainsFunc(counted, func(o *loss) bool { return o.request == l.request })
}

// explained returns whether something that the request at hand does not have
// explains the crash of a loss better than the key: a part with several losses
// under the same crash, or another request that was lost there several times.
func (e *evidence) explained(l *loss, k key, request []key) bool {
	for _, o := range e.around(l) {
		if !o.sameCrash(l) {
			continue
		}
		if o != l && !o.has(k) && e.repeated(o.request) {
			return true
		}
		for _, p := range o.parts {
			if p != k && !slices.Contains(request, p) && e.repeated(p) {
				return true
			}
		}
	}
	return false
}

// around returns the losses at about the time of a loss, itself included.
func (e *evidence) around(l *loss) []*loss {
	b := sort.Search(len(e.losses), func(n int) bool { return e.losses[n].at.After(l.at.Add(-sameCrashWindow)) })
	n := sort.Search(len(e.losses), func(n int) bool { return !e.losses[n].at.Before(l.at.Add(sameCrashWindow)) })
	return e.losses[b:n]
}

// repeated returns whether a key has had two crashes since an answer began. Those
// of one request count once, unless the key is the request itself.
func (e *evidence) repeated(k key) bool {
	var f *loss
	for _, l := range e.byKey[k] {
		if !e.standing(k, l) {
			continue
		}
		if f != nil && (l.request == k || l.request != f.request) && !l.sameCrash(f) {
			return true
		}
		if f == nil {
			f = l
		}
	}
	return false
}

// knownBefore returns whether an answer began on a key shortly before a loss.
func (e *evidence) knownBefore(k key, l *loss) bool {
	b, o := e.begun[k]
	return o && l.at.Sub(b) < knownPartPeriod
}

// limit returns the number of losses in a row after which a key is stopped, by
// the first of them.
func (e *evidence) limit(k key, first *loss) int {
	if first.request != k && e.knownBefore(k, first) {
		return stopLossesOfKnownPart
	}
	return stopLosses
}

// enough returns whether a key is stopped by the losses in a row against it.
func (e *evidence) enough(k key, counted []*loss) bool {
	return len(counted) > 0 && len(counted) >= e.limit(k, counted[0])
}

// hold returns how long a decision holds after its last loss, by the number of
// losses in a row beyond those that it takes.
func hold(further int) time.Duration { return min(minHold<<min(further, 8), maxHold) }

// add adds a loss unless it is known already, and returns whether it was added.
func (e *evidence) add(l *loss) bool {
	for _, o := range e.byKey[l.request] {
		if o.sameCrash(l) {
			return false
		}
	}
	e.losses = insert(e.losses, l)
	e.byKey[l.request] = insert(e.byKey[l.request], l)
	for _, p := range l.parts {
		e.byKey[p] = insert(e.byKey[p], l)
	}
	return true
}

// insert inserts a loss into a list that is sorted by time.
func insert(list []*loss, l *loss) []*loss {
	i := len(list)
	for i > 0 && list[i-1].at.After(l.at) {
		i--
	}
	return slices.Insert(list, i, l)
}

// remove removes a loss.
func (e *evidence) remove(l *loss) {
	e.losses = without(e.losses, l)
	for _, k := range l.keys() {
		e.byKey[k] = without(e.byKey[k], l)
		if len(e.byKey[k]) == 0 {
			delete(e.byKey, k)
		}
	}
}

func without(list []*loss, l *loss) []*loss {
	return slices.DeleteFunc(list, func(o *loss) bool { return o == l })
}
