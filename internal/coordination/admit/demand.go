package admit

import "math"

const (
	// Share of a service's slots that a request leaves free for each class between its
	// own and the first one. Batch items leave more free than any of them.
	reservePerClass = 0.03
	// Classes beyond this one are treated alike.
	lastClass = 2
	// Exponent of the chance of a returning request at a contested queue place. Its
	// caller has waited already and gives up after another refusal, while a first
	// attempt that is refused at once can still be served in time.
	returningExponent = 0.25
)

// Demand is what is known of one request that asks for a place.
type Demand struct {
	// Number of more urgent priorities among the requests that compete for the same
	// backend servers.
	rank int
	// The request's team has at least its fair share of the requests in flight.
	overShare bool
	// The caller tries again after a refusal.
	returning bool
}

// New returns the demand of a request. rank is the number of more urgent priorities
// among the requests that compete, overShare says whether its team has at least its
// fair share in flight, and returning whether its caller was refused before.
func New(rank int, overShare, returning bool) Demand {
	return Demand{rank: max(rank, 0), overShare: overShare, returning: returning}
}

// Class returns the class of the request, 0 for the first one. A returning request
// never passes one that is more urgent.
func (d Demand) Class() int {
	c := d.rank
	if d.overShare && !d.returning {
		c++
	}
	return min(c, lastClass)
}

// Reserve returns how many of a service's slots must stay free when the request is
// placed.
func (d Demand) Reserve(slots int) int {
	return int(math.Ceil(float64(d.Class()) * reservePerClass * float64(slots)))
}

// MayQueue reports whether the request may take a place in a queue of a backend server.
// Those of the first class fill the queues while there is no free slot.
func (d Demand) MayQueue() bool { return d.Class() == 0 }

// Chance returns the probability with which the request takes a queue place for which
// several compete. fair is the probability if all compete alike.
func (d Demand) Chance(fair float64) float64 {
	fair = min(max(fair, 0), 1)
	if d.returning {
		return math.Pow(fair, returningExponent)
	}
	return fair
}
