package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushtrail.example/trail/internal/coordination/stop"
)

const (
	// Bounds the memory of losses. Those that speak against nothing go first,
	// then the oldest.
	maxLosses = 512
	// Begun answers of keys without a loss are forgotten after this time.
	begunLifetime = knownPartPeriod
	sweepInterval = 10 * time.Second
	// Share of its hold by which the decisions of the fronts end apart from each
	// other, so that one of them sends the first request and the others hear of
	// its end.
	holdSpread = 0.5
	// Keeps the hashes of parts apart from those of requests.
	partSeed = 1
)

// Record holds what one front knows of crashes. It is safe for concurrent use.
type Record struct {
	// Name of this front, by which the ends of decisions are spread.
	front string

	mu sync.Mutex
	evidence
	lastSweep time.Time
	// Number of losses added from this front.
	localLosses uint64
}

// New returns a record without evidence for the named front.
func New(front string) *Record { return &Record{front: front, evidence: newEvidence()} }

// keysOf returns the keys of a request: that of the request itself and those of
// the shared parts of its prompt.
func keysOf(fingerprint uint64, sharedParts []string) []key {
	l := []key{key(fingerprint)}
	for _, p := range sharedParts {
		l = append(l, partKey(p))
	}
	return l
}

func partKey(id string) key {
	var d xxhash.Digest
	d.ResetWithSeed(partSeed)
	_, _ = d.WriteString(id)
	return key(d.Sum64())
}

// AddLoss records that a server was lost while it had a request that was sent at
// sentAt and whose answer had not begun. Equal requests have the same
// fingerprint; sharedParts are the ids of the parts of its prompt that other
// requests may share.
func (c *Record) AddLoss(now time.Time, fingerprint uint64, sharedParts []string, server string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := keysOf(fingerprint, sharedParts)
	if c.add(&loss{server: xxhash.Sum64String(server), request: k[0], parts: k[1:], sentAt: sentAt, at: now, local: true}) {
		c.localLosses++
	}
	c.sweep(now)
}

// AddBegun records that an answer to a request has begun.
func (c *Record) AddBegun(now time.Time, fingerprint uint64, sharedParts []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := keysOf(fingerprint, sharedParts)
	if len(c.byKey[k[0]]) > 0 {
		c.begun[k[0]] = now
	}
	for _, p := range k[1:] {
		c.begun[p] = now
	}
	c.sweep(now)
}

// Stopped returns whether a request is stopped, and why.
func (c *Record) Stopped(now time.Time, fingerprint uint64, sharedParts []string) (stop.Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := keysOf(fingerprint, sharedParts)
	// The later parts are shared by fewer requests.
	for i := len(l) - 1; i >= 0; i-- {
		if len(c.byKey[l[i]]) < stopLosses {
			continue
		}
		n := c.against(l[i], l)
		if !c.enough(l[i], n) {
			continue
		}
		d := c.decide(l[i], n)
		if i > 0 {
			d = d.WithPart(i-1, c.knownBefore(l[i], n[0]))
		}
		if now.Before(d.Until()) {
			return d, true
		}
	}
	return stop.Decision{}, false
}

// decide returns the decision on a key with enough losses in a row.
func (c *Record) decide(k key, counted []*loss) stop.Decision {
	z := counted[len(counted)-1].at
	h := hold(len(counted) - c.limit(k, counted[0]))
	s := map[uint64]bool{}
	for _, l := range counted {
		s[l.server] = true
	}
	u := z.Add(h + time.Duration(c.spread(k, len(counted))*holdSpread*float64(h)))
	return stop.New(len(counted), len(s), counted[0].at, z, u)
}

// spread returns a number from 0 to 1 that differs between fronts.
func (c *Record) spread(k key, losses int) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(k) + uint64(losses))
	_, _ = d.WriteString(c.front)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// sweep forgets old evidence, once per sweepInterval, and bounds that of losses.
func (c *Record) sweep(now time.Time) {
	for len(c.losses) > maxLosses {
		c.remove(c.leastUseful())
	}
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for len(c.losses) > 0 && now.Sub(c.losses[0].at) > lossLifetime {
		c.remove(c.losses[0])
	}
	for k, t := range c.begun {
		if len(c.byKey[k]) == 0 && now.Sub(t) > begunLifetime {
			delete(c.begun, k)
		}
	}
}

// leastUseful returns the oldest loss that speaks against none of its parts, or
// else the oldest one.
func (c *Record) leastUseful() *loss {
	i := slices.IndexFunc(c.losses, func(l *loss) bool {
		return !slices.ContainsFunc(l.parts, func(p key) bool { return c.standing(p, l) })
	})
	return c.losses[max(i, 0)]
}
