package objapi

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/state/object"
)

const (
	apiPrefix = "/apis/bulrushtrail.example/v1/"
	// Limit on a read or write, including the retry of a read.
	callTimeout = 2 * time.Second
	// Limit on the first attempt of a read, which leaves time for a retry when
	// the connection has stopped responding.
	firstAttemptTimeout = time.Second
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnections  = 8
	// Largest value of an object.
	maxValueBytes = 1 << 20
	// Largest response: one object, or the list of all objects of a kind.
	maxResponseBytes = 256 << 20
)

// Client implements trail.Store over HTTP.
//
// Reads and writes end within 2 s. Every error matches one of the sentinel
// errors of package trail and has a verdict, which for reads is always NotRun.
// The error codes are "object-changed", "object-exists", "object-missing",
// "version-too-old", "platform-unavailable", "platform-rate-limited",
// "platform-answer-lost", "platform-refused" and "value-too-large". The last
// two match trail.ErrUnavailable too, although a retry does not help.
type Client struct {
	baseURL string
	// Reuses connections.
	readClient *http.Client
	// Opens a new connection for each request.
	writeClient  *http.Client
	logger       log.Interface
	callDuration *prometheus.HistogramVec
}

var _ trail.Store = (*Client)(nil)

// New returns a client for the platform at baseURL, an http URL without a path.
// It opens its connections through dialer.
func New(baseURL string, dialer trail.Dialer, logger log.Interface, registry prometheus.Registerer) *Client {
	f := func(c context.Context, network, address string) (net.Conn, error) {
		// net/http continues a dial after the request that caused it has ended.
		c, f := context.WithTimeout(c, dialTimeout)
		defer f()
		return dialer.DialContext(c, network, address)
	}
	// Following a redirect would send a write a second time.
	n := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/") + apiPrefix,
		readClient: &http.Client{CheckRedirect: n, Transport: &http.Transport{
			DialContext:         f,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}},
		writeClient: &http.Client{CheckRedirect: n, Transport: &http.Transport{
			DialContext:       f,
			DisableKeepAlives: true,
		}},
		logger: logger,
		callDuration: promauto.With(registry).NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bulrushtrail_platform_call_seconds",
			Help:    "Duration of calls to the platform by verb and result (ok or error code).",
			Buckets: []float64{.001, .003, .01, .03, .1, .3, 1, 2},
		}, []string{"verb", "result"}),
	}
}

// Get reads one object.
func (s *Client) Get(ctx context.Context, kind, name string) (object.Object, error) {
	var d document
	e := s.read(ctx, "get", escapePath(kind, name), &d)
	if e != nil {
		return object.Object{}, e
	}
	return d.toObject(kind), nil
}

// List reads all objects of a kind. It also returns the version of the list,
// from which a watch can continue.
func (s *Client) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	var d documentList
	e := s.read(ctx, "list", escapePath(kind), &d)
	if e != nil {
		return nil, 0, e
	}
	l := make([]object.Object, 0, len(d.Items))
	for _, i := range d.Items {
		l = append(l, i.toObject(kind))
	}
	return l, d.Metadata.ResourceVersion, nil
}

// Create stores a new object and returns it with the version it was assigned.
func (s *Client) Create(ctx context.Context, obj object.Object) (object.Object, error) {
	return s.writeObject(ctx, "create", http.MethodPost, escapePath(obj.Kind()), obj)
}

// Update replaces the stored object if its version still equals obj's.
func (s *Client) Update(ctx context.Context, obj object.Object) (object.Object, error) {
	return s.writeObject(ctx, "update", http.MethodPut, escapePath(obj.Kind(), obj.Name()), obj)
}

func (s *Client) writeObject(ctx context.Context, verb, method, target string, obj object.Object) (object.Object, error) {
	b, e := json.Marshal(document{
		Kind:     obj.Kind(),
		Metadata: metadata{Name: obj.Name(), ResourceVersion: obj.Version()},
		Spec:     obj.Value(),
	})
	if e != nil {
		return object.Object{}, refused(e, "value is not JSON").WithPlace(target)
	}
	// The value is counted as it is sent, with more escapes than it was given.
	if len(b) > maxValueBytes && len(compact(obj.Value())) > maxValueBytes {
		return object.Object{}, tooLarge().WithPlace(target)
	}
	var d document
	e = s.write(ctx, verb, method, target, b, &d)
	if e != nil {
		return object.Object{}, e
	}
	return object.New(obj.Kind(), obj.Name(), d.Metadata.ResourceVersion, obj.Value()), nil
}

// Delete removes the stored object if its version still equals obj's.
func (s *Client) Delete(ctx context.Context, obj object.Object) error {
	b, e := json.Marshal(deleteOptions{Preconditions: metadata{ResourceVersion: obj.Version()}})
	if e != nil {
		return refused(e, "version is not JSON")
	}
	var d document
	return s.write(ctx, "delete", http.MethodDelete, escapePath(obj.Kind(), obj.Name()), b, &d)
}

// compact returns a JSON value as a document holds it, nil if it is not JSON.
func compact(value json.RawMessage) []byte {
	b, _ := json.Marshal(value)
	return b
}

func escapePath(parts ...string) string {
	l := make([]string, 0, len(parts))
	for _, p := range parts {
		l = append(l, url.PathEscape(p))
	}
	return strings.Join(l, "/")
}
