package entry

import (
	"cmp"
	"context"
	"math/bits"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
)

// Prefixes of the ids of job outputs whose owner wrote no file object.
const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

// batchAnswer returns a job in the form of the OpenAI API.
func batchAnswer(j *wire.Job) *oapi.Batch {
	b := &oapi.Batch{
		ID:               j.GetId(),
		Object:           "batch",
		Endpoint:         j.GetEndpoint(),
		InputFileID:      j.GetInputFileId(),
		CompletionWindow: j.GetCompletionWindow(),
		Status:           stateName(j.GetState()),
		CreatedAt:        j.GetCreatedUnix(),
		ExpiresAt:        j.GetDeadlineUnix(),
		RequestCounts:    requestCounts(j),
	}
	if len(j.GetMetadata()) > 0 {
		b.Metadata = oapi.NewOptBatchMetadata(j.GetMetadata())
	}
	switch j.GetState() {
	case wire.JobState_JOB_STATE_COMPLETED:
		b.CompletedAt = oapi.NewOptInt64(j.GetEndedUnix())
	case wire.JobState_JOB_STATE_CANCELLED:
		b.CancelledAt = oapi.NewOptInt64(j.GetEndedUnix())
	case wire.JobState_JOB_STATE_FAILED:
	default:
		return b
	}
	b.OutputFileID = outputID(j.GetOutputFileId(), outputPrefix, j, j.GetResults())
	b.ErrorFileID = outputID(j.GetErrorFileId(), errorsPrefix, j, j.GetErrors())
	return b
}

func outputID(id, prefix string, j *wire.Job, l []*wire.Segment) oapi.OptString {
	if id == "" && len(l) > 0 {
		id = prefix + j.GetId()
	}
	if id == "" {
		return oapi.OptString{}
	}
	return oapi.NewOptString(id)
}

func stateName(v wire.JobState) string {
	switch v {
	case wire.JobState_JOB_STATE_CANCELLING:
		return "cancelling"
	case wire.JobState_JOB_STATE_CANCELLED:
		return "cancelled"
	case wire.JobState_JOB_STATE_COMPLETED:
		return "completed"
	case wire.JobState_JOB_STATE_FAILED:
		return "failed"
	}
	return "in_progress"
}

// requestCounts counts the items whose completion is committed. The failed
// ones are among them.
func requestCounts(j *wire.Job) oapi.BatchRequestCounts {
	n := 0
	for _, b := range j.GetDone() {
		n += bits.OnesCount8(b)
	}
	return oapi.BatchRequestCounts{
		Total:     int(j.GetItems()),
		Completed: max(n-int(j.GetFailed()), 0),
		Failed:    int(j.GetFailed()),
	}
}

// output returns the results or the errors of a job of the caller as a file.
func (s *Entry) output(c context.Context, id string) (*wire.File, error) {
	l, e := s.outputOwners(c, id)
	if e != nil {
		return nil, e
	}
	for _, j := range l {
		if j.GetCaller() != callerOf(c) {
			continue
		}
		b := batchAnswer(j)
		switch id {
		case b.OutputFileID.Value:
			return outputFile(id, "batch_output", j, j.GetResults()), nil
		case b.ErrorFileID.Value:
			return outputFile(id, "batch_output", j, j.GetErrors()), nil
		}
	}
	return nil, unknownFile(id)
}

// outputOwners returns the jobs that may have the output. Only ids that job
// owners choose themselves need a list of all jobs.
func (s *Entry) outputOwners(c context.Context, id string) ([]*wire.Job, error) {
	for _, p := range []string{outputPrefix, errorsPrefix} {
		n, b := strings.CutPrefix(id, p)
		if !b {
			continue
		}
		j := &wire.Job{}
		_, e := s.read(c, jobsKind, n, j)
		if errors.Is(e, trail.ErrNotFound) {
			return nil, unknownFile(id)
		}
		if e != nil {
			return nil, unavailable(e, trail.NotRun)
		}
		return []*wire.Job{j}, nil
	}
	return s.jobs(c, callerOf(c))
}

func outputFile(id, purpose string, j *wire.Job, l []*wire.Segment) *wire.File {
	m := &wire.File{}
	m.SetId(id)
	m.SetCaller(j.GetCaller())
	m.SetFilename(id + ".jsonl")
	m.SetPurpose(purpose)
	m.SetCreatedUnix(j.GetEndedUnix())
	m.SetSegments(l)
	var n int64
	for _, g := range l {
		n += g.GetSizeBytes()
	}
	m.SetSizeBytes(n)
	return m
}

// jobs returns the jobs of a caller, or all when it is empty, newest first.
func (s *Entry) jobs(c context.Context, caller string) ([]*wire.Job, error) {
	l, e := s.list(c, jobsKind)
	if e != nil {
		return nil, unavailable(e, trail.NotRun)
	}
	r := make([]*wire.Job, 0, len(l))
	for _, o := range l {
		j := &wire.Job{}
		e = o.Decode(j)
		if e != nil {
			s.l.WithError(e).WithField("job", o.Name()).Error("entry: job is unreadable")
			continue
		}
		if caller == "" || j.GetCaller() == caller {
			r = append(r, j)
		}
	}
	slices.SortFunc(r, func(a, b *wire.Job) int {
		return cmp.Or(cmp.Compare(b.GetCreatedUnix(), a.GetCreatedUnix()), cmp.Compare(a.GetId(), b.GetId()))
	})
	return r, nil
}

// ListBatches returns a page of the caller's jobs.
func (s *Entry) ListBatches(ctx context.Context, params oapi.ListBatchesParams) (*oapi.BatchList, error) {
	l, e := s.jobs(ctx, callerOf(ctx))
	if e != nil {
		return nil, e
	}
	if params.After.Set {
		i := slices.IndexFunc(l, func(j *wire.Job) bool { return j.GetId() == params.After.Value })
		if i < 0 {
			return nil, trail.NewError("unknown-batch", trail.NotRun, "there is no batch %q", params.After.Value)
		}
		l = l[i+1:]
	}
	n := min(params.Limit.Value, len(l))
	return batchList(l[:n], n < len(l)), nil
}

func batchList(l []*wire.Job, more bool) *oapi.BatchList {
	r := &oapi.BatchList{Object: "list", Data: make([]oapi.Batch, 0, len(l)), HasMore: more}
	for _, j := range l {
		r.Data = append(r.Data, *batchAnswer(j))
	}
	if len(l) > 0 {
		r.FirstID = oapi.NewOptString(l[0].GetId())
		r.LastID = oapi.NewOptString(l[len(l)-1].GetId())
	}
	return r
}
