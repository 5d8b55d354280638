package pool

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	trail "bulrushtrail.example/trail"
)

// endsWithConnection reports whether a response has neither a length nor chunks, so that
// only the end of its connection marks its end.
func endsWithConnection(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// endError returns why a response that ends with its connection is not complete, nil if
// it is. The end of file that was read is no proof: the kernel reports a reset once, so
// if a write takes it, the read after it sees an end of file.
func (x *exchange) endError(status int) error {
	w := x.stopWriting()
	n, o, a := endOfSocket(x.conn.netConn)
	switch {
	case n && !o:
		return x.cutError("connection of the answer was reset")
	case status == http.StatusRequestEntityTooLarge:
		// The server has said that it does not read the rest of the request.
		return nil
	case !w || n && !a:
		return x.cutError("answer ended before the whole request was sent")
	}
	return nil
}

func (x *exchange) cutError(text string) error {
	return trail.WrapError(io.ErrUnexpectedEOF, "backend-lost", trail.MayHaveRun, "%s", text).WithPlace(x.conn.address)
}

// stopWriting ends the write of a long body and returns whether the whole request has
// been written.
func (x *exchange) stopWriting() bool {
	if x.bodyWritten == nil {
		return true
	}
	// A write of which all bytes are in the socket's buffer succeeds in spite of the
	// deadline.
	_ = x.conn.netConn.SetWriteDeadline(time.Unix(1, 0))
	return <-x.bodyWritten == nil
}

// endOfSocket returns whether a connection, whose end was read, is a socket; if so also
// whether the peer has ended it in an orderly way and no reset came after that, and
// whether the peer has received all bytes that were written.
func endOfSocket(conn net.Conn) (isSocket, isOrderly, isAcknowledged bool) {
	k, o := conn.(syscall.Conn)
	if !o {
		return false, false, false
	}
	r, e := k.SyscallConn()
	if e != nil {
		return true, false, false
	}
	var i *unix.TCPInfo
	f := r.Control(func(d uintptr) { i, e = unix.GetsockoptTCPInfo(int(d), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if e != nil || f != nil {
		return true, false, false
	}
	// In this state only the peer has ended its side. A reset leaves the state CLOSE.
	return true, i.State == unix.BPF_TCP_CLOSE_WAIT, i.Unacked == 0 && i.Notsent_bytes == 0
}
