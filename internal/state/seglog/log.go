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

// Errors of a Log, found with errors.Is.
var (
	// ErrMissing means that no intact segment has the id.
	ErrMissing = errors.New("segment is missing")
	// ErrCorrupt means that a check failed while the segment was read. The
	// segment has been set aside and is missing from now on.
	ErrCorrupt = errors.New("segment is corrupt")
	// ErrDigest means that the bytes don't have the digest that was announced,
	// or that the id is taken by other bytes.
	ErrDigest = errors.New("segment has another digest")
	// ErrID means that the id can't be a file name.
	ErrID = errors.New("segment id is malformed")
)

// An id becomes a file name, so it holds no separators and no leading dot.
var wellFormed = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,99}$`)

// Log is the segments of one data folder. Its methods may be called at once.
type Log struct {
	folder string
	l      log.Interface
	// Holds one token while a finished file is checked against an earlier one
	// and renamed.
	publish chan struct{}
}

// New opens the folder and creates it when it is not there. It removes what
// interrupted writes left and sets aside files whose footer is damaged.
func New(folder string, l log.Interface) (*Log, error) {
	e := os.MkdirAll(folder, 0o700)
	if e != nil {
		return nil, e
	}
	s := &Log{folder: folder, l: l, publish: make(chan struct{}, 1)}
	d, e := os.ReadDir(folder)
	if e != nil {
		return nil, e
	}
	n := 0
	for _, f := range d {
		b, e := s.found(f.Name())
		if e != nil {
			return nil, e
		}
		if b {
			n++
		}
	}
	l.WithField("segments", n).Info("seglog: folder opened")
	return s, syncFolder(folder)
}

// found handles one file of the folder at start and says whether it is an
// intact segment.
func (s *Log) found(name string) (bool, error) {
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

// Stat returns the digest, in lower-case hexadecimal, and the size in bytes of
// a segment. The error is ErrMissing or the file system's.
func (s *Log) Stat(id string) (digest string, size int64, e error) {
	f, t, e := s.open(id)
	if e != nil {
		return "", 0, e
	}
	return t.digest(), t.size, f.Close()
}

// Open reads length bytes of a segment from an offset, or to the end when
// length is 0. The error is ErrMissing or the file system's; a Read can return
// ErrCorrupt.
func (s *Log) Open(id string, offset, length int64) (io.ReadCloser, error) {
	f, t, e := s.open(id)
	if e != nil {
		return nil, e
	}
	n := t.size
	if length > 0 && offset+length < n {
		n = offset + length
	}
	return &reader{s: s, id: id, f: f, t: t, next: max(offset, 0), end: n}, nil
}

// open opens a segment and reads its trailer.
func (s *Log) open(id string) (*os.File, *trailer, error) {
	if !wellFormed.MatchString(id) {
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
		s.setAside(id)
		return nil, nil, ErrMissing
	}
	return nil, nil, e
}

// setAside renames a damaged segment, so that it is missing from now on and
// can still be examined.
func (s *Log) setAside(id string) {
	s.l.WithField("segment", id).Error("seglog: corrupt segment set aside")
	e := os.Rename(s.path(id), s.path(id)+corruptSuffix)
	if e != nil && !errors.Is(e, os.ErrNotExist) {
		s.l.WithField("segment", id).WithError(e).Error("seglog: corrupt segment stays in place")
	}
}

func (s *Log) path(id string) string { return filepath.Join(s.folder, id+segmentSuffix) }

// syncFolder makes renames in the folder durable.
func syncFolder(folder string) error {
	f, e := os.Open(folder)
	if e != nil {
		return e
	}
	return errors.Join(f.Sync(), f.Close())
}
