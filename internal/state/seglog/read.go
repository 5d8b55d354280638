package seglog

import (
	"hash/crc32"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// reader reads a range of a segment block by block.
type reader struct {
	s  *Log
	id string
	f  *os.File
	t  *trailer
	// Offsets in the segment of the next byte and behind the last one.
	next, end int64
	// Checked bytes that were not returned yet.
	ready []byte
	block []byte
}

func (r *reader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if len(r.ready) == 0 {
		if r.next >= r.end {
			return 0, io.EOF
		}
		e := r.load()
		if e != nil {
			return 0, e
		}
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

// load reads and checks the block that holds the next byte.
func (r *reader) load() error {
	if r.block == nil {
		r.block = make([]byte, blockBytes)
	}
	i := r.next / blockBytes
	o := i * blockBytes
	b := r.block[:min(blockBytes, r.t.size-o)]
	_, e := r.f.ReadAt(b, o)
	if e != nil && damage(e) != ErrCorrupt {
		return e
	}
	if e != nil || crc32.Checksum(b, castagnoli) != r.t.blocks[i] {
		r.s.setAside(r.id)
		return ErrCorrupt
	}
	r.ready = b[r.next-o : min(int64(len(b)), r.end-o)]
	r.next = o + int64(len(b))
	return nil
}

// Close releases the file.
func (r *reader) Close() error {
	e := r.f.Close()
	if errors.Is(e, os.ErrClosed) {
		return nil
	}
	return e
}
