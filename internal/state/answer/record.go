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
	// Payload length, CRC-32C of the payload, and CRC-32C of these two fields.
	headerBytes = 12
	// A stored answer fits into one message of the peer protocol.
	maxPayloadBytes = 17 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errCorruptPayload means that a record is damaged but its header is intact,
	// so the offset of the next record is known.
	errCorruptPayload = errors.New("record payload is damaged")
	// errCorruptHeader means that the rest of the file is unreadable. There is no
	// scan for the next header: it could match a forged header that a caller
	// placed in the body of an answer.
	errCorruptHeader = errors.New("record header is damaged")
)

// key is the first half of the SHA-256 of caller and request id. It is kept
// short because the index holds millions of keys. A record holds the caller and
// the request id in full, and a read compares them.
type key [16]byte

func keyOf(caller, requestID string) key {
	h := sha256.New()
	// The length prefix separates the caller from the request id.
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(caller))))
	h.Write([]byte(caller))
	h.Write([]byte(requestID))
	return key(h.Sum(nil)[:16])
}

// encodeRecord returns the record of an answer as it is stored in the file.
func encodeRecord(answer *wire.Answer) ([]byte, error) {
	p, e := proto.Marshal(answer)
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
// The length is also valid if the error is errCorruptPayload.
func readRecord(file *os.File, offset int64) (*wire.Answer, int64, error) {
	var h [headerBytes]byte
	_, e := file.ReadAt(h[:], offset)
	if e != nil {
		return nil, 0, errCorruptHeader
	}
	n := int64(binary.BigEndian.Uint32(h[:]))
	if crc32.Checksum(h[:8], castagnoli) != binary.BigEndian.Uint32(h[8:]) || n > maxPayloadBytes {
		return nil, 0, errCorruptHeader
	}
	p := make([]byte, n)
	_, e = file.ReadAt(p, offset+headerBytes)
	a := &wire.Answer{}
	if e != nil || crc32.Checksum(p, castagnoli) != binary.BigEndian.Uint32(h[4:]) || proto.Unmarshal(p, a) != nil {
		return nil, headerBytes + n, errCorruptPayload
	}
	return a, headerBytes + n, nil
}
