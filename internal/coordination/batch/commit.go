package batch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

// Bytes of a results object beside its results, each with a comma, as it is sent to the
// platform.
const partBytes = len(`{"results":[]}`) - len(",")

// commitLoop writes the pending results of a job after a delay, and again until
// none are left.
func (s *Jobs) commitLoop(job *ownedJob, delay time.Duration) {
	for {
		sleep(job.ctx, delay)
		e := s.commit(job.ctx, job)
		s.mu.Lock()
		if job.ctx.Err() != nil || e == nil && len(job.pendingResults) == 0 {
			job.committing = false
			s.mu.Unlock()
			break
		}
		s.mu.Unlock()
		delay = commitWindow
	}
	s.completeJob(job)
}

// commit writes the pending results of a job. Those that an owner before or
// after this one has listed already are dropped. A failed write is repeated at
// once only if the results have changed since.
func (s *Jobs) commit(ctx context.Context, job *ownedJob) error {
	for {
		l, n, p := s.prunePending(job)
		if len(l) == 0 {
			return nil
		}
		e := s.appendResults(ctx, job, l, n, p)
		if e == nil {
			continue
		}
		if isOutdatedOrUnknown(e) {
			// The cached part is outdated, or the write may have taken effect.
			f := s.refreshResults(ctx, job.id, job.cached)
			if f == nil && s.newestPart(job) != p {
				continue
			}
			e = errors.CombineErrors(e, f)
		}
		s.logger.WithError(e).WithFields(log.Fields{"job-id": job.id, "results": len(l)}).Warn("batch: write of results failed, they stay pending")
		return e
	}
}

// isOutdatedOrUnknown reports whether a write failed because its object has changed,
// or may have taken effect.
func isOutdatedOrUnknown(err error) bool {
	return errors.Is(err, trail.ErrConflict) || errors.Is(err, trail.ErrExists) || trail.VerdictOf(err) != trail.NotRun
}

// prunePending removes the results that are listed already from the pending
// ones. It returns the others and the newest results object with its index, nil
// and -1 if there is none. Only that version of the object is known to lack
// them: commits of a job may run at the same time.
func (s *Jobs) prunePending(job *ownedJob) ([]*wire.BatchResult, int, *part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := job.cached.listedIDs()
	var l []*wire.BatchResult
	for _, r := range job.pendingResults {
		if !m[r.GetId()] {
			l = append(l, r)
			m[r.GetId()] = true
		}
	}
	job.pendingResults = l
	return l, len(job.cached.parts) - 1, job.cached.newestPart()
}

// newestPart returns the newest results object of a job that is known, nil if there
// is none.
func (s *Jobs) newestPart(job *ownedJob) *part {
	s.mu.Lock()
	defer s.mu.Unlock()
	return job.cached.newestPart()
}

// appendResults adds results to the newest results object, as many as fit. An
// object without room is marked as full by an update of its own, so that nobody
// appends to it any longer and the next object is created only once.
func (s *Jobs) appendResults(ctx context.Context, job *ownedJob, results []*wire.BatchResult, index int, newest *part) error {
	if newest == nil || newest.value.GetFull() {
		f, n := s.fitResults(0, results)
		v := wire.BatchResults_builder{Results: f}.Build()
		if n > s.payloadBytes {
			// An earlier version of the program would append to it.
			v.SetFull(true)
		}
		return s.writePart(ctx, job, index+1, 0, n, v)
	}
	n := newest.size
	if n == 0 {
		n = object.Size(newest.value)
	}
	f, n := s.fitResults(n, results)
	v := proto.CloneOf(newest.value)
	if len(f) == 0 {
		v.SetFull(true)
	} else {
		v.SetResults(append(v.GetResults(), f...))
	}
	return s.writePart(ctx, job, index, newest.version, n, v)
}

// fitResults returns the results for which a results object of size bytes has room,
// and its size with them. An empty object, of size 0, takes at least one.
func (s *Jobs) fitResults(size int, results []*wire.BatchResult) ([]*wire.BatchResult, int) {
	n := size
	if n == 0 {
		n = partBytes
	}
	for i, r := range results {
		w := object.Size(r) + len(",")
		if n+w > s.payloadBytes && (i > 0 || size > 0) {
			return results[:i], n
		}
		n += w
	}
	return results, n
}

// maxOutput returns the most bytes that the output of an item may take in a results
// object of its own, as JSON.
func (s *Jobs) maxOutput(item *wire.BatchItem) int {
	return s.singleBytes - partBytes - len(",") - object.Size(newResult(item.GetId(), false, ""))
}

func newResult(id string, failed bool, output string) *wire.BatchResult {
	return wire.BatchResult_builder{Id: &id, Failed: &failed, Output: &output}.Build()
}

// writePart creates or replaces a results object of size bytes.
func (s *Jobs) writePart(ctx context.Context, job *ownedJob, index int, version int64, size int, value *wire.BatchResults) error {
	b, e := object.Encode(kindResults, partName(job.id, index), version, value)
	if e != nil {
		return e
	}
	s.setWritesSettled(job, false)
	if version == 0 {
		b, e = s.store.Create(ctx, b)
	} else {
		b, e = s.store.Update(ctx, b)
	}
	if e != nil {
		return e
	}
	s.cachePart(job.cached, index, &part{version: b.Version(), value: value, size: size})
	s.setWritesSettled(job, true)
	s.logger.WithFields(log.Fields{"job-id": job.id, "part": index, "results": len(value.GetResults())}).Info("batch: results listed")
	return nil
}

// setWritesSettled records whether the outcome of all writes to the results of
// a job is known.
func (s *Jobs) setWritesSettled(job *ownedJob, settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job.writesSettled = settled
}

// completeJob marks a job as complete and stops it, once all its items have a
// listed result.
func (s *Jobs) completeJob(job *ownedJob) {
	s.mu.Lock()
	d := s.owned[job.id] == job && s.agenda.Unfinished(job.id) == 0 && len(job.pendingResults) == 0
	s.mu.Unlock()
	if !d {
		return
	}
	s.mu.Lock()
	b := job.cached.object
	s.mu.Unlock()
	f := func(j *wire.BatchJob) bool {
		d := !j.GetComplete()
		j.SetComplete(true)
		return d
	}
	e := s.updateObject(job.ctx, b, f)
	for e != nil && job.ctx.Err() == nil {
		e = s.updateJob(job.ctx, job.id, f)
		if e == nil || errors.Is(e, trail.ErrNotFound) {
			// A job whose object is gone needs no mark.
			break
		}
		s.logger.WithError(e).WithField("job-id", job.id).Warn("batch: marking of a job as complete failed and is retried")
		if !sleep(job.ctx, time.Second) {
			return
		}
	}
	s.stopJob(job.id, "complete")
}
