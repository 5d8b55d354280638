package pool

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

// connection is a persistent connection to a backend server.
type connection struct {
	netConn net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	address string
	// The connection has carried a request or a probe.
	hasSent bool
	// Hashes of the ids of its requests, at most maxCarriedIDs; probes have none. No id
	// is carried twice: an answer that comes once more would be taken for the next one.
	carriedIDs []uint64
	// Start of the process at its other end in Unix milliseconds, trail.UnknownProcess
	// if it has not told, 0 if it was not asked. A connection ends with its process.
	born int64
	// When the idle connection must no longer be used, by the last response.
	expires time.Time
}

func newConnection(conn net.Conn, address string) *connection {
	b := &limitedReader{conn: conn}
	return &connection{netConn: conn, limited: b, reader: bufio.NewReaderSize(b, 2<<10), address: address}
}

// limitedReader reads a limited number of bytes from a connection. Each part of a
// response sets the limit anew.
type limitedReader struct {
	conn      net.Conn
	remaining int64
}

// Read fails with errUnbounded when the limit is reached.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errUnbounded
	}
	n, e := b.conn.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, e
}

// hasCarried reports whether the connection has carried a request with an id. Another id
// may have the same hash.
func (n *connection) hasCarried(id string) bool {
	return slices.Contains(n.carriedIDs, xxhash.Sum64String(id))
}

func (n *connection) recordID(id string) { n.carriedIDs = append(n.carriedIDs, xxhash.Sum64String(id)) }

func (n *connection) close() { _ = n.netConn.Close() }

// abort makes all pending and later reads and writes fail.
func (n *connection) abort() { _ = n.netConn.SetDeadline(time.Unix(1, 0)) }

// usable returns whether an idle connection can carry a request: it has not
// expired, it is open, and the server has sent nothing since the last response.
func (n *connection) usable() bool {
	return time.Now().Before(n.expires) && n.reader.Buffered() == 0 && socketQuiet(n.netConn)
}

// socketQuiet peeks at the socket and returns whether it is open and has no
// unread bytes. Connections that are not sockets count as quiet.
func socketQuiet(conn net.Conn) bool {
	k, o := conn.(syscall.Conn)
	if !o {
		return true
	}
	r, e := k.SyscallConn()
	if e != nil {
		return false
	}
	v := false
	e = r.Read(func(f uintptr) bool {
		var b [1]byte
		_, _, g := syscall.Recvfrom(int(f), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		v = g == syscall.EAGAIN
		return true
	})
	return e == nil && v
}

// keepAliveTime returns how long the connection may stay idle after a response,
// less keepAliveMargin if the response states the time.
func keepAliveTime(response *http.Response) time.Duration {
	for _, p := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		k, v, o := strings.Cut(strings.TrimSpace(p), "=")
		if !o || !strings.EqualFold(k, "timeout") {
			continue
		}
		t, e := strconv.Atoi(v)
		if e == nil {
			return time.Duration(t)*time.Second - keepAliveMargin
		}
	}
	return defaultKeepAlive
}
