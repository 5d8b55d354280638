package objapi

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	trail "bulrushtrail.example/trail"
)

const (
	// Requested duration of a watch request. A configuration change must take
	// effect within 4 s. With requests of 2 s a connection that has stopped
	// responding is detected in time for a second attempt.
	watchTimeoutSeconds = 2
	// Time that a watch request may exceed its requested duration before its
	// connection is considered broken and the request is cancelled.
	watchGrace = 500 * time.Millisecond
	// Minimum interval between the starts of two watch requests, so that the
	// platform is not called in a tight loop if it ends them at once.
	minWatchInterval = 100 * time.Millisecond
	// Largest event of a watch: an object whose value is escaped, with its envelope.
	maxEventBytes = 8 * maxValueBytes
)

// watchRequest is one HTTP request of a watch whose response is being read.
type watchRequest struct {
	response *http.Response
	cancel   context.CancelFunc
}

// Watch returns the changes of a kind after a version. The channel is closed
// when ctx ends, when two attempts in a row receive no response, or when the
// platform refuses the watch, for example because the version has become too
// old. The error of a new Watch after the last change received tells the
// reason. Changes are sent as soon as they are received, so that they are only
// as late as the platform makes them.
func (s *Client) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	g, e := s.openWatchWithRetry(ctx, kind, after)
	if e != nil {
		return nil, s.finishCall("watch", kind, time.Now(), e, trail.NotRun)
	}
	w := make(chan trail.Change)
	go s.runWatch(ctx, kind, after, g, w)
	return w, nil
}

// runWatch sends changes to the channel from one watch request after another.
// It closes the channel when it returns.
func (s *Client) runWatch(ctx context.Context, kind string, after int64, request *watchRequest, changes chan<- trail.Change) {
	defer close(changes)
	for {
		p := time.After(minWatchInterval)
		after = s.forwardChanges(ctx, kind, after, request, changes)
		request.cancel()
		select {
		case <-p:
		case <-ctx.Done():
			return
		}
		n, e := s.openWatchWithRetry(ctx, kind, after)
		if e != nil {
			if ctx.Err() == nil {
				_ = s.finishCall("watch", kind, time.Now(), e, trail.NotRun)
			}
			return
		}
		request = n
	}
}

// forwardChanges sends the changes of one watch request to the channel until
// the response ends. It returns the version of the last change sent, or after
// if there was none.
func (s *Client) forwardChanges(ctx context.Context, kind string, after int64, request *watchRequest, changes chan<- trail.Change) int64 {
	defer request.response.Body.Close()
	r := bufio.NewReader(request.response.Body)
	for {
		l, e := readLine(r)
		if e != nil {
			// An event without the end of its line may be incomplete.
			return after
		}
		v, e := decodeEvent(l)
		if e != nil {
			return after
		}
		if v.Type != "ADDED" && v.Type != "MODIFIED" && v.Type != "DELETED" {
			continue
		}
		o := v.Object.toObject(kind)
		select {
		case changes <- trail.NewChange(o, v.Type == "DELETED"):
			after = o.Version()
		case <-ctx.Done():
			return after
		}
	}
}

// readLine reads a line of up to maxEventBytes.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var b []byte
	for {
		l, e := reader.ReadSlice('\n')
		b = append(b, l...)
		switch {
		case len(b) > maxEventBytes:
			return nil, errors.Newf("event of a watch has more than %d bytes", maxEventBytes)
		case !errors.Is(e, bufio.ErrBufferFull):
			return b, e
		}
	}
}

// openWatchWithRetry starts a watch request. If no response arrives, it retries
// once on a new connection.
func (s *Client) openWatchWithRetry(ctx context.Context, kind string, after int64) (*watchRequest, *trail.Error) {
	g, e := s.openWatch(ctx, kind, after)
	if e == nil || trail.CodeOf(e) != "platform-answer-lost" {
		return g, e
	}
	s.readClient.CloseIdleConnections()
	select {
	case <-time.After(minWatchInterval):
	case <-ctx.Done():
		return nil, unavailable(ctx.Err())
	}
	return s.openWatch(ctx, kind, after)
}

// openWatch starts a watch request, which is cancelled if its response does not
// start within firstAttemptTimeout or does not end in time.
func (s *Client) openWatch(ctx context.Context, kind string, after int64) (*watchRequest, *trail.Error) {
	c, f := context.WithCancel(ctx)
	t := time.AfterFunc(firstAttemptTimeout, f)
	u := fmt.Sprintf("%s%s?watch=true&resourceVersion=%d&timeoutSeconds=%d", s.baseURL, escapePath(kind), after, watchTimeoutSeconds)
	q, e := http.NewRequestWithContext(c, http.MethodGet, u, nil)
	if e != nil {
		f()
		return nil, refused(e, "request is malformed")
	}
	r, e := s.readClient.Do(q)
	if e != nil {
		f()
		return nil, responseLost(e)
	}
	if r.StatusCode != http.StatusOK {
		_ = r.Body.Close()
		f()
		return nil, statusError(http.MethodGet, r)
	}
	t.Reset(watchTimeoutSeconds*time.Second + watchGrace)
	return &watchRequest{response: r, cancel: func() { t.Stop(); f() }}, nil
}
