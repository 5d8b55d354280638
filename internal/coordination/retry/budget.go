package retry

const (
	// Ratio is the number of retries that each first attempt adds to a budget.
	Ratio = 0.1
	// A new budget allows one retry, so that a failure before the first ten
	// attempts can be retried.
	initialRetries = 1
	// Upper limit of a budget. With more retries saved up while few calls fail,
	// the load could double at the start of an outage.
	maxSavedRetries = 64
	// Floating-point tolerance: adding Ratio ten times gives slightly less
	// than 1.
	rounding = 1e-9
)

// Budget counts the retries that are available to one service. The number of
// retries taken never exceeds Ratio times the number of first attempts by more
// than one.
type Budget struct {
	// Between 0 and maxSavedRetries.
	available float64
}

// New returns a budget that allows one retry.
func New() *Budget { return &Budget{available: initialRetries} }

// RecordFirst records a first attempt, which adds Ratio to the budget.
func (b *Budget) RecordFirst() { b.available = min(b.available+Ratio, maxSavedRetries) }

// Take takes one retry from the budget. It returns false if none is available.
func (b *Budget) Take() bool {
	if b.available+rounding < 1 {
		return false
	}
	b.available = max(b.available-1, 0)
	return true
}

// Available returns the number of retries that can be taken now.
func (b *Budget) Available() float64 { return b.available }
