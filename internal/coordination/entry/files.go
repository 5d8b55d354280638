package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	filesKind = "files"
	// Hexadecimal digits of the digest that an id contains: 128 bits.
	idDigits = 32
)

// deriveID derives an id from its parts, so that a resubmission finds the object
// that exists.
func deriveID(prefix string, parts ...string) string {
	h := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return prefix + hex.EncodeToString(h[:])[:idDigits]
}

// CreateFile validates and stores a job input. An upload with the same content
// returns the file that exists.
func (s *Entry) CreateFile(ctx context.Context, req *oapi.CreateFileReq) (*oapi.File, error) {
	r, k := req.File.File.(io.ReadSeeker)
	if !k {
		return nil, trail.NewError("internal", trail.NotRun, "the upload can't be read twice")
	}
	h := sha256.New()
	_, e := s.checkInput(callerFrom(ctx), io.TeeReader(r, h))
	if e != nil {
		return nil, e
	}
	i := deriveID("file-", callerFrom(ctx), hex.EncodeToString(h.Sum(nil)))
	m := &wire.File{}
	_, e = s.readObject(ctx, filesKind, i, m)
	if e == nil {
		return fileResponse(m), nil
	}
	if !errors.Is(e, trail.ErrNotFound) {
		return nil, platformError(e, trail.NotRun)
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
	m.SetCaller(callerFrom(ctx))
	// The name is only shown to callers, and objects hold text only.
	m.SetFilename(strings.ToValidUTF8(req.File.Name, string(utf8.RuneError)))
	m.SetPurpose(string(req.Purpose))
	m.SetCreatedUnix(time.Now().Unix())
	m.SetSegments([]*wire.Segment{g})
	m.SetSizeBytes(g.GetSizeBytes())
	e = s.createObject(ctx, filesKind, i, m)
	if e != nil {
		return nil, e
	}
	return fileResponse(m), nil
}

func fileResponse(file *wire.File) *oapi.File {
	return &oapi.File{
		ID:        file.GetId(),
		Object:    "file",
		Bytes:     file.GetSizeBytes(),
		CreatedAt: file.GetCreatedUnix(),
		Filename:  file.GetFilename(),
		Purpose:   file.GetPurpose(),
		Status:    "processed",
	}
}

// GetFile returns the metadata of a file of the caller.
func (s *Entry) GetFile(ctx context.Context, params oapi.GetFileParams) (*oapi.File, error) {
	m, e := s.findFile(ctx, params.FileID)
	if e != nil {
		return nil, e
	}
	return fileResponse(m), nil
}

// GetFileContent returns the content of a file of the caller.
func (s *Entry) GetFileContent(ctx context.Context, params oapi.GetFileContentParams) (oapi.GetFileContentOK, error) {
	m, e := s.findFile(ctx, params.FileID)
	if e != nil {
		return oapi.GetFileContentOK{}, e
	}
	r := &segmentReader{ctx: ctx, bulk: s.bulk, remaining: m.GetSegments()}
	// The first segment is opened here, so that a failure can still be returned
	// as a refusal. A later failure aborts the connection.
	e = r.openNext()
	if e != nil {
		return oapi.GetFileContentOK{}, trail.WrapError(e, "storage-unavailable", trail.NotRun,
			"the file can't be read now").WithRetryAfter(retryAfter)
	}
	return oapi.GetFileContentOK{Data: r}, nil
}

// findFile returns a file of the caller: an uploaded input, or the output of a
// job.
func (s *Entry) findFile(ctx context.Context, id string) (*wire.File, error) {
	m := &wire.File{}
	_, e := s.readObject(ctx, filesKind, id, m)
	switch {
	case e == nil && m.GetCaller() == callerFrom(ctx):
		return m, nil
	case e == nil:
		return nil, unknownFileError(id)
	case !errors.Is(e, trail.ErrNotFound):
		return nil, platformError(e, trail.NotRun)
	}
	return s.findOutput(ctx, id)
}

func unknownFileError(id string) error {
	return trail.NewError("unknown-file", trail.NotRun, "there is no file %q", id)
}

// segmentReader reads a sequence of segments as one stream.
type segmentReader struct {
	ctx       context.Context
	bulk      trail.BulkStore
	remaining []*wire.Segment
	// The segment that is being read, nil between segments.
	current io.ReadCloser
}

// openNext opens the next segment, if there is one.
func (s *segmentReader) openNext() error {
	if len(s.remaining) == 0 {
		return nil
	}
	r, e := s.bulk.Get(s.ctx, s.remaining[0], 0, 0)
	if e != nil {
		return e
	}
	s.remaining = s.remaining[1:]
	s.current = r
	return nil
}

func (s *segmentReader) Read(p []byte) (int, error) {
	for {
		if s.current == nil {
			if len(s.remaining) == 0 {
				return 0, io.EOF
			}
			e := s.openNext()
			if e != nil {
				return 0, e
			}
		}
		n, e := s.current.Read(p)
		if e != io.EOF {
			return n, e
		}
		_ = s.current.Close()
		s.current = nil
		if n > 0 {
			return n, nil
		}
	}
}

// Close closes the segment that is being read.
func (s *segmentReader) Close() error {
	if s.current == nil {
		return nil
	}
	return s.current.Close()
}
