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
type Client struct{ httpClient *http.Client }

// New returns a client that dials by d.
func New(dialer trail.Dialer) *Client {
	return &Client{httpClient: &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
	}}}
}

// Fetch returns the answer to GET /metrics, which the caller closes. The
// address is IP and port. The error's verdict is NotRun: a fetch changes
// nothing.
func (s *Client) Fetch(ctx context.Context, address string) (io.ReadCloser, error) {
	r, e := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", http.NoBody)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-address", trail.NotRun, "address %q is not valid", address)
	}
	a, e := s.httpClient.Do(r)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-unreachable", trail.NotRun, "metrics of %s can't be fetched", address)
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close()
		return nil, trail.NewError("metrics-refused", trail.NotRun, "metrics of %s have status %d", address, a.StatusCode)
	}
	return a.Body, nil
}
