package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// Range of the ports. The usual range of the system for connections begins
	// at 32768.
	lowest, highest = 10000, 32000
	// Ports that are tried for each that is wanted.
	tries = 100
)

// Free returns different ports of the loopback address on which no process
// listens by TCP now.
func Free(n int) ([]int, error) {
	var l []int
	for range n * tries {
		if len(l) == n {
			return l, nil
		}
		p := lowest + rand.IntN(highest-lowest)
		x, e := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if e != nil {
			continue
		}
		// Held until all are found, so that they differ.
		defer func() { _ = x.Close() }()
		l = append(l, p)
	}
	return nil, errors.Newf("%d of %d ports from %d to %d found free", len(l), n, lowest, highest)
}
