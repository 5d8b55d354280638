package ports

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// Range of the ports, without maxPort. The default ephemeral range of Linux
	// starts at 32768.
	minPort, maxPort = 10000, 32000
	// Maximum number of attempts for each requested port.
	attemptsPerPort = 100
)

// Free returns distinct TCP ports of the loopback address on which no process
// listens at present.
func Free(count int) ([]int, error) {
	var l []int
	for range count * attemptsPerPort {
		if len(l) == count {
			return l, nil
		}
		p := minPort + rand.IntN(maxPort-minPort)
		x, e := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if e != nil {
			continue
		}
		// Kept open until all ports are found, so that none is found twice.
		defer func() { _ = x.Close() }()
		l = append(l, p)
	}
	return nil, errors.Newf("found only %d of %d free ports in the range from %d to %d", len(l), count, minPort, maxPort)
}
