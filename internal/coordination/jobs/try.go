package jobs

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	kindJobs  = "jobs"
	kindFiles = "files"
	// Limits one try, so that a request that hangs is retried.
	tryTimeout = 60 * time.Second
)

// run makes one try: it writes the segments first, then the update of the job
// that makes them count. After a try with an unknown outcome it only reads the
// job.
func (s *commitTry) run(ctx context.Context, store trail.Store, bulk trail.BulkStore) tryResult {
	c, f := context.WithTimeout(ctx, tryTimeout)
	defer f()
	if s.commit.outcomeUnknown {
		return s.readBack(c, store, nil)
	}
	e := s.putSegments(c, bulk)
	if e != nil {
		return tryResult{status: tryFailed, err: e}
	}
	j := s.updatedJob(time.Now())
	if !isFinal(j.GetState()) && s.itemCount >= 0 && j.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS && countDone(j.GetDone()) >= s.itemCount {
		j.SetState(wire.JobState_JOB_STATE_COMPLETED)
		j.SetEndedUnix(time.Now().Unix())
	}
	if isFinal(j.GetState()) {
		e = createOutputFiles(c, store, j)
		if e != nil {
			return tryResult{status: tryFailed, err: e}
		}
	}
	o, e := object.Encode(kindJobs, j.GetId(), s.version, j)
	if e != nil {
		return tryResult{status: tryFailed, err: e}
	}
	o, e = store.Update(c, o)
	switch {
	case e == nil:
		return tryResult{status: tryCommitted, job: j, version: o.Version()}
	case errors.Is(e, trail.ErrNotFound):
		return tryResult{status: tryJobMissing, err: e}
	case errors.Is(e, trail.ErrConflict) || trail.VerdictOf(e) != trail.NotRun:
		return s.readBack(c, store, e)
	}
	return tryResult{status: tryFailed, err: e}
}

// putSegments writes the segments that earlier tries have not written.
func (s *commitTry) putSegments(ctx context.Context, bulk trail.BulkStore) error {
	if s.commit.stored {
		return nil
	}
	var l [2][]io.Reader
	for _, r := range s.commit.results {
		i := 0
		if r.failed {
			i = 1
		}
		l[i] = append(l[i], bytes.NewReader(r.line))
	}
	for i, p := range []**wire.Segment{&s.commit.successes, &s.commit.failures} {
		if len(l[i]) == 0 || *p != nil {
			continue
		}
		g, e := bulk.Put(ctx, io.MultiReader(l[i]...))
		if e != nil {
			return e
		}
		*p = g
	}
	s.commit.stored = true
	return nil
}

// readBack reads the job after a conflict or a lost response.
func (s *commitTry) readBack(ctx context.Context, store trail.Store, cause error) tryResult {
	j, v, e := loadJob(ctx, store, s.base.GetId())
	switch {
	case e == nil:
		return tryResult{status: tryReadBack, job: j, version: v, err: cause}
	case errors.Is(e, trail.ErrNotFound):
		return tryResult{status: tryJobMissing, err: e}
	}
	return tryResult{status: tryUnknown, err: errors.Join(cause, e)}
}

func loadJob(ctx context.Context, store trail.Store, id string) (*wire.Job, int64, error) {
	o, e := store.Get(ctx, kindJobs, id)
	if e != nil {
		return nil, 0, e
	}
	j := &wire.Job{}
	return j, o.Version(), o.Decode(j)
}

// createOutputFiles creates the output files of a job that ends and sets their
// ids in the job.
func createOutputFiles(ctx context.Context, store trail.Store, job *wire.Job) error {
	if len(job.GetResults()) > 0 {
		d, e := createOutputFile(ctx, store, job, "output", job.GetResults())
		if e != nil {
			return e
		}
		job.SetOutputFileId(d)
	}
	if len(job.GetErrors()) > 0 {
		d, e := createOutputFile(ctx, store, job, "error", job.GetErrors())
		if e != nil {
			return e
		}
		job.SetErrorFileId(d)
	}
	return nil
}

// createOutputFile creates one output file and returns its id. The id is derived
// from the segments, so that a file that exists already is the same one. If
// another writer changes the job before this one is updated, no job refers to
// the file.
func createOutputFile(ctx context.Context, store trail.Store, job *wire.Job, content string, segments []*wire.Segment) (string, error) {
	h := sha256.New()
	h.Write([]byte(job.GetId() + "\x00" + content))
	var n int64
	for _, g := range segments {
		h.Write([]byte("\x00" + g.GetId()))
		n += g.GetSizeBytes()
	}
	f := &wire.File{}
	f.SetId("file-" + hex.EncodeToString(h.Sum(nil))[:24])
	f.SetCaller(job.GetCaller())
	f.SetFilename(job.GetId() + "_" + content + ".jsonl")
	f.SetPurpose("batch_output")
	f.SetCreatedUnix(job.GetEndedUnix())
	f.SetSegments(segments)
	f.SetSizeBytes(n)
	o, e := object.Encode(kindFiles, f.GetId(), 0, f)
	if e != nil {
		return "", e
	}
	_, e = store.Create(ctx, o)
	if e != nil && !errors.Is(e, trail.ErrExists) {
		return "", e
	}
	return f.GetId(), nil
}

// stateName returns a job state as it is written to the log.
func stateName(state wire.JobState) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(state.String(), "JOB_STATE_"), "_", "-"))
}
