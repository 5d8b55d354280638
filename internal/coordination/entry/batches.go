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

// Prefixes of the ids of outputs for which the job's owner wrote no file object.
const (
	outputPrefix = "output-"
	errorsPrefix = "errors-"
)

// batchResponse returns a job as a batch of the OpenAI API.
func batchResponse(job *wire.Job) *oapi.Batch {
	b := &oapi.Batch{
		ID:               job.GetId(),
		Object:           "batch",
		Endpoint:         job.GetEndpoint(),
		InputFileID:      job.GetInputFileId(),
		CompletionWindow: job.GetCompletionWindow(),
		Status:           statusName(job.GetState()),
		CreatedAt:        job.GetCreatedUnix(),
		ExpiresAt:        job.GetDeadlineUnix(),
		RequestCounts:    requestCounts(job),
	}
	if len(job.GetMetadata()) > 0 {
		b.Metadata = oapi.NewOptBatchMetadata(job.GetMetadata())
	}
	switch job.GetState() {
	case wire.JobState_JOB_STATE_COMPLETED:
		b.CompletedAt = oapi.NewOptInt64(job.GetEndedUnix())
	case wire.JobState_JOB_STATE_CANCELLED:
		b.CancelledAt = oapi.NewOptInt64(job.GetEndedUnix())
	case wire.JobState_JOB_STATE_FAILED:
	default:
		return b
	}
	b.OutputFileID = outputID(job.GetOutputFileId(), outputPrefix, job, job.GetResults())
	b.ErrorFileID = outputID(job.GetErrorFileId(), errorsPrefix, job, job.GetErrors())
	return b
}

func outputID(id, prefix string, job *wire.Job, segments []*wire.Segment) oapi.OptString {
	if id == "" && len(segments) > 0 {
		id = prefix + job.GetId()
	}
	if id == "" {
		return oapi.OptString{}
	}
	return oapi.NewOptString(id)
}

func statusName(state wire.JobState) string {
	switch state {
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

// requestCounts counts the items by the bits of the job's Done field. It has a
// bit for each item whose result is committed, including the failed ones.
func requestCounts(job *wire.Job) oapi.BatchRequestCounts {
	n := 0
	for _, b := range job.GetDone() {
		n += bits.OnesCount8(b)
	}
	return oapi.BatchRequestCounts{
		Total:     int(job.GetItems()),
		Completed: max(n-int(job.GetFailed()), 0),
		Failed:    int(job.GetFailed()),
	}
}

// findOutput returns the file of the results or errors of one of the caller's
// jobs.
func (s *Entry) findOutput(ctx context.Context, id string) (*wire.File, error) {
	l, e := s.outputCandidates(ctx, id)
	if e != nil {
		return nil, e
	}
	for _, j := range l {
		if j.GetCaller() != callerFrom(ctx) {
			continue
		}
		b := batchResponse(j)
		switch id {
		case b.OutputFileID.Value:
			return outputFile(id, "batch_output", j, j.GetResults()), nil
		case b.ErrorFileID.Value:
			return outputFile(id, "batch_output", j, j.GetErrors()), nil
		}
	}
	return nil, unknownFileError(id)
}

// outputCandidates returns the jobs that may have the output. An id with a known
// prefix names its job; any other id was chosen by the job's owner, and all jobs
// of the caller have to be searched.
func (s *Entry) outputCandidates(ctx context.Context, id string) ([]*wire.Job, error) {
	for _, p := range []string{outputPrefix, errorsPrefix} {
		n, b := strings.CutPrefix(id, p)
		if !b {
			continue
		}
		j := &wire.Job{}
		_, e := s.readObject(ctx, jobsKind, n, j)
		if errors.Is(e, trail.ErrNotFound) {
			return nil, unknownFileError(id)
		}
		if e != nil {
			return nil, platformError(e, trail.NotRun)
		}
		return []*wire.Job{j}, nil
	}
	return s.callerJobs(ctx, callerFrom(ctx))
}

func outputFile(id, purpose string, job *wire.Job, segments []*wire.Segment) *wire.File {
	m := &wire.File{}
	m.SetId(id)
	m.SetCaller(job.GetCaller())
	m.SetFilename(id + ".jsonl")
	m.SetPurpose(purpose)
	m.SetCreatedUnix(job.GetEndedUnix())
	m.SetSegments(segments)
	var n int64
	for _, g := range segments {
		n += g.GetSizeBytes()
	}
	m.SetSizeBytes(n)
	return m
}

// callerJobs returns the jobs of a caller, newest first. An empty caller selects
// the jobs of all callers. Jobs that can't be decoded are left out.
func (s *Entry) callerJobs(ctx context.Context, caller string) ([]*wire.Job, error) {
	l, e := s.listObjects(ctx, jobsKind)
	if e != nil {
		return nil, platformError(e, trail.NotRun)
	}
	r := make([]*wire.Job, 0, len(l))
	for _, o := range l {
		j := &wire.Job{}
		e = o.Decode(j)
		if e != nil {
			s.logger.WithError(e).WithField("job", o.Name()).Error("entry: job object not decoded")
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
	l, e := s.callerJobs(ctx, callerFrom(ctx))
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

func batchList(jobs []*wire.Job, hasMore bool) *oapi.BatchList {
	r := &oapi.BatchList{Object: "list", Data: make([]oapi.Batch, 0, len(jobs)), HasMore: hasMore}
	for _, j := range jobs {
		r.Data = append(r.Data, *batchResponse(j))
	}
	if len(jobs) > 0 {
		r.FirstID = oapi.NewOptString(jobs[0].GetId())
		r.LastID = oapi.NewOptString(jobs[len(jobs)-1].GetId())
	}
	return r
}
