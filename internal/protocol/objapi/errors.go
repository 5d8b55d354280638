package objapi

import (
	"net/http"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
)

// defaultRetryAfter is the retry delay of an error for which the platform sent
// no Retry-After header.
const defaultRetryAfter = time.Second

// unavailable returns the error of a call that failed before the platform can
// have received it.
func unavailable(cause error) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-unavailable", trail.NotRun,
		"platform can't be reached").WithRetryAfter(defaultRetryAfter)
}

// responseLost returns the error of a call that may have been sent but whose
// response did not arrive in full.
func responseLost(cause error) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-answer-lost", trail.MayHaveRun,
		"platform's answer was lost")
}

func tooLarge() *trail.Error {
	return trail.WrapError(trail.ErrUnavailable, "value-too-large", trail.NotRun, "value is larger than %d bytes", maxValueBytes)
}

// refused returns the error of a call that was not sent because it is invalid.
func refused(cause error, message string) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-refused", trail.NotRun, "%s", message)
}

// statusError maps an unsuccessful status to an error. A status of 500 or
// above, other than 503, leaves open whether a change took effect.
func statusError(method string, response *http.Response) *trail.Error {
	switch response.StatusCode {
	case http.StatusNotFound:
		return trail.WrapError(trail.ErrNotFound, "object-missing", trail.NotRun, "object is not there")
	case http.StatusConflict:
		if method == http.MethodPost {
			return trail.WrapError(trail.ErrExists, "object-exists", trail.NotRun, "object is already there")
		}
		return trail.WrapError(trail.ErrConflict, "object-changed", trail.NotRun, "object has another version")
	case http.StatusGone:
		return trail.WrapError(trail.ErrTooOld, "version-too-old", trail.NotRun, "watch must start from a new list")
	case http.StatusRequestEntityTooLarge:
		return tooLarge()
	case http.StatusTooManyRequests:
		return trail.WrapError(trail.ErrUnavailable, "platform-rate-limited", trail.NotRun,
			"platform's call budget is used up").WithRetryAfter(retryAfter(response))
	case http.StatusServiceUnavailable:
		return trail.WrapError(trail.ErrUnavailable, "platform-unavailable", trail.NotRun,
			"platform answered %d", response.StatusCode).WithRetryAfter(retryAfter(response))
	}
	if response.StatusCode >= http.StatusInternalServerError && method != http.MethodGet {
		return trail.WrapError(trail.ErrUnavailable, "platform-answer-lost", trail.MayHaveRun,
			"platform answered %d", response.StatusCode)
	}
	return trail.WrapError(trail.ErrUnavailable, "platform-refused", trail.NotRun, "platform answered %d", response.StatusCode)
}

func retryAfter(response *http.Response) time.Duration {
	n, e := strconv.Atoi(response.Header.Get("Retry-After"))
	if e != nil || n <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(n) * time.Second
}
