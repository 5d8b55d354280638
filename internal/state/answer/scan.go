package answer

import (
	"context"
	"os"

	"bulrushtrail.example/trail/internal/protocol/wire"
)

// extent is the part of a file that holds acknowledged records.
type extent struct {
	f    *file
	size int64
}

// Scan calls f with each intact answer that is on disk when Scan begins and is
// the one that stays for its caller and request id. Files are read one record
// at a time. A file that expires meanwhile is left out. The error is that of
// f, of c, or os.ErrClosed.
func (s *Log) Scan(c context.Context, f func(*wire.Answer) error) error {
	r := make(chan []extent, 1)
	select {
	case s.scans <- r:
	case <-c.Done():
		return c.Err()
	case <-s.done:
		return os.ErrClosed
	}
	for _, x := range <-r {
		e := s.scanFile(c, x, f)
		if e != nil {
			return e
		}
	}
	return nil
}

func (s *Log) scanFile(c context.Context, x extent, f func(*wire.Answer) error) error {
	for o := int64(0); o < x.size; {
		a, n, e := readRecord(x.f.f, o)
		if e == errHeader {
			return nil
		}
		if e == nil {
			var p location
			p, e = s.locate(c, a.GetCaller(), a.GetRequestId())
			if e == nil && p.f == x.f && p.offset == o {
				e = f(a)
			}
			if e != nil {
				return e
			}
		}
		o += n
	}
	return nil
}

// extents returns the files as they are now.
func (t *state) extents() []extent {
	l := make([]extent, 0, len(t.files))
	for _, f := range t.files {
		l = append(l, extent{f, f.size})
	}
	return l
}
