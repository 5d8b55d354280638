package answer

import (
	"context"
	"os"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// extent is the part of a file that held acknowledged records at the start of a
// scan.
type extent struct {
	file *file
	size int64
}

// Scan calls visit for each intact answer that is on disk when Scan starts and is
// the one kept for its caller and request id. Files are read one record at a
// time. A file that expires during the scan is skipped. The error is that of
// visit or of ctx, or os.ErrClosed.
func (s *Log) Scan(ctx context.Context, visit func(*wire.Answer) error) error {
	r := make(chan []extent, 1)
	select {
	case s.scans <- r:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return os.ErrClosed
	}
	for _, x := range <-r {
		e := s.scanFile(ctx, x, visit)
		if e != nil {
			return e
		}
	}
	return nil
}

func (s *Log) scanFile(ctx context.Context, part extent, visit func(*wire.Answer) error) error {
	for o := int64(0); o < part.size; {
		a, n, e := readRecord(part.file.handle, o)
		if e == errCorruptHeader {
			return nil
		}
		if e == nil {
			var p location
			p, e = s.locate(ctx, a.GetCaller(), a.GetRequestId())
			if e == nil && p.file == part.file && p.offset == o {
				e = visit(a)
			}
			if e != nil {
				return e
			}
		}
		o += n
	}
	return nil
}

// extents returns the acknowledged parts of the current files.
func (t *state) extents() []extent {
	l := make([]extent, 0, len(t.files))
	for _, f := range t.files {
		l = append(l, extent{f, f.size})
	}
	return l
}
