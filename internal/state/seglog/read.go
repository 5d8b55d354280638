package seglog

import (
	"hash/crc32"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// reader reads a range of a segment and verifies it block by block.
type reader struct {
	store   *Store
	id      string
	file    *os.File
	trailer *trailer
	// Offsets in the segment: of the next byte to load, and of the end of the
	// range (exclusive).
	nextOffset, endOffset int64
	// Verified bytes that Read has not returned yet.
	unread []byte
	block  []byte
}

func (r *reader) Read(buf []byte) (int, error) {
	if len(buf) == 0 {
		return 0, nil
	}
	if len(r.unread) == 0 {
		if r.nextOffset >= r.endOffset {
			return 0, io.EOF
		}
		e := r.loadBlock()
		if e != nil {
			return 0, e
		}
	}
	n := copy(buf, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// loadBlock reads and verifies the block that holds the byte at nextOffset.
func (r *reader) loadBlock() error {
	if r.block == nil {
		r.block = make([]byte, blockBytes)
	}
	i := r.nextOffset / blockBytes
	o := i * blockBytes
	b := r.block[:min(blockBytes, r.trailer.dataBytes-o)]
	_, e := r.file.ReadAt(b, o)
	if e != nil && eofAsCorrupt(e) != ErrCorrupt {
		return e
	}
	if e != nil || crc32.Checksum(b, castagnoli) != r.trailer.blockSums[i] {
		r.store.quarantine(r.id)
		return ErrCorrupt
	}
	r.unread = b[r.nextOffset-o : min(int64(len(b)), r.endOffset-o)]
	r.nextOffset = o + int64(len(b))
	return nil
}

// Close closes the file. Closing twice is not an error.
func (r *reader) Close() error {
	e := r.file.Close()
	if errors.Is(e, os.ErrClosed) {
		return nil
	}
	return e
}
