package engine

import "context"

// state says whether a request can go on, or why it ends.
type state int

const (
	stateRunning state = iota
	stateCrashed
	stateSilenced
	// The client closed the connection.
	stateClientGone
	// The answer is complete.
	stateComplete
)

// faultSignalsKey is the context key of the fault signals of a request.
type faultSignalsKey struct{}

// faultSignals notify a request of faults that occur while it is served.
type faultSignals struct {
	// Closed when the connection goes silent.
	silenced chan struct{}
	// Closed when the engine crashes.
	crashed chan struct{}
}

func (s faultSignals) state() state {
	select {
	case <-s.crashed:
		return stateCrashed
	case <-s.silenced:
		return stateSilenced
	default:
		return stateRunning
	}
}

// next waits for the next token of a sequence, a fault or the end of ctx.
func (s faultSignals) next(ctx context.Context, tokens <-chan int) (int, state) {
	// A fault takes precedence over tokens that are already buffered.
	if x := s.state(); x != stateRunning {
		return 0, x
	}
	select {
	case <-s.crashed:
		return 0, stateCrashed
	case <-s.silenced:
		return 0, stateSilenced
	case <-ctx.Done():
		return 0, stateClientGone
	case i, y := <-tokens:
		if !y {
			return 0, stateComplete
		}
		return i, stateRunning
	}
}
