package seglog

import (
	"crypto/sha256"
	"hash/crc32"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Put stores the data of src under an id and returns its digest and size once it
// is on disk. A digest that is not empty must match the data. If the segment
// already exists with the same data, it is left unchanged; with other data, Put
// returns ErrDigest. After any error, none of the data is kept.
func (s *Store) Put(id, digest string, src io.Reader) (stored string, size int64, e error) {
	if !validID.MatchString(id) {
		return "", 0, ErrID
	}
	f, e := os.CreateTemp(s.folder, id+"-*"+partialSuffix)
	if e != nil {
		return "", 0, e
	}
	t, e := writeSegment(f, src)
	e = errors.Join(e, f.Close())
	if e == nil && digest != "" && t.digest() != digest {
		e = ErrDigest
	}
	if e == nil {
		e = s.publish(f.Name(), id, t)
	}
	if e != nil {
		_ = os.Remove(f.Name())
		return "", 0, e
	}
	return t.digest(), t.dataBytes, nil
}

// writeSegment copies src to the file, appends the trailer and syncs the file.
func writeSegment(file *os.File, src io.Reader) (*trailer, error) {
	t := &trailer{}
	h := sha256.New()
	b := make([]byte, blockBytes)
	for {
		n, e := readFull(src, b)
		if n > 0 {
			t.blockSums = append(t.blockSums, crc32.Checksum(b[:n], castagnoli))
			t.dataBytes += int64(n)
			h.Write(b[:n])
			_, w := file.Write(b[:n])
			if w != nil {
				return nil, w
			}
		}
		if e == io.EOF {
			break
		}
		if e != nil {
			return nil, e
		}
	}
	h.Sum(t.sha256[:0])
	_, e := file.Write(t.encode())
	if e != nil {
		return nil, e
	}
	return t, file.Sync()
}

// readFull reads until buf is full or src ends. Unlike io.ReadFull, it returns an
// error of src unchanged: io.EOF means that src has ended regularly, so a broken
// stream is not mistaken for a short last block.
func readFull(src io.Reader, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		k, e := src.Read(buf[n:])
		n += k
		if e != nil {
			return n, e
		}
	}
	return n, nil
}

// publish renames a synced temporary file to the name of its segment. If an
// equal segment exists, the temporary file is removed instead; the rename of the
// existing one is made durable by its own writer or by the folder sync here.
func (s *Store) publish(path, id string, trailer *trailer) error {
	s.publishLock <- struct{}{}
	defer func() { <-s.publishLock }()
	d, _, e := s.Stat(id)
	if e == nil && d != trailer.digest() {
		return ErrDigest
	}
	if e != nil && !errors.Is(e, ErrMissing) {
		return e
	}
	if e == nil {
		e = os.Remove(path)
	} else {
		e = os.Rename(path, s.path(id))
	}
	if e != nil {
		return e
	}
	return syncFolder(s.folder)
}
