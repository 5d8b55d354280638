// Package pacer counts the requests to one backend server that takes a limited
// rate of them.
package pacer

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Time in which an unused limit adds up.
const burstSeconds = 1.5

// Pacer allows requests at a rate. It is not safe for concurrent use.
type Pacer struct {
	limiter *rate.Limiter
}

// New returns a pacer for a rate in requests a second, which must be positive. It
// begins without a burst: whoever counted before may have allowed one just now.
func New(now time.Time, perSecond float64) *Pacer {
	b := burst(perSecond)
	l := rate.NewLimiter(rate.Limit(perSecond), b)
	l.ReserveN(now, b)
	return &Pacer{l}
}

func burst(perSecond float64) int { return int(max(math.Ceil(perSecond*burstSeconds), 1)) }

// SetRate changes the rate in requests a second, which must be positive.
func (p *Pacer) SetRate(now time.Time, perSecond float64) {
	if float64(p.limiter.Limit()) == perSecond {
		return
	}
	p.limiter.SetLimitAt(now, rate.Limit(perSecond))
	p.limiter.SetBurstAt(now, burst(perSecond))
}

// Take counts a request if it may be sent now, and returns 0. Otherwise it counts
// nothing and returns the time until one may be sent.
func (p *Pacer) Take(now time.Time) time.Duration {
	r := p.limiter.ReserveN(now, 1)
	d := r.DelayFrom(now)
	if d > 0 {
		r.CancelAt(now)
	}
	return d
}

// Next returns the time until a request may be sent, 0 if one may be now.
func (p *Pacer) Next(now time.Time) time.Duration {
	r := p.limiter.ReserveN(now, 1)
	defer r.CancelAt(now)
	return r.DelayFrom(now)
}
