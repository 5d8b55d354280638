package route

const (
	// Repeated attempts for each first attempt, from the stated target of 1.1
	// attempts for each request.
	retryShare = 0.1
	// Unused budget that is kept, in attempts. It bounds the burst of repeated
	// attempts after a quiet time.
	retryBurst = 100
)

// budget counts the repeated attempts that each service has left.
type budget map[string]float64

// earn counts a first attempt.
func (b budget) earn(service string) { b[service] = min(b[service]+retryShare, retryBurst) }

// spend takes one repeated attempt, if there is one left.
func (b budget) spend(service string) bool {
	// The sum of ten tenths may fall short of 1 by a rounding error.
	const w = 1 - 1e-9
	if b[service] < w {
		return false
	}
	b[service]--
	return true
}
