package buffer

import (
	"io"
	"sync/atomic"

	trail "bulrushtrail.example/trail"
)

const (
	// Size of the first block of a response. Each further one is twice as large, up
	// to maxBlockBytes.
	minBlockBytes = 4 << 10
	maxBlockBytes = 64 << 10
)

// Limit bounds the bytes that all buffered parts of responses hold together. Its methods are
// safe for concurrent use.
type Limit struct {
	// Bytes that may still be taken.
	free atomic.Int64
	// Further room that all bytes are taken from, nil for none.
	within trail.Room
}

// New returns a limit of a number of bytes.
func New(bytes int64) *Limit {
	l := &Limit{}
	l.free.Store(bytes)
	return l
}

// Within makes the limit take its bytes from room too. It must be called before the first
// use.
func (l *Limit) Within(room trail.Room) { l.within = room }

// Fill reads blocks from reader until it ends, or most bytes are read, or the limit is
// reached. It reports whether the reader has ended. The caller must release the blocks,
// also after an error of the reader.
func (l *Limit) Fill(reader io.Reader, most int) (blocks [][]byte, ended bool, err error) {
	z := minBlockBytes
	for n := 0; n < most; z = min(2*z, maxBlockBytes) {
		if !l.Take(z) {
			return blocks, false, nil
		}
		b, e := readBlock(reader, make([]byte, z))
		blocks = append(blocks, b)
		n += len(b)
		if e == io.EOF {
			return blocks, true, nil
		}
		if e != nil {
			return blocks, false, e
		}
	}
	return blocks, false, nil
}

// readBlock fills a block, and returns the part that was read. The error is the
// reader's own: io.ReadFull would turn the end of a whole response into an unexpected
// one.
func readBlock(reader io.Reader, block []byte) ([]byte, error) {
	n := 0
	for n < len(block) {
		m, e := reader.Read(block[n:])
		n += m
		if e != nil {
			return block[:n], e
		}
	}
	return block, nil
}

// Take takes a number of bytes, which must be returned. It reports whether there is room
// for them.
func (l *Limit) Take(bytes int) bool {
	if l.free.Add(-int64(bytes)) >= 0 && (l.within == nil || l.within.Take(bytes)) {
		return true
	}
	l.free.Add(int64(bytes))
	return false
}

// Return gives back a number of bytes.
func (l *Limit) Return(bytes int) {
	l.free.Add(int64(bytes))
	if l.within != nil {
		l.within.Return(bytes)
	}
}

// Release gives back the bytes of blocks, which must not be used any more.
func (l *Limit) Release(blocks [][]byte) {
	for _, b := range blocks {
		l.Return(cap(b))
	}
}
