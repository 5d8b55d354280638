package seglog

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	segmentSuffix = ".seg"
	partialSuffix = ".partial"
	corruptSuffix = ".corrupt"
)

// Errors of a Store, to be matched with errors.Is.
var (
	// ErrMissing means that there is no intact segment with the id.
	ErrMissing = errors.New("segment is missing")
	// ErrCorrupt means that a checksum did not match while the segment was
	// read. The segment has been quarantined and counts as missing.
	ErrCorrupt = errors.New("segment is corrupt")
	// ErrDigest means that the data does not match the expected digest, or
	// that the id already belongs to a segment with other data.
	ErrDigest = errors.New("segment has another digest")
	// ErrID means that the id is not valid as a file name.
	ErrID = errors.New("segment id is malformed")
)

// A segment id is used as a file name, so it must have no path separator and no
// leading dot.
var validID = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,99}$`)

// Store holds the segments of one data folder. Its methods are safe for
// concurrent use.
type Store struct {
	folder string
	logger log.Interface
	// Semaphore of one, held while a complete file is compared with an existing
	// segment and renamed.
	publishLock chan struct{}
}

// New opens the folder, creating it if necessary. It removes the temporary
// files of interrupted writes and quarantines files with a corrupt trailer.
func New(folder string, logger log.Interface) (*Store, error) {
	e := os.MkdirAll(folder, 0o700)
	if e != nil {
		return nil, e
	}
	s := &Store{folder: folder, logger: logger, publishLock: make(chan struct{}, 1)}
	d, e := os.ReadDir(folder)
	if e != nil {
		return nil, e
	}
	n := 0
	for _, f := range d {
		b, e := s.recoverFile(f.Name())
		if e != nil {
			return nil, e
		}
		if b {
			n++
		}
	}
	logger.WithField("segments", n).Info("seglog: data folder opened")
	return s, syncFolder(folder)
}

// recoverFile processes one file of the folder at start and reports whether it
// is a segment with an intact trailer.
func (s *Store) recoverFile(name string) (bool, error) {
	if strings.HasSuffix(name, partialSuffix) {
		return false, os.Remove(filepath.Join(s.folder, name))
	}
	b, o := strings.CutSuffix(name, segmentSuffix)
	if !o {
		return false, nil
	}
	_, _, e := s.Stat(b)
	if errors.Is(e, ErrMissing) {
		return false, nil
	}
	return e == nil, e
}

// Stat returns the digest of a segment, in lower-case hexadecimal, and its size
// in bytes. The error is ErrMissing or that of the file system.
func (s *Store) Stat(id string) (digest string, size int64, e error) {
	f, t, e := s.open(id)
	if e != nil {
		return "", 0, e
	}
	return t.digest(), t.dataBytes, f.Close()
}

// Open returns a reader of length bytes of a segment from an offset, or of the
// rest of the segment if length is 0. The error is ErrMissing or that of the
// file system. Read can return ErrCorrupt.
func (s *Store) Open(id string, offset, length int64) (io.ReadCloser, error) {
	f, t, e := s.open(id)
	if e != nil {
		return nil, e
	}
	n := t.dataBytes
	if length > 0 && offset+length < n {
		n = offset + length
	}
	return &reader{store: s, id: id, file: f, trailer: t, nextOffset: max(offset, 0), endOffset: n}, nil
}

// open opens a segment file and reads its trailer. A file with a corrupt trailer
// is quarantined and reported as ErrMissing.
func (s *Store) open(id string) (*os.File, *trailer, error) {
	if !validID.MatchString(id) {
		return nil, nil, ErrMissing
	}
	f, e := os.Open(s.path(id))
	if errors.Is(e, os.ErrNotExist) {
		return nil, nil, ErrMissing
	}
	if e != nil {
		return nil, nil, e
	}
	t, e := readTrailer(f)
	if e == nil {
		return f, t, nil
	}
	_ = f.Close()
	if errors.Is(e, ErrCorrupt) {
		s.quarantine(id)
		return nil, nil, ErrMissing
	}
	return nil, nil, e
}

// quarantine renames a corrupt segment file, so that the segment counts as
// missing while the file remains available for examination.
func (s *Store) quarantine(id string) {
	s.logger.WithField("segment", id).Error("seglog: corrupt segment quarantined")
	e := os.Rename(s.path(id), s.path(id)+corruptSuffix)
	if e != nil && !errors.Is(e, os.ErrNotExist) {
		s.logger.WithField("segment", id).WithError(e).Error("seglog: renaming the corrupt segment failed")
	}
}

func (s *Store) path(id string) string { return filepath.Join(s.folder, id+segmentSuffix) }

// syncFolder syncs the folder, which makes renames in it durable.
func syncFolder(folder string) error {
	f, e := os.Open(folder)
	if e != nil {
		return e
	}
	return errors.Join(f.Sync(), f.Close())
}
