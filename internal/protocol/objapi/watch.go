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
	legSeconds = 2
	// Time that a leg may run over before its connection counts as silent.
	legGrace = 500 * time.Millisecond
	// Least time between the begins of two legs, so that a platform that ends
	// legs at once is not called in a loop.
	legPause = 100 * time.Millisecond
)

// leg is one HTTP request of a watch.
type leg struct {
	r *http.Response
	// Ends the request.
	end context.CancelFunc
}

// Watch reports the changes of a kind after a version. The channel is closed
// when c ends, when the platform fails twice in a row, or when the version has
// become too old; a new Watch after the last change tells which. It holds no
// changes back: the reader's delay is the platform's.
func (s *Client) Watch(c context.Context, kind string, after int64) (<-chan trail.Change, error) {
	g, e := s.openTwice(c, kind, after)
	if e != nil {
		return nil, s.finish("watch", kind, time.Now(), e, trail.NotRun)
	}
	w := make(chan trail.Change)
	go s.follow(c, kind, after, g, w)
	return w, nil
}

// follow passes the changes of one leg after another to w.
func (s *Client) follow(c context.Context, kind string, after int64, g *leg, w chan<- trail.Change) {
	defer close(w)
	for {
		p := time.After(legPause)
		after = s.pass(c, kind, after, g, w)
		g.end()
		select {
		case <-p:
		case <-c.Done():
			return
		}
		n, e := s.openTwice(c, kind, after)
		if e != nil {
			if c.Err() == nil {
				_ = s.finish("watch", kind, time.Now(), e, trail.NotRun)
			}
			return
		}
		g = n
	}
}

// pass sends the changes of a leg to w and returns the version of the last one.
func (s *Client) pass(c context.Context, kind string, after int64, g *leg, w chan<- trail.Change) int64 {
	defer g.r.Body.Close()
	d := json.NewDecoder(g.r.Body)
	for {
		var v watchEvent
		e := d.Decode(&v)
		if e != nil {
			return after
		}
		if v.Type != "ADDED" && v.Type != "MODIFIED" && v.Type != "DELETED" {
			continue
		}
		o := v.Object.object(kind)
		select {
		case w <- trail.NewChange(o, v.Type == "DELETED"):
			after = o.Version()
		case <-c.Done():
			return after
		}
	}
}

// openTwice begins a leg, on a second connection if the first one fails.
func (s *Client) openTwice(c context.Context, kind string, after int64) (*leg, *trail.Error) {
	g, e := s.open(c, kind, after)
	if e == nil || trail.CodeOf(e) != "platform-answer-lost" {
		return g, e
	}
	s.reads.CloseIdleConnections()
	select {
	case <-time.After(legPause):
	case <-c.Done():
		return nil, unavailable(c.Err())
	}
	return s.open(c, kind, after)
}

func (s *Client) open(c context.Context, kind string, after int64) (*leg, *trail.Error) {
	c, f := context.WithCancel(c)
	t := time.AfterFunc(firstTryTimeout, f)
	u := fmt.Sprintf("%s%s?watch=true&resourceVersion=%d&timeoutSeconds=%d", s.base, path(kind), after, legSeconds)
	q, e := http.NewRequestWithContext(c, http.MethodGet, u, nil)
	if e != nil {
		f()
		return nil, refused(e, "request is malformed")
	}
	r, e := s.reads.Do(q)
	if e != nil {
		f()
		return nil, lost(e)
	}
	if r.StatusCode != http.StatusOK {
		_ = r.Body.Close()
		f()
		return nil, statusError(http.MethodGet, r)
	}
	t.Reset(legSeconds*time.Second + legGrace)
	return &leg{r: r, end: func() { t.Stop(); f() }}, nil
}
