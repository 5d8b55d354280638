package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	ht "github.com/ogen-go/ogen/http"
	"github.com/ogen-go/ogen/ogenerrors"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
)

// statusByCode holds the HTTP statuses of error codes. For other codes, the
// status depends on the verdict.
var statusByCode = map[string]int{
	"bad-request":           http.StatusBadRequest,
	"bad-input":             http.StatusBadRequest,
	"unauthorized":          http.StatusUnauthorized,
	"unknown-path":          http.StatusNotFound,
	"unknown-model":         http.StatusNotFound,
	"unknown-service":       http.StatusNotFound,
	"unknown-request":       http.StatusNotFound,
	"unknown-file":          http.StatusNotFound,
	"unknown-batch":         http.StatusNotFound,
	"unknown-member":        http.StatusNotFound,
	"unknown-method":        http.StatusMethodNotAllowed,
	"config-conflict":       http.StatusConflict,
	"job-ended":             http.StatusConflict,
	"may-have-run":          http.StatusConflict,
	"still-running":         http.StatusConflict,
	"answer-not-json":       http.StatusNotAcceptable,
	"answer-not-stored":     http.StatusConflict,
	"answer-unavailable":    http.StatusConflict,
	"body-too-large":        http.StatusRequestEntityTooLarge,
	"content-type":          http.StatusUnsupportedMediaType,
	"key-mismatch":          http.StatusUnprocessableEntity,
	"request-id-mismatch":   http.StatusUnprocessableEntity,
	"request-rejected":      http.StatusUnprocessableEntity,
	"queue-full":            http.StatusTooManyRequests,
	"deadline-exceeded":     http.StatusGatewayTimeout,
	"internal":              http.StatusInternalServerError,
	"not-implemented":       http.StatusNotImplemented,
	"backend-server-status": http.StatusBadGateway,
}

// httpStatus returns the HTTP status of a failure.
func httpStatus(failure *trail.Error) int {
	n := statusByCode[failure.Code()]
	if n != 0 {
		return n
	}
	if failure.Verdict() == trail.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// errorType returns the error type of the OpenAI API, as existing clients know
// it.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// codedError returns err as a failure with a code. An error that neither has a
// code nor is known otherwise is a fault of this program; its text is logged and
// not returned to the caller.
func (s *Entry) codedError(err error) *trail.Error {
	var f *trail.Error
	if errors.As(err, &f) {
		return f
	}
	var m *http.MaxBytesError
	var t interface{ Code() int }
	switch {
	case errors.As(err, &m):
		return trail.NewError("body-too-large", trail.NotRun, "the body has more than %d bytes", m.Limit)
	case errors.Is(err, ht.ErrNotImplemented):
		return trail.NewError("not-implemented", trail.NotRun, "the operation is not available")
	case errors.Is(err, ogenerrors.ErrSecurityRequirementIsNotSatisfied):
		return trail.NewError("unauthorized", trail.NotRun, "the request has no valid key")
	case errors.Is(err, context.DeadlineExceeded):
		return trail.NewError("deadline-exceeded", trail.MayHaveRun, "the request was not complete at its deadline")
	case errors.Is(err, context.Canceled):
		return trail.NewError("cancelled", trail.MayHaveRun, "the request was cancelled")
	case errors.As(err, &t) && t.Code() == http.StatusUnsupportedMediaType:
		return trail.NewError("content-type", trail.NotRun, "%s", err)
	}
	s.logger.WithError(err).Error("entry: request failed")
	return trail.NewError("internal", trail.MayHaveRun, "the request failed inside the system")
}

// callerMessage returns the text of a failure for its caller. The texts of its
// causes are cut off, because they name processes and addresses.
func callerMessage(failure *trail.Error) string {
	t := failure.Message()
	for e := failure.Unwrap(); e != nil; e = errors.UnwrapOnce(e) {
		k, b := strings.CutSuffix(t, ": "+e.Error())
		if b {
			t = k
			break
		}
	}
	if failure.Place() != "" {
		return failure.Place() + ": " + t
	}
	return t
}

// errorBody returns the response body for a failure.
func errorBody(failure *trail.Error) oapi.Error {
	b := oapi.ErrorBody{
		Code:    failure.Code(),
		Message: callerMessage(failure),
		Type:    errorType(httpStatus(failure)),
		Verdict: oapi.ErrorBodyVerdict(failure.Verdict().String()),
	}
	if failure.RetryAfter() > 0 {
		b.RetryMinusAfterMinusMs = oapi.NewOptInt64(failure.RetryAfter().Milliseconds())
	}
	return oapi.Error{Error: b}
}

// NewError returns the response for a failed operation. It counts the refusal,
// and logs causes that the caller does not see.
func (s *Entry) NewError(_ context.Context, err error) *oapi.ErrorResponseStatusCodeWithHeaders {
	f := s.codedError(err)
	if callerMessage(f) != f.Error() {
		s.logger.WithError(f).Warn("entry: request failed")
	}
	s.metrics.refusalCount.WithLabelValues(f.Code(), f.Verdict().String()).Inc()
	r := &oapi.ErrorResponseStatusCodeWithHeaders{
		StatusCode:          httpStatus(f),
		BulrushtrailVerdict: oapi.NewOptString(f.Verdict().String()),
		Response:            errorBody(f),
	}
	if f.RetryAfter() > 0 {
		r.RetryAfter = oapi.NewOptInt(ceilSeconds(f.RetryAfter()))
	}
	return r
}

// ceilSeconds rounds up, so that no caller retries before the duration is over.
func ceilSeconds(duration time.Duration) int { return int((duration + time.Second - 1) / time.Second) }

// refuse writes the response for a failure outside the generated server.
func (s *Entry) refuse(w http.ResponseWriter, err error) {
	r := s.NewError(context.Background(), err)
	b, e := json.Marshal(&r.Response)
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json; charset=utf-8")
	h.Set(verdictHeader, r.BulrushtrailVerdict.Value)
	if r.RetryAfter.Set {
		h.Set(retryAfterHeader, strconv.Itoa(r.RetryAfter.Value))
	}
	w.WriteHeader(r.StatusCode)
	_, _ = w.Write(b)
}

// handleServerError refuses a request that the generated server can't decode.
// Other errors occur while a response is sent: the connection is aborted, so
// that the caller doesn't take a truncated response for a complete one.
func (s *Entry) handleServerError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var q *ogenerrors.DecodeRequestError
	var p *ogenerrors.DecodeParamsError
	var m *http.MaxBytesError
	switch {
	case errors.Is(err, ht.ErrNotImplemented), errors.As(err, &m):
		s.refuse(w, err)
	case ogenerrors.ErrorCode(err) == http.StatusUnsupportedMediaType:
		s.refuse(w, trail.NewError("content-type", trail.NotRun, "the content type is not supported"))
	case errors.As(err, &q):
		s.refuse(w, trail.NewError("bad-request", trail.NotRun, "%s", q.Err))
	case errors.As(err, &p):
		s.refuse(w, trail.NewError("bad-request", trail.NotRun, "%s", p.Err))
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *Entry) refuseUnknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, trail.NewError("unknown-path", trail.NotRun, "there is nothing at %s", r.URL.Path))
}

func (s *Entry) refuseUnknownMethod(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	s.refuse(w, trail.NewError("unknown-method", trail.NotRun, "%s is not allowed at %s", r.Method, r.URL.Path))
}
