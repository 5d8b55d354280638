package gossip

import (
	"net"
	"time"

	"github.com/apex/log"
)

// Dropped datagrams are logged at most this often, with their number since then.
const droppedLogInterval = 10 * time.Second

// droppedDatagrams counts the datagrams that are malformed or not from another front.
type droppedDatagrams struct {
	count    int
	loggedAt time.Time
}

// log counts a datagram, and logs the number of those since the last line.
func (d *droppedDatagrams) log(logger log.Interface, now time.Time, from net.Addr) {
	d.count++
	if !d.loggedAt.IsZero() && now.Sub(d.loggedAt) < droppedLogInterval {
		return
	}
	logger.WithFields(log.Fields{"from": from.String(), "datagrams": d.count}).Warn("gossip: datagrams dropped, malformed or not from another front")
	d.count, d.loggedAt = 0, now
}
