package scrape

import (
	"context"
	"io"
	"net/http"
	"time"

	trail "bulrushtrail.example/trail"
)

const (
	// Longer than the scheduler's polling period, so that polls reuse their
	// connection.
	idleTimeout = 10 * time.Second
	path        = "/metrics"
)

// Client reads metrics. It implements trail.Metrics.
type Client struct {
	h *http.Client
}

// New returns a client that connects by d.
func New(d trail.Dialer) *Client {
	return &Client{h: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1,
	}}}
}

// Fetch returns the body of GET /metrics at an IP and port.
func (k *Client) Fetch(c context.Context, address string) (io.ReadCloser, error) {
	r, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+address+path, nil)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-address", trail.NotRun, "address can't be asked").At(address)
	}
	a, e := k.h.Do(r)
	if e != nil {
		return nil, trail.WrapError(e, "metrics-unreachable", trail.NotRun, "metrics were not read").At(address)
	}
	if a.StatusCode != http.StatusOK {
		_ = a.Body.Close()
		return nil, trail.NewError("metrics-refused", trail.NotRun, "answer was %s", a.Status).At(address)
	}
	return a.Body, nil
}
