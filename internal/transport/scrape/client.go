package scrape

import (
	"context"
	"io"
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

// Longer than the interval of 1 s between fetches, so that fetches reuse the
// connection.
const idleTimeout = 10 * time.Second

// Client fetches metrics from engines. It implements trail.Metrics.
type Client struct{ httpClient *http.Client }

// New returns a client that connects through dialer.
func New(dialer trail.Dialer) *Client {
	return &Client{httpClient: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Fetch implements trail.Metrics. A response with a status other than 200 is an
// error. The verdict of errors is NotRun, because a fetch has no side effects.
func (s *Client) Fetch(ctx context.Context, address string) (io.ReadCloser, error) {
	r, e := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-address", trail.NotRun, "metrics address %q is invalid", address)
	}
	a, e := s.httpClient.Do(r)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-unreachable", trail.NotRun, "could not fetch metrics from %s", address)
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close()
		return nil, trail.NewError("metrics-refused", trail.NotRun, "request for metrics from %s returned status %d", address, a.StatusCode)
	}
	return a.Body, nil
}
