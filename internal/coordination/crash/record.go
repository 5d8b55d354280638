package crash

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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

// Request identifies a request by what it may have in common with others.
type Request struct {
	keys []key
}

// NewRequest returns the identity of a request from its fingerprint, by which
// equal requests are recognised, and the ids of the shared parts of its prompt.
func NewRequest(fingerprint uint64, sharedParts []string) Request {
	// A hash of the fingerprint keeps it apart from those of parts.
	l := []key{key(fingerprint)}
	for _, p := range sharedParts {
		l = append(l, partKey(p))
	}
	return Request{keys: l}
}

func partKey(id string) key {
	var d xxhash.Digest
	d.ResetWithSeed(1)
	_, _ = d.WriteString(id)
	return key(d.Sum64())
}

func (r Request) request() key { return r.keys[0] }

func (r Request) parts() []key { return r.keys[1:] }

// AddLoss records that a server was lost while it had a request that was sent at
// sentAt and whose answer had not begun.
func (c *Record) AddLoss(now time.Time, request Request, server string, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &loss{server: xxhash.Sum64String(server), request: request.request(), parts: request.parts(), sentAt: sentAt, at: now, local: true}
	if c.add(l) {
		c.localLosses++
	}
	c.sweep(now)
}

// AddBegun records that an answer to a request has begun.
func (c *Record) AddBegun(now time.Time, request Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byKey[request.request()]) > 0 {
		c.begun[request.request()] = now
	}
	for _, p := range request.parts() {
		c.begun[p] = now
	}
	c.sweep(now)
}

// Decision tells why a request is stopped.
type Decision struct {
	// Index of the shared part that the decision is about, or -1 if it is about
	// the request itself.
	Part int
	// Number of losses in a row.
	Losses int
	// Times of the first and the last of them.
	First, Last time.Time
	// Number of different servers that were lost.
	Servers int
	// Whether an answer had begun on the part shortly before the first loss.
	Known bool
	// When the decision ends, unless an answer begins before.
	Until time.Time
}

// Stopped returns whether a request is stopped, and why.
func (c *Record) Stopped(now time.Time, request Request) (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The later parts are shared by fewer requests.
	for i := len(request.keys) - 1; i >= 0; i-- {
		k := request.keys[i]
		if len(c.byKey[k]) < stopLosses {
			continue
		}
		d, s := c.decide(k, c.against(k, request.keys))
		if s && now.Before(d.Until) {
			d.Part = i - 1
			return d, true
		}
	}
	return Decision{}, false
}

// decide returns the decision on a key by the losses against it, and whether
// they are enough for one.
func (c *Record) decide(k key, counted []*loss) (Decision, bool) {
	if len(counted) == 0 || len(counted) < c.limit(k, counted) {
		return Decision{}, false
	}
	n := c.limit(k, counted)
	z := counted[len(counted)-1].at
	h := hold(len(counted), n)
	s := map[uint64]bool{}
	for _, l := range counted {
		s[l.server] = true
	}
	return Decision{
		Losses: len(counted), First: counted[0].at, Last: z, Servers: len(s), Known: n > stopLosses,
		Until: z.Add(h + time.Duration(c.spread(k, len(counted))*holdSpread*float64(h))),
	}, true
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
