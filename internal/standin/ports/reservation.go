package ports

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// Range of the ports, without maxPort. The default ephemeral range of Linux
	// starts at 32768.
	minPort, maxPort = 10000, 32000
	// Maximum number of attempts for each requested port.
	attemptsPerPort = 100
	// Address of the processes that use the ports.
	usedAddress = "127.0.0.1"
	// Address at which a reservation holds its ports. It differs from the used
	// one, so that the processes can bind the ports while they are reserved.
	heldAddress = "127.0.0.2"
)

// Reservation holds ports of the loopback address for the processes of one test or
// run. No other reservation on the machine gets them until it is closed.
type Reservation struct {
	ports []int
	// Sockets at heldAddress, a listener and a packet socket for each port.
	held []io.Closer
}

// Reserve reserves distinct ports on which no process uses TCP or UDP at present.
func Reserve(count int) (*Reservation, error) {
	r := &Reservation{}
	for range count * attemptsPerPort {
		if len(r.ports) == count {
			return r, nil
		}
		r.hold(minPort + rand.IntN(maxPort-minPort))
	}
	r.Close()
	return nil, errors.Newf("found only %d of %d free ports in the range from %d to %d", len(r.ports), count, minPort, maxPort)
}

// hold adds a port to the reservation unless it is in use or reserved.
func (r *Reservation) hold(port int) {
	h := open(heldAddress, port)
	if h == nil {
		return
	}
	u := open(usedAddress, port)
	if u == nil {
		closeAll(h)
		return
	}
	closeAll(u)
	r.ports = append(r.ports, port)
	r.held = append(r.held, h...)
}

// open opens a listener and a packet socket on a port. It returns nil if either is
// in use.
func open(address string, port int) []io.Closer {
	a := fmt.Sprintf("%s:%d", address, port)
	t, e := net.Listen("tcp", a)
	if e != nil {
		return nil
	}
	u, e := net.ListenPacket("udp", a)
	if e != nil {
		_ = t.Close()
		return nil
	}
	return []io.Closer{t, u}
}

func closeAll(sockets []io.Closer) {
	for _, c := range sockets {
		_ = c.Close()
	}
}

// Ports returns the reserved ports.
func (r *Reservation) Ports() []int { return slices.Clone(r.ports) }

// Close releases the ports.
func (r *Reservation) Close() { closeAll(r.held) }
