package batch

import (
	"context"
	"time"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

const (
	// Bytes of an item beside its texts.
	itemOverheadBytes = 300
	// Retry-After of a job for which there is no room. Room comes with the end of another
	// job.
	roomRetryAfter = 2 * time.Second
	codeNoRoom     = "client-memory"
)

// itemsSize returns the bytes that items take in memory.
func itemsSize(items []*wire.BatchItem) int64 {
	n := 0
	for _, i := range items {
		n += itemOverheadBytes + len(i.GetId()) + len(i.GetPath()) + len(i.GetBody())
		for _, h := range i.GetHeaders() {
			n += itemOverheadBytes + len(h.GetName())
			for _, v := range h.GetValues() {
				n += len(v)
			}
		}
	}
	return int64(n)
}

// LimitItems bounds the bytes of the items of the jobs that are accepted here and not
// complete. It must be called before the first job. Jobs of other fronts are taken over
// beyond the limit, since nobody else may run them.
func (s *Jobs) LimitItems(bytes int64) { s.itemLimit = bytes }

// reserveItems takes room for the items of a job that is being accepted, until release is
// called. Without room it returns an error with the verdict NotRun, unless the job was
// accepted before.
func (s *Jobs) reserveItems(ctx context.Context, id string, items []*wire.BatchItem) (release func(), accepted bool, err error) {
	n := itemsSize(items)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.itemLimit == 0 || s.trimItems(s.itemLimit-n) {
		s.acceptingBytes += n
		return func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.acceptingBytes -= n
		}, false, nil
	}
	s.mu.Unlock()
	_, e := s.getJob(ctx, id)
	s.mu.Lock()
	if e == nil {
		return nil, true, nil
	}
	if trail.CodeOf(e) != "job-missing" {
		return nil, false, e
	}
	return nil, false, trail.NewError(codeNoRoom, trail.NotRun, "no room for the items of the job").WithPlace(id).WithRetryAfter(roomRetryAfter)
}

// trimItems reports whether the items in memory take at most a number of bytes. To that
// end it forgets those of jobs that do not run here, which can be read again. The caller
// holds the lock.
func (s *Jobs) trimItems(most int64) bool {
	n := s.acceptingBytes
	for _, o := range s.owned {
		n += o.itemBytes
	}
	m := n
	for d, k := range s.cached {
		if s.owned[d] == nil {
			m += itemsSize(k.items)
		}
	}
	if m <= most {
		return true
	}
	for d, k := range s.cached {
		if s.owned[d] == nil {
			k.items = nil
		}
	}
	return n <= most
}
