package rate

import "time"

// Time after an unanswered question in which the counting front is taken for silent.
// By then another one counts.
const silentPeriod = 2500 * time.Millisecond

// share is the place of a front among all fronts that may be alive, for one team.
type share struct {
	// Position from 0, different for each front.
	position, fronts int
}

// offset is the part of a token that the front has beside its reserve. If the
// reserves of n fronts hold x tokens each, those with x + offset of 1 and more can
// grant, and all of them grant the integer part of n times x together. Without it
// no front could grant while each has less than a token.
func (s share) offset() float64 { return float64(s.position) / float64(s.fronts) }

// reserve is a front's part of a limit, which it uses while the front that counts
// does not answer.
type reserve struct {
	// Tokens as of a time; negative after the use of the offset.
	level float64
	at    time.Time
	// When a question was last not answered.
	unansweredAt time.Time
}

// advance refills the reserve at its part of the rate. Before a question is
// unanswered it holds its part of the burst at most; then it may grow to a whole
// token, since each front has less while the burst is smaller than their number.
func (r *reserve) advance(now time.Time, limit limit, place share) {
	n := float64(place.fronts)
	c := limit.capacity / n
	if now.Sub(r.unansweredAt) <= silentPeriod {
		c = max(c, 1)
	}
	r.level = min(r.level+limit.perSecond/n*max(now.Sub(r.at).Seconds(), 0), c)
	r.at = now
}

// answered empties the reserve: the front that counts has answered.
func (r *reserve) answered(now time.Time, limit limit, place share) {
	r.unansweredAt = time.Time{}
	r.advance(now, limit, place)
	r.level = min(r.level, 0)
}

// take takes a token after a question that was not answered, if there is one.
func (r *reserve) take(now time.Time, limit limit, place share) bool {
	r.advance(now, limit, place)
	r.unansweredAt = now
	if r.level+place.offset() < 1 {
		return false
	}
	r.level--
	return true
}
