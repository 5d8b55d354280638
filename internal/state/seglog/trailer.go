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
	// Size of a block, which has a checksum of its own. A read of a range
	// verifies at most two blocks of data beyond the range.
	blockBytes = 64 << 10
	// SHA-256, data size, CRC-32C of the trailer, magic number.
	footerBytes = 32 + 8 + 4 + 8
	magic       = 0x62727365676c6f31
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// trailer follows the data of a segment in its file.
type trailer struct {
	// CRC-32C of each block of blockBytes. The last block may be shorter.
	blockSums []uint32
	sha256    [32]byte
	dataBytes int64
}

func (t *trailer) digest() string { return hex.EncodeToString(t.sha256[:]) }

// encode returns the trailer as it is stored in the file.
func (t *trailer) encode() []byte {
	b := make([]byte, 0, 4*len(t.blockSums)+footerBytes)
	for _, c := range t.blockSums {
		b = binary.BigEndian.AppendUint32(b, c)
	}
	b = append(b, t.sha256[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(t.dataBytes))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return binary.BigEndian.AppendUint64(b, magic)
}

// readTrailer reads and verifies the trailer of an open segment file. It returns
// ErrCorrupt if the trailer is damaged.
func readTrailer(file *os.File) (*trailer, error) {
	i, e := file.Stat()
	if e != nil {
		return nil, e
	}
	if i.Size() < footerBytes {
		return nil, ErrCorrupt
	}
	var b [footerBytes]byte
	_, e = file.ReadAt(b[:], i.Size()-footerBytes)
	if e != nil {
		return nil, eofAsCorrupt(e)
	}
	t := &trailer{dataBytes: int64(binary.BigEndian.Uint64(b[32:]))}
	copy(t.sha256[:], b[:32])
	if binary.BigEndian.Uint64(b[44:]) != magic || t.dataBytes < 0 || t.dataBytes > i.Size() {
		return nil, ErrCorrupt
	}
	n := (t.dataBytes + blockBytes - 1) / blockBytes
	if t.dataBytes+4*n+footerBytes != i.Size() {
		return nil, ErrCorrupt
	}
	l := make([]byte, 4*n)
	_, e = file.ReadAt(l, t.dataBytes)
	if e != nil {
		return nil, eofAsCorrupt(e)
	}
	for i := range n {
		t.blockSums = append(t.blockSums, binary.BigEndian.Uint32(l[4*i:]))
	}
	c := crc32.Update(crc32.Checksum(l, castagnoli), castagnoli, b[:40])
	if c != binary.BigEndian.Uint32(b[40:]) {
		return nil, ErrCorrupt
	}
	return t, nil
}

// eofAsCorrupt returns ErrCorrupt for an unexpected end of the file and any other
// error unchanged.
func eofAsCorrupt(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrCorrupt
	}
	return err
}
