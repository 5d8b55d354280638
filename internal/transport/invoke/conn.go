package invoke

import (
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// What a connection has carried.
const (
	carriedNothing int32 = iota
	// The question for the process and its answer.
	carriedQuestion
	// Calls, of which the last one may still be unanswered, or was answered without its
	// id. What comes next on the connection may be an answer to it.
	carriedUnconfirmed
	// Calls, of which the last one was answered with its id.
	carriedConfirmed
)

// errConnSpent means that a connection can't carry another call.
var errConnSpent = errors.New("last answer on the connection named no id")

// countingConn counts the writes to a connection, and refuses a call after an answer
// that was not confirmed by its id.
type countingConn struct {
	net.Conn
	writeCount atomic.Int64
	// One of the constants above.
	carried atomic.Int32
	// Set once a call was refused; nothing can be written any more.
	spent atomic.Bool
	// Nil if it was not asked which process is at the other end.
	process *process
}

// beginCall returns what the connection has carried before the call that net/http is
// about to write.
func (s *countingConn) beginCall() int32 {
	n := s.carried.Swap(carriedUnconfirmed)
	if n == carriedUnconfirmed {
		s.spent.Store(true)
	}
	return n
}

// Write increments the count before it writes, so that no byte is sent without
// being counted. On a spent connection it writes nothing, so that net/http sends the
// call on another one.
func (s *countingConn) Write(b []byte) (int, error) {
	if s.spent.Load() {
		return 0, errConnSpent
	}
	s.writeCount.Add(1)
	return s.Conn.Write(b)
}
