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
	// Bounds one try, so that a call that hangs is tried again.
	tryTimeout = 60 * time.Second
)

// run makes one try: segments first, then the update that makes them count.
func (s *step) run(c context.Context, t trail.Store, b trail.BulkStore) tried {
	c, f := context.WithTimeout(c, tryTimeout)
	defer f()
	if s.a.uncertain {
		return s.readBack(c, t, nil)
	}
	e := s.put(c, b)
	if e != nil {
		return tried{kind: failed, e: e}
	}
	j := s.apply(time.Now())
	if !final(j.GetState()) && s.items >= 0 && j.GetState() == wire.JobState_JOB_STATE_IN_PROGRESS && countDone(j.GetDone()) >= s.items {
		j.SetState(wire.JobState_JOB_STATE_COMPLETED)
		j.SetEndedUnix(time.Now().Unix())
	}
	if final(j.GetState()) {
		e = files(c, t, j)
		if e != nil {
			return tried{kind: failed, e: e}
		}
	}
	o, e := object.Encode(kindJobs, j.GetId(), s.version, j)
	if e != nil {
		return tried{kind: failed, e: e}
	}
	o, e = t.Update(c, o)
	switch {
	case e == nil:
		return tried{kind: committed, job: j, version: o.Version()}
	case errors.Is(e, trail.ErrNotFound):
		return tried{kind: gone, e: e}
	case errors.Is(e, trail.ErrConflict) || trail.VerdictOf(e) != trail.NotRun:
		return s.readBack(c, t, e)
	}
	return tried{kind: failed, e: e}
}

// put writes the segments that an earlier try has not written.
func (s *step) put(c context.Context, b trail.BulkStore) error {
	if s.a.stored {
		return nil
	}
	var l [2][]io.Reader
	for _, r := range s.a.results {
		i := 0
		if r.failed {
			i = 1
		}
		l[i] = append(l[i], bytes.NewReader(r.line))
	}
	for i, p := range []**wire.Segment{&s.a.successes, &s.a.failures} {
		if len(l[i]) == 0 || *p != nil {
			continue
		}
		g, e := b.Put(c, io.MultiReader(l[i]...))
		if e != nil {
			return e
		}
		*p = g
	}
	s.a.stored = true
	return nil
}

// readBack reads the job after a conflict or a lost answer.
func (s *step) readBack(c context.Context, t trail.Store, cause error) tried {
	j, v, e := load(c, t, s.base.GetId())
	switch {
	case e == nil:
		return tried{kind: changed, job: j, version: v, e: cause}
	case errors.Is(e, trail.ErrNotFound):
		return tried{kind: gone, e: e}
	}
	return tried{kind: unknown, e: errors.Join(cause, e)}
}

// load reads a job and its version.
func load(c context.Context, t trail.Store, id string) (*wire.Job, int64, error) {
	o, e := t.Get(c, kindJobs, id)
	if e != nil {
		return nil, 0, e
	}
	j := &wire.Job{}
	return j, o.Version(), o.Decode(j)
}

// files creates the output files of a job that ends and names them in it.
func files(c context.Context, t trail.Store, j *wire.Job) error {
	if len(j.GetResults()) > 0 {
		d, e := file(c, t, j, "output", j.GetResults())
		if e != nil {
			return e
		}
		j.SetOutputFileId(d)
	}
	if len(j.GetErrors()) > 0 {
		d, e := file(c, t, j, "error", j.GetErrors())
		if e != nil {
			return e
		}
		j.SetErrorFileId(d)
	}
	return nil
}

// file creates one output file. Its id comes from what it holds: a file that
// is already there is the same one, and one whose job then changes under the
// writer is never named.
func file(c context.Context, t trail.Store, j *wire.Job, what string, l []*wire.Segment) (string, error) {
	h := sha256.New()
	h.Write([]byte(j.GetId() + "\x00" + what))
	var n int64
	for _, g := range l {
		h.Write([]byte("\x00" + g.GetId()))
		n += g.GetSizeBytes()
	}
	f := &wire.File{}
	f.SetId("file-" + hex.EncodeToString(h.Sum(nil))[:24])
	f.SetCaller(j.GetCaller())
	f.SetFilename(j.GetId() + "_" + what + ".jsonl")
	f.SetPurpose("batch_output")
	f.SetCreatedUnix(j.GetEndedUnix())
	f.SetSegments(l)
	f.SetSizeBytes(n)
	o, e := object.Encode(kindFiles, f.GetId(), 0, f)
	if e != nil {
		return "", e
	}
	_, e = t.Create(c, o)
	if e != nil && !errors.Is(e, trail.ErrExists) {
		return "", e
	}
	return f.GetId(), nil
}

// stateName returns a state as it stands in the log.
func stateName(s wire.JobState) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(s.String(), "JOB_STATE_"), "_", "-"))
}
