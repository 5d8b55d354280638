package seglog

import (
	"encoding/binary"
	"encoding/hex"
	"hash/crc32"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	// Bytes that one block checksum covers. A read at an offset checks at
	// most two blocks more than it returns.
	blockBytes = 64 << 10
	// Digest, size, checksum of the trailer and magic.
	footerBytes = 32 + 8 + 4 + 8
	magic       = 0x62727365676c6f31
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// trailer is what follows the bytes of a segment in its file.
type trailer struct {
	// CRC-32C of each block of blockBytes; the last block may be shorter.
	blocks []uint32
	sha    [32]byte
	// Bytes of the segment.
	size int64
}

func (t *trailer) digest() string { return hex.EncodeToString(t.sha[:]) }

// encode returns the bytes that follow the segment.
func (t *trailer) encode() []byte {
	b := make([]byte, 0, 4*len(t.blocks)+footerBytes)
	for _, c := range t.blocks {
		b = binary.BigEndian.AppendUint32(b, c)
	}
	b = append(b, t.sha[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.size))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return binary.BigEndian.AppendUint64(b, magic)
}

// readTrailer reads the trailer of an open segment file. The error is
// ErrCorrupt when it is damaged.
func readTrailer(f *os.File) (*trailer, error) {
	i, e := f.Stat()
	if e != nil {
		return nil, e
	}
	if i.Size() < footerBytes {
		return nil, ErrCorrupt
	}
	var b [footerBytes]byte
	_, e = f.ReadAt(b[:], i.Size()-footerBytes)
	if e != nil {
		return nil, damage(e)
	}
	t := &trailer{size: int64(binary.BigEndian.Uint64(b[32:]))}
	copy(t.sha[:], b[:32])
	if binary.BigEndian.Uint64(b[44:]) != magic || t.size < 0 || t.size > i.Size() {
		return nil, ErrCorrupt
	}
	n := (t.size + blockBytes - 1) / blockBytes
	if t.size+4*n+footerBytes != i.Size() {
		return nil, ErrCorrupt
	}
	l := make([]byte, 4*n)
	_, e = f.ReadAt(l, t.size)
	if e != nil {
		return nil, damage(e)
	}
	for i := range n {
		t.blocks = append(t.blocks, binary.BigEndian.Uint32(l[4*i:]))
	}
	c := crc32.Update(crc32.Checksum(l, castagnoli), castagnoli, b[:40])
	if c != binary.BigEndian.Uint32(b[40:]) {
		return nil, ErrCorrupt
	}
	return t, nil
}

// damage maps the end of the file within a structure to ErrCorrupt.
func damage(e error) error {
	if errors.Is(e, io.EOF) || errors.Is(e, io.ErrUnexpectedEOF) {
		return ErrCorrupt
	}
	return e
}
