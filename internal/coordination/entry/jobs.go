package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/state/object"
)

const jobsKind = "jobs"

// CreateBatch creates a job. A resubmission returns the job that exists.
func (s *Entry) CreateBatch(ctx context.Context, req *oapi.BatchRequest, params oapi.CreateBatchParams) (*oapi.Batch, error) {
	k := callerFrom(ctx)
	i := jobID(k, req, params.IdempotencyKey.Value)
	j := &wire.Job{}
	_, e := s.readObject(ctx, jobsKind, i, j)
	if e == nil {
		return matchingJob(j, req)
	}
	if !errors.Is(e, trail.ErrNotFound) {
		return nil, platformError(e, trail.NotRun)
	}
	n, e := s.recheckInput(ctx, req.InputFileID)
	if e != nil {
		return nil, e
	}
	t := time.Now()
	j.SetId(i)
	j.SetCaller(k)
	j.SetKey(params.IdempotencyKey.Value)
	j.SetInputFileId(req.InputFileID)
	j.SetEndpoint(string(req.Endpoint))
	j.SetService(n.service.GetName())
	j.SetState(wire.JobState_JOB_STATE_IN_PROGRESS)
	j.SetItems(int32(n.items))
	j.SetCreatedUnix(t.Unix())
	j.SetDeadlineUnix(t.Add(windowDuration(req.CompletionWindow)).Unix())
	j.SetCompletionWindow(req.CompletionWindow)
	j.SetMetadata(req.Metadata.Value)
	j.SetLastAttempt(uuid.NewString())
	e = s.createObject(ctx, jobsKind, i, j)
	if e != nil {
		return nil, e
	}
	return matchingJob(j, req)
}

// jobID derives the id of a job from the caller's idempotency key. Without a
// key, requests with the same input, endpoint and window are the same job.
func jobID(caller string, request *oapi.BatchRequest, key string) string {
	if key != "" {
		return deriveID("batch-", caller, "key", key)
	}
	return deriveID("batch-", caller, "content", request.InputFileID, string(request.Endpoint), request.CompletionWindow)
}

// matchingJob returns the job if it matches the request. Otherwise the
// idempotency key was used for another job, and the request is refused.
func matchingJob(job *wire.Job, request *oapi.BatchRequest) (*oapi.Batch, error) {
	if job.GetInputFileId() != request.InputFileID || job.GetEndpoint() != string(request.Endpoint) || job.GetCompletionWindow() != request.CompletionWindow {
		return nil, trail.NewError("key-mismatch", trail.NotRun, "the idempotency key was used with another job")
	}
	return batchResponse(job), nil
}

// recheckInput validates the input file again, because the models may have
// changed since the upload.
func (s *Entry) recheckInput(ctx context.Context, id string) (*inputSummary, error) {
	m := &wire.File{}
	_, e := s.readObject(ctx, filesKind, id, m)
	if errors.Is(e, trail.ErrNotFound) || e == nil && m.GetCaller() != callerFrom(ctx) {
		return nil, unknownFileError(id)
	}
	if e != nil {
		return nil, platformError(e, trail.NotRun)
	}
	r := &segmentReader{ctx: ctx, bulk: s.bulk, remaining: m.GetSegments()}
	defer r.Close()
	n, e := s.checkInput(callerFrom(ctx), r)
	var f *trail.Error
	if errors.As(e, &f) && f.Code() == "bad-input" {
		return nil, f
	}
	if e != nil {
		return nil, trail.WrapError(e, "storage-unavailable", trail.NotRun, "the input file can't be read now").WithRetryAfter(retryAfter)
	}
	return n, nil
}

// windowDuration returns the duration of a completion window, whose form the
// generated server has validated.
func windowDuration(text string) time.Duration {
	n, _ := strconv.Atoi(text[:len(text)-1])
	u := map[byte]time.Duration{'s': time.Second, 'm': time.Minute, 'h': time.Hour, 'd': 24 * time.Hour}
	return time.Duration(n) * u[text[len(text)-1]]
}

// GetBatch returns the state of a job of the caller.
func (s *Entry) GetBatch(ctx context.Context, params oapi.GetBatchParams) (*oapi.Batch, error) {
	j := &wire.Job{}
	_, e := s.readJob(ctx, params.BatchID, callerFrom(ctx), j)
	if e != nil {
		return nil, e
	}
	return batchResponse(j), nil
}

// readJob reads a job of the caller into the given message and returns its
// version. Operators, for whom the caller is empty, have access to all jobs.
func (s *Entry) readJob(ctx context.Context, id, caller string, job *wire.Job) (int64, error) {
	n, e := s.readObject(ctx, jobsKind, id, job)
	if errors.Is(e, trail.ErrNotFound) || e == nil && caller != "" && job.GetCaller() != caller {
		return 0, trail.NewError("unknown-batch", trail.NotRun, "there is no batch %q", id)
	}
	if e != nil {
		return 0, platformError(e, trail.NotRun)
	}
	return n, nil
}

// CancelBatch cancels a job of the caller.
func (s *Entry) CancelBatch(ctx context.Context, params oapi.CancelBatchParams) (*oapi.Batch, error) {
	return s.cancel(ctx, params.BatchID, callerFrom(ctx))
}

// cancel sets the job's state to cancelling, upon which the job's owner stops
// it. After a failed write that met a conflict or may have taken effect, the job
// is read back, and the write is repeated if it is still needed.
func (s *Entry) cancel(ctx context.Context, id, caller string) (*oapi.Batch, error) {
	j := &wire.Job{}
	// The error of earlier writes.
	var w error
	for range writeAttempts {
		n, e := s.readJob(ctx, id, caller, j)
		if e != nil {
			// An earlier write whose response was lost may have cancelled the job.
			if w != nil {
				return nil, platformError(w, trail.VerdictOf(w))
			}
			return nil, e
		}
		switch j.GetState() {
		case wire.JobState_JOB_STATE_CANCELLING, wire.JobState_JOB_STATE_CANCELLED:
			return batchResponse(j), nil
		case wire.JobState_JOB_STATE_COMPLETED, wire.JobState_JOB_STATE_FAILED:
			return nil, trail.NewError("job-ended", trail.NotRun, "batch %q has ended and can't be cancelled", id)
		}
		j.SetState(wire.JobState_JOB_STATE_CANCELLING)
		j.SetLastAttempt(uuid.NewString())
		o, e := object.Encode(jobsKind, id, n, j)
		if e != nil {
			return nil, e
		}
		_, e = s.updateOnce(ctx, o)
		if e == nil {
			return batchResponse(j), nil
		}
		if trail.VerdictOf(e) == trail.NotRun && !errors.Is(e, trail.ErrConflict) && w == nil {
			return nil, platformError(e, trail.NotRun)
		}
		w = lessCertain(w, e)
	}
	return nil, platformError(w, trail.VerdictOf(w))
}

// lessCertain returns the error that leaves the outcome less certain: the first
// one if it may have run, otherwise the second one.
func lessCertain(first, second error) error {
	if first != nil && trail.VerdictOf(first) == trail.MayHaveRun {
		return first
	}
	return second
}
