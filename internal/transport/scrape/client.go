package scrape

import (
	"context"
	"io"
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

// Idle connections are kept longer than the period between fetches, which is
// 1 s, so that a fetch does not dial.
const idleTimeout = 10 * time.Second

// Client fetches metrics. It implements trail.Metrics.
type Client struct{ h *http.Client }

// New returns a client that dials by d.
func New(d trail.Dialer) *Client {
	return &Client{h: &http.Client{Transport: &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Fetch returns the answer to GET /metrics, which the caller closes. The
// address is IP and port. The error's verdict is NotRun: a fetch changes
// nothing.
func (s *Client) Fetch(c context.Context, address string) (io.ReadCloser, error) {
	r, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-address", trail.NotRun, "address %q is not valid", address)
	}
	a, e := s.h.Do(r)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-unreachable", trail.NotRun, "metrics of %s can't be fetched", address)
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close()
		return nil, trail.NewError("metrics-refused", trail.NotRun, "metrics of %s have status %d", address, a.StatusCode)
	}
	return a.Body, nil
}
