package answer

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Length of the payload, its CRC-32C, and the CRC-32C of these two.
	headerBytes = 12
	// A stored answer fits into one message between processes.
	maxPayloadBytes = 17 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errPayload means that a record is damaged but its length is known, so
	// that the next one can be found.
	errPayload = errors.New("payload of the record is damaged")
	// errHeader means that the rest of the file can't be read. A search for
	// the next header could find one in the body of an answer, where a caller
	// could have put it.
	errHeader = errors.New("header of the record is damaged")
)

// key is the first half of the SHA-256 of caller and request id; the index
// holds millions of them. The record holds both in full and is compared.
type key [16]byte

func keyOf(caller, request string) key {
	h := sha256.New()
	// The length keeps a caller's name and its request id apart.
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(caller))))
	h.Write([]byte(caller))
	h.Write([]byte(request))
	return key(h.Sum(nil)[:16])
}

// encode returns the record of an answer.
func encode(a *wire.Answer) ([]byte, error) {
	p, e := proto.Marshal(a)
	if e != nil {
		return nil, e
	}
	b := make([]byte, 0, headerBytes+len(p))
	b = binary.BigEndian.AppendUint32(b, uint32(len(p)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(p, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, p...), nil
}

// readRecord reads the record at an offset and returns its length in the file.
// The length is right when the error is errPayload.
func readRecord(f *os.File, offset int64) (*wire.Answer, int64, error) {
	var h [headerBytes]byte
	_, e := f.ReadAt(h[:], offset)
	if e != nil {
		return nil, 0, errHeader
	}
	n := int64(binary.BigEndian.Uint32(h[:]))
	if crc32.Checksum(h[:8], castagnoli) != binary.BigEndian.Uint32(h[8:]) || n > maxPayloadBytes {
		return nil, 0, errHeader
	}
	p := make([]byte, n)
	_, e = f.ReadAt(p, offset+headerBytes)
	a := &wire.Answer{}
	if e != nil || crc32.Checksum(p, castagnoli) != binary.BigEndian.Uint32(h[4:]) || proto.Unmarshal(p, a) != nil {
		return nil, headerBytes + n, errPayload
	}
	return a, headerBytes + n, nil
}
