package objapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

// joinSentinel returns an error that matches both cause and sentinel with
// errors.Is.
func joinSentinel(cause, sentinel error) error { return errors.Join(sentinel, cause) }

// read sends a GET request and decodes its response into response. If no
// response arrives, it retries once on a new connection.
func (s *Client) read(ctx context.Context, verb, target string, response any) error {
	t := time.Now()
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	e := s.attemptRead(c, target, firstAttemptTimeout, response)
	if e != nil && trail.CodeOf(e) == "platform-answer-lost" && c.Err() == nil {
		// The other idle connections may have stopped responding as well.
		s.readClient.CloseIdleConnections()
		e = s.attemptRead(c, target, callTimeout, response)
	}
	return s.finishCall(verb, target, t, e, trail.NotRun)
}

func (s *Client) attemptRead(ctx context.Context, target string, timeout time.Duration, response any) *trail.Error {
	c, f := context.WithTimeout(ctx, timeout)
	defer f()
	q, e := http.NewRequestWithContext(c, http.MethodGet, s.baseURL+target, nil)
	if e != nil {
		return refused(e, "request is malformed")
	}
	return s.exchange(s.readClient, q, response)
}

// write sends a change, without retries, and decodes its response into
// response.
func (s *Client) write(ctx context.Context, verb, method, target string, body []byte, response any) error {
	t := time.Now()
	c, f := context.WithTimeout(ctx, callTimeout)
	defer f()
	q, e := http.NewRequestWithContext(c, method, s.baseURL+target, bytes.NewReader(body))
	if e != nil {
		return s.finishCall(verb, target, t, refused(e, "request is malformed"), trail.NotRun)
	}
	// Without GetBody, net/http cannot rewind the body to retry the request.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	return s.finishCall(verb, target, t, s.exchange(s.writeClient, q, response), trail.MayHaveRun)
}

// exchange sends one request and decodes its response. If it fails after a
// connection was obtained, and the request may thus have been sent, the error
// is that of responseLost.
func (s *Client) exchange(client *http.Client, request *http.Request, response any) *trail.Error {
	var g atomic.Bool
	c := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { g.Store(true) },
	})
	r, e := client.Do(request.WithContext(c))
	if e != nil && !g.Load() {
		return unavailable(e)
	}
	if e != nil {
		return responseLost(e)
	}
	defer r.Body.Close()
	if r.StatusCode < http.StatusOK {
		// No final status, such as 000, or 101, which net/http takes for one.
		return responseLost(errors.Newf("status %d is not that of a response", r.StatusCode))
	}
	b := io.LimitReader(r.Body, maxResponseBytes)
	if r.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, b)
		return statusError(request.Method, r)
	}
	d, e := io.ReadAll(b)
	if e == nil {
		e = decodeResponse(d, response)
	}
	if e != nil {
		return responseLost(e)
	}
	return nil
}

// finishCall records the duration of a call, logs a failure and returns the
// call's error. lossVerdict is the verdict of a call whose response was lost:
// NotRun for a read, which changes nothing.
func (s *Client) finishCall(verb, target string, start time.Time, err *trail.Error, lossVerdict trail.Verdict) error {
	if err == nil {
		s.callDuration.WithLabelValues(verb, "ok").Observe(time.Since(start).Seconds())
		return nil
	}
	s.callDuration.WithLabelValues(verb, err.Code()).Observe(time.Since(start).Seconds())
	if err.Verdict() == trail.MayHaveRun && lossVerdict == trail.NotRun {
		err = trail.WrapError(err, "platform-unavailable", trail.NotRun, "platform did not answer").WithRetryAfter(defaultRetryAfter)
	}
	if errors.Is(err, trail.ErrUnavailable) {
		s.logger.WithError(err).WithField("verb", verb).WithField("object", target).
			WithField("verdict", err.Verdict().String()).Warn("objapi: call failed")
	}
	return err.WithPlace(target)
}
