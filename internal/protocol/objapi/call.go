package objapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

// join keeps both errors reachable by errors.Is.
func join(cause, sentinel error) error { return errors.Join(sentinel, cause) }

// read sends a GET and decodes its answer into d. When no answer comes, it
// tries once more on a new connection.
func (s *Client) read(c context.Context, verb, target string, d any) error {
	t := time.Now()
	c, f := context.WithTimeout(c, callTimeout)
	defer f()
	e := s.tryRead(c, target, firstTryTimeout, d)
	if e != nil && trail.CodeOf(e) == "platform-answer-lost" && c.Err() == nil {
		// The idle connections may have gone silent together.
		s.reads.CloseIdleConnections()
		e = s.tryRead(c, target, callTimeout, d)
	}
	return s.finish(verb, target, t, e, trail.NotRun)
}

func (s *Client) tryRead(c context.Context, target string, timeout time.Duration, d any) *trail.Error {
	c, f := context.WithTimeout(c, timeout)
	defer f()
	q, e := http.NewRequestWithContext(c, http.MethodGet, s.base+target, nil)
	if e != nil {
		return refused(e, "request is malformed")
	}
	return s.exchange(s.reads, q, d)
}

// write sends a change once and decodes its answer into d.
func (s *Client) write(c context.Context, verb, method, target string, body []byte, d any) error {
	t := time.Now()
	c, f := context.WithTimeout(c, callTimeout)
	defer f()
	q, e := http.NewRequestWithContext(c, method, s.base+target, bytes.NewReader(body))
	if e != nil {
		return s.finish(verb, target, t, refused(e, "request is malformed"), trail.NotRun)
	}
	// A body that can't be read again keeps net/http from repeating the call.
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	return s.finish(verb, target, t, s.exchange(s.writes, q, d), trail.MayHaveRun)
}

// exchange runs one request. Its error is a lost answer when the request may
// have been written to a connection.
func (s *Client) exchange(h *http.Client, q *http.Request, d any) *trail.Error {
	var g atomic.Bool
	c := httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { g.Store(true) },
	})
	r, e := h.Do(q.WithContext(c))
	if e != nil && !g.Load() {
		return unavailable(e)
	}
	if e != nil {
		return lost(e)
	}
	defer r.Body.Close()
	b := io.LimitReader(r.Body, maxAnswerBytes)
	if r.StatusCode >= http.StatusMultipleChoices {
		_, _ = io.Copy(io.Discard, b)
		return statusError(q.Method, r)
	}
	e = json.NewDecoder(b).Decode(d)
	if e != nil {
		return lost(e)
	}
	// A connection is used again only when its answer was read to the end.
	_, _ = io.Copy(io.Discard, b)
	return nil
}

// finish counts a call and returns its error. The verdict of a lost read is
// NotRun, because a read changes nothing.
func (s *Client) finish(verb, target string, begin time.Time, e *trail.Error, worst trail.Verdict) error {
	if e == nil {
		s.calls.WithLabelValues(verb, "ok").Observe(time.Since(begin).Seconds())
		return nil
	}
	s.calls.WithLabelValues(verb, e.Code()).Observe(time.Since(begin).Seconds())
	if e.Verdict() == trail.MayHaveRun && worst == trail.NotRun {
		e = trail.WrapError(e, "platform-unavailable", trail.NotRun, "platform did not answer").RetryAfter(defaultRetryAfter)
	}
	if errors.Is(e, trail.ErrUnavailable) {
		s.l.WithError(e).WithField("verb", verb).WithField("object", target).
			WithField("verdict", e.Verdict().String()).Warn("objapi: call failed")
	}
	return e.At(target)
}
