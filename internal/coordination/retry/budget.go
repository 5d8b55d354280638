package retry

const (
	// Ratio is the number of retries that each first attempt allows.
	Ratio = 0.1
	// The first failure after a quiet start may be retried.
	initialRetries = 1
	// Retries saved in quiet times; more would let the start of an outage
	// double the load.
	maxSavedRetries = 64
	// Ten first attempts of 0.1 add up to slightly less than 1.
	rounding = 1e-9
)

// Budget counts the retries that one service has left. The retries taken never
// exceed Ratio times the first attempts by more than one.
type Budget struct {
	// Between 0 and maxSavedRetries.
	available float64
}

// New returns a budget that allows one retry.
func New() *Budget { return &Budget{available: initialRetries} }

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() { b.available = min(b.available+Ratio, maxSavedRetries) }

// Take uses one retry. It returns false when none is left.
func (b *Budget) Take() bool {
	if b.available+rounding < 1 {
		return false
	}
	b.available = max(b.available-1, 0)
	return true
}

// Available returns the number of retries that can be taken now.
func (b *Budget) Available() float64 { return b.available }
