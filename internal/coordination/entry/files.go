package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	filesKind = "files"
	// Hexadecimal digits of a digest in an id: 128 bits.
	idDigits = 32
)

// idOf derives an id from its parts, so that a resubmission finds the object.
func idOf(prefix string, parts ...string) string {
	h := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return prefix + hex.EncodeToString(h[:])[:idDigits]
}

// CreateFile checks and stores a job input.
func (s *Entry) CreateFile(ctx context.Context, req *oapi.CreateFileReq) (*oapi.File, error) {
	r, k := req.File.File.(io.ReadSeeker)
	if !k {
		return nil, trail.NewError("internal", trail.NotRun, "the upload can't be read twice")
	}
	h := sha256.New()
	_, e := s.checkInput(callerOf(ctx), io.TeeReader(r, h))
	if e != nil {
		return nil, e
	}
	i := idOf("file-", callerOf(ctx), hex.EncodeToString(h.Sum(nil)))
	m := &wire.File{}
	_, e = s.read(ctx, filesKind, i, m)
	if e == nil {
		return fileAnswer(m), nil
	}
	if !errors.Is(e, trail.ErrNotFound) {
		return nil, unavailable(e, trail.NotRun)
	}
	_, e = r.Seek(0, io.SeekStart)
	if e != nil {
		return nil, trail.WrapError(e, "internal", trail.NotRun, "the upload can't be read again")
	}
	g, e := s.bulk.Put(ctx, r)
	if e != nil {
		return nil, trail.WrapError(e, "storage-unavailable", trail.NotRun, "the file can't be stored now").WithRetryAfter(retryAfter)
	}
	m.SetId(i)
	m.SetCaller(callerOf(ctx))
	m.SetFilename(req.File.Name)
	m.SetPurpose(string(req.Purpose))
	m.SetCreatedUnix(time.Now().Unix())
	m.SetSegments([]*wire.Segment{g})
	m.SetSizeBytes(g.GetSizeBytes())
	e = s.create(ctx, filesKind, i, m)
	if e != nil {
		return nil, e
	}
	return fileAnswer(m), nil
}

func fileAnswer(m *wire.File) *oapi.File {
	return &oapi.File{
		ID:        m.GetId(),
		Object:    "file",
		Bytes:     m.GetSizeBytes(),
		CreatedAt: m.GetCreatedUnix(),
		Filename:  m.GetFilename(),
		Purpose:   m.GetPurpose(),
		Status:    "processed",
	}
}

// GetFile describes a file of the caller.
func (s *Entry) GetFile(ctx context.Context, params oapi.GetFileParams) (*oapi.File, error) {
	m, e := s.file(ctx, params.FileID)
	if e != nil {
		return nil, e
	}
	return fileAnswer(m), nil
}

// GetFileContent returns the bytes of a file of the caller.
func (s *Entry) GetFileContent(ctx context.Context, params oapi.GetFileContentParams) (oapi.GetFileContentOK, error) {
	m, e := s.file(ctx, params.FileID)
	if e != nil {
		return oapi.GetFileContentOK{}, e
	}
	r := &segments{c: ctx, b: s.bulk, rest: m.GetSegments()}
	// A failure to open the first segment is still a refusal; later ones cut
	// the connection.
	e = r.open()
	if e != nil {
		return oapi.GetFileContentOK{}, trail.WrapError(e, "storage-unavailable", trail.NotRun,
			"the file can't be read now").WithRetryAfter(retryAfter)
	}
	return oapi.GetFileContentOK{Data: r}, nil
}

// file returns a file of the caller: an input, or the output of a job.
func (s *Entry) file(c context.Context, id string) (*wire.File, error) {
	m := &wire.File{}
	_, e := s.read(c, filesKind, id, m)
	switch {
	case e == nil && m.GetCaller() == callerOf(c):
		return m, nil
	case e == nil:
		return nil, unknownFile(id)
	case !errors.Is(e, trail.ErrNotFound):
		return nil, unavailable(e, trail.NotRun)
	}
	return s.output(c, id)
}

func unknownFile(id string) error {
	return trail.NewError("unknown-file", trail.NotRun, "there is no file %q", id)
}

// segments reads segments one after the other.
type segments struct {
	c    context.Context
	b    trail.BulkStore
	rest []*wire.Segment
	// The segment that is being read; nil between segments.
	r io.ReadCloser
}

// open begins the next segment, if there is one.
func (s *segments) open() error {
	if len(s.rest) == 0 {
		return nil
	}
	r, e := s.b.Get(s.c, s.rest[0], 0, 0)
	if e != nil {
		return e
	}
	s.rest = s.rest[1:]
	s.r = r
	return nil
}

func (s *segments) Read(p []byte) (int, error) {
	for {
		if s.r == nil {
			if len(s.rest) == 0 {
				return 0, io.EOF
			}
			e := s.open()
			if e != nil {
				return 0, e
			}
		}
		n, e := s.r.Read(p)
		if e != io.EOF {
			return n, e
		}
		_ = s.r.Close()
		s.r = nil
		if n > 0 {
			return n, nil
		}
	}
}

// Close ends the segment that is being read.
func (s *segments) Close() error {
	if s.r == nil {
		return nil
	}
	return s.r.Close()
}
