package objapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

const (
	// A change of the configuration has to be in force within 4 s. A leg of
	// 2 s finds a silent connection in time for a second try.
	watchTimeoutSeconds = 2
	// Time that a leg may run over before its connection counts as silent.
	watchGrace = 500 * time.Millisecond
	// Least time between the begins of two legs, so that a platform that ends
	// legs at once is not called in a loop.
	minWatchInterval = 100 * time.Millisecond
)

// watchRequest is one HTTP request of a watch.
type watchRequest struct {
	response *http.Response
	// Ends the request.
	cancel context.CancelFunc
}

// Watch reports the changes of a kind after a version. The channel is closed
// when c ends, when the platform fails twice in a row, or when the version has
// become too old; a new Watch after the last change tells which. It holds no
// changes back: the reader's delay is the platform's.
func (s *Client) Watch(ctx context.Context, kind string, after int64) (<-chan trail.Change, error) {
	g, e := s.openWatchWithRetry(ctx, kind, after)
	if e != nil {
		return nil, s.finishCall("watch", kind, time.Now(), e, trail.NotRun)
	}
	w := make(chan trail.Change)
	go s.runWatch(ctx, kind, after, g, w)
	return w, nil
}

// runWatch passes the changes of one leg after another to w.
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

// forwardChanges sends the changes of a leg to w and returns the version of the last one.
func (s *Client) forwardChanges(ctx context.Context, kind string, after int64, request *watchRequest, changes chan<- trail.Change) int64 {
	defer request.response.Body.Close()
	d := json.NewDecoder(request.response.Body)
	for {
		var v watchEvent
		e := d.Decode(&v)
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

// openWatchWithRetry begins a leg, on a second connection if the first one fails.
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
