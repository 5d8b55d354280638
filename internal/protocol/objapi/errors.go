package objapi

import (
	"net/http"
	"strconv"
	"time"

	trail "bulrushtrail.example/trail"
)

// defaultRetryAfter is the wait named in an error when the platform names none.
const defaultRetryAfter = time.Second

// unavailable is a call that failed before the platform can have taken it.
func unavailable(cause error) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-unavailable", trail.NotRun,
		"platform can't be reached").RetryAfter(defaultRetryAfter)
}

// responseLost is a write whose answer did not arrive.
func responseLost(cause error) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-answer-lost", trail.MayHaveRun,
		"platform's answer was lost")
}

func tooLarge() *trail.Error {
	return trail.WrapError(trail.ErrUnavailable, "value-too-large", trail.NotRun, "value is larger than %d bytes", maxValueBytes)
}

func refused(cause error, message string) *trail.Error {
	return trail.WrapError(joinSentinel(cause, trail.ErrUnavailable), "platform-refused", trail.NotRun, "%s", message)
}

// statusError maps an answer that is not a success. A status of 500 and above
// other than 503 does not say whether the change took effect.
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
			"platform's call budget is used up").RetryAfter(retryAfter(response))
	case http.StatusServiceUnavailable:
		return trail.WrapError(trail.ErrUnavailable, "platform-unavailable", trail.NotRun,
			"platform answered %d", response.StatusCode).RetryAfter(retryAfter(response))
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
