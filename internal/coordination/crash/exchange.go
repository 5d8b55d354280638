package crash

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// A front sends the losses of its own requests for this time, and those of
	// all fronts that stop a key for as long as they do.
	reportPeriod = 30 * time.Second
	// Bounds the size of a report: 64 losses take about 3 KB.
	maxReportedLosses = 64
	maxReportedBegun  = 64
	// Losses of a key from which on the other fronts hear that answers began.
	reportedBegunLosses = 2
)

// Changes returns a number that increases with each loss of this front, which the
// others should hear of at once.
func (c *Record) Changes() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.localLosses
}

// Report returns the evidence to send to other fronts, or nil if there is none.
// A front that has just started, or was cut off, learns all current decisions
// from the report of any other one.
func (c *Record) Report(now time.Time) *wire.CrashEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.reportedLosses(now)
	b := c.reportedBegun(now)
	if len(l) == 0 && len(b) == 0 {
		return nil
	}
	return wire.CrashEvidence_builder{Losses: l, Begun: b}.Build()
}

// reportedLosses returns the losses that support a decision, and then the newest
// ones of this front.
func (c *Record) reportedLosses(now time.Time) []*wire.RequestLoss {
	s := c.supporting()
	var l, o []*wire.RequestLoss
	for i := len(c.losses) - 1; i >= 0; i-- {
		switch x := c.losses[i]; {
		case s[x]:
			l = append(l, encodeLoss(now, x))
		case x.local && now.Sub(x.at) <= reportPeriod:
			o = append(o, encodeLoss(now, x))
		}
	}
	l = append(l, o...)
	return l[:min(len(l), maxReportedLosses)]
}

// supporting returns the losses that count against a stopped key.
func (c *Record) supporting() map[*loss]bool {
	s := map[*loss]bool{}
	for k, l := range c.byKey {
		if len(l) < stopLosses {
			continue
		}
		// What the requests of the key share with each other explains nothing.
		n := c.against(k, l[len(l)-1].keys())
		if !c.enough(k, n) {
			continue
		}
		for _, a := range n {
			s[a] = true
		}
	}
	return s
}

func encodeLoss(now time.Time, l *loss) *wire.RequestLoss {
	p := make([]uint64, 0, len(l.parts))
	for _, k := range l.parts {
		p = append(p, uint64(k))
	}
	return wire.RequestLoss_builder{
		Server: &l.server, Request: proto.Uint64(uint64(l.request)), Parts: p,
		SentMsAgo: millisSince(now, l.sentAt), LostMsAgo: millisSince(now, l.at),
	}.Build()
}

// reportedBegun returns when answers began for the keys that have had several
// losses, since these may be about to be stopped elsewhere.
func (c *Record) reportedBegun(now time.Time) []*wire.AnswerBegun {
	var b []*wire.AnswerBegun
	for k, l := range c.byKey {
		t, o := c.begun[k]
		if !o || len(l) < reportedBegunLosses || now.Sub(t) > reportPeriod || len(b) == maxReportedBegun {
			continue
		}
		b = append(b, wire.AnswerBegun_builder{Key: proto.Uint64(uint64(k)), MsAgo: millisSince(now, t)}.Build())
	}
	return b
}

func millisSince(now, t time.Time) *uint32 {
	return proto.Uint32(uint32(min(max(now.Sub(t).Milliseconds(), 0), math.MaxUint32)))
}

// Merge adds the evidence of another front.
func (c *Record) Merge(now time.Time, report *wire.CrashEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range report.GetLosses() {
		l := decodeLoss(now, w)
		if now.Sub(l.at) <= lossLifetime {
			c.add(l)
		}
	}
	for _, w := range report.GetBegun() {
		t := now.Add(-time.Duration(w.GetMsAgo()) * time.Millisecond)
		if k := key(w.GetKey()); t.After(c.begun[k]) {
			c.begun[k] = t
		}
	}
	c.sweep(now)
}

func decodeLoss(now time.Time, w *wire.RequestLoss) *loss {
	l := &loss{
		server: w.GetServer(), request: key(w.GetRequest()),
		sentAt: now.Add(-time.Duration(w.GetSentMsAgo()) * time.Millisecond),
		at:     now.Add(-time.Duration(w.GetLostMsAgo()) * time.Millisecond),
	}
	for _, p := range w.GetParts() {
		l.parts = append(l.parts, key(p))
	}
	return l
}
