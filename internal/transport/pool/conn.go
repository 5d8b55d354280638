package pool

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// connection is one kept connection to a backend server.
type connection struct {
	conn    net.Conn
	limited *limitedReader
	reader  *bufio.Reader
	address string
	// A request has been sent before.
	hasSent bool
	// When the connection may no longer be used; zero while it is in use.
	expires time.Time
}

func newConnection(conn net.Conn, address string) *connection {
	b := &limitedReader{conn: conn}
	return &connection{conn: conn, limited: b, reader: bufio.NewReaderSize(b, 2<<10), address: address}
}

// limitedReader reads a connection up to a number of bytes.
type limitedReader struct {
	conn      net.Conn
	remaining int64
}

// Read fails with errUnbounded once the bytes are used up.
func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errUnbounded
	}
	n, e := b.conn.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, e
}

func (n *connection) close() { _ = n.conn.Close() }

// abort makes the reads and writes in progress fail.
func (n *connection) abort() { _ = n.conn.SetDeadline(time.Unix(1, 0)) }

// usable says whether an idle connection can take a request: it is young
// enough, open, and the other side has sent nothing meanwhile.
func (n *connection) usable() bool {
	return time.Now().Before(n.expires) && n.reader.Buffered() == 0 && socketQuiet(n.conn)
}

// socketQuiet looks without reading whether the socket holds neither bytes nor an
// end. Connections of other kinds are taken as they are.
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

// keepAliveTime returns how long the connection may be kept after an answer.
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
