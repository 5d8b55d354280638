package engine

import "context"

type state int

const (
	stateFine state = iota
	stateDown
	stateMute
	// The client is gone.
	stateGone
	// The answer is complete.
	stateEnd
)

// signalsKey finds the signals of a request in its context.
type signalsKey struct{}

// signals tell a request of the faults that happen while it runs.
type signals struct {
	// Closed when the connection goes silent.
	mute chan struct{}
	// Closed when the engine crashes.
	down chan struct{}
}

func (s signals) state() state {
	select {
	case <-s.down:
		return stateDown
	case <-s.mute:
		return stateMute
	default:
		return stateFine
	}
}

// next waits for the next token of a sequence.
func (s signals) next(c context.Context, out <-chan int) (int, state) {
	// A fault comes before tokens that are there already.
	if x := s.state(); x != stateFine {
		return 0, x
	}
	select {
	case <-s.down:
		return 0, stateDown
	case <-s.mute:
		return 0, stateMute
	case <-c.Done():
		return 0, stateGone
	case i, y := <-out:
		if !y {
			return 0, stateEnd
		}
		return i, stateFine
	}
}
