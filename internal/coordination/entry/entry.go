package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	trail "bulrushtrail.example/trail"
	"bulrushtrail.example/trail/internal/protocol/oapi"
	"bulrushtrail.example/trail/internal/protocol/wire"
	"bulrushtrail.example/trail/internal/transport/frame"
)

const (
	requestIDHeader        = "X-Request-Id"
	idempotencyKeyHeader   = "Idempotency-Key"
	nonIdempotentHeader    = "Bulrushtrail-Non-Idempotent"
	deadlineHeader         = "Bulrushtrail-Deadline-Ms"
	verdictHeader          = "Bulrushtrail-Verdict"
	storedHeader           = "Bulrushtrail-Stored"
	retryAfterHeader       = "Retry-After"
	operatorKeyHeader      = "Bulrushtrail-Operator-Key"
	filesPath              = "/v1/files"
	servicesPrefix         = "/services/"
	maxRequestIDLength     = 200
	defaultDeadline        = 60 * time.Second
	maxDeadline            = time.Hour
	defaultMaxBodyBytes    = 8 << 20
	defaultMaxFileBytes    = 512 << 20
	defaultAnswerRetention = 24 * time.Hour
	multipartMemoryBytes   = 4 << 20
	// Bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// Bounds one call to the depots that registers, stores or reads an answer.
	// The response to the caller waits for it.
	answerTimeout = 2 * time.Second
	// Interval at which a request polls for the outcome of an earlier one that
	// is still running.
	pollInterval = 200 * time.Millisecond
	// Retry-After of refusals that are caused by a failure inside the system.
	retryAfter = time.Second
)

// streamOpener opens streams to other processes. It is implemented by
// *mesh.Mesh.
type streamOpener interface {
	Open(ctx context.Context, address string, open *wire.Open) (*frame.Stream, error)
}

// Entry serves the HTTP API. It implements oapi.Handler and
// oapi.SecurityHandler.
type Entry struct {
	router      trail.Caller
	claims      trail.Claims
	answers     trail.AnswerStore
	bulk        trail.BulkStore
	store       trail.Store
	views       trail.Views
	mesh        streamOpener
	loadReports func() []*wire.Report
	parseText   func(text []byte) (*wire.Text, error)
	// Caller names by key. When the map is empty, the key itself is the name.
	callersByKey map[string]string
	operatorKey  string
	// Limit of a request body for services that set none.
	maxBodyBytes int64
	// Limit of an uploaded file.
	maxFileBytes int64
	logger       log.Interface
	metrics      metrics
	handler      http.Handler
	// Guards draining, and makes sure that no request is added to inFlight once
	// draining is set.
	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

type metrics struct {
	answerCount, refusalCount *prometheus.CounterVec
	firstByteSeconds          *prometheus.HistogramVec
}

type option = func(*Entry)

// WithRouter sets the router that dispatches requests to schedulers, and the
// source of the load reports that it has received from them.
func WithRouter(router trail.Caller, loadReports func() []*wire.Report) func(*Entry) {
	return func(s *Entry) {
		s.router = router
		s.loadReports = loadReports
	}
}

// WithClaims sets the client that claims idempotency keys.
func WithClaims(claims trail.Claims) func(*Entry) { return func(s *Entry) { s.claims = claims } }

// WithAnswers sets the store of answers.
func WithAnswers(answers trail.AnswerStore) func(*Entry) {
	return func(s *Entry) { s.answers = answers }
}

// WithBulk sets the store of file contents.
func WithBulk(bulk trail.BulkStore) func(*Entry) { return func(s *Entry) { s.bulk = bulk } }

// WithStore sets the client of the platform's object API.
func WithStore(store trail.Store) func(*Entry) { return func(s *Entry) { s.store = store } }

// WithViews sets the source of configuration, members and backend servers.
func WithViews(views trail.Views) func(*Entry) { return func(s *Entry) { s.views = views } }

// WithMesh sets the sessions through which other processes are asked to shut
// down.
func WithMesh(streams streamOpener) func(*Entry) { return func(s *Entry) { s.mesh = streams } }

// WithTextParser sets the function that parses and validates a services text.
// Its error may be trail.Errors.
func WithTextParser(parse func(text []byte) (*wire.Text, error)) func(*Entry) {
	return func(s *Entry) { s.parseText = parse }
}

// WithKeys sets the caller names by caller key, and the operators' key. When
// callersByKey is empty, each key is the name of its caller. When operatorKey
// is empty, all operators are refused.
func WithKeys(callersByKey map[string]string, operatorKey string) func(*Entry) {
	return func(s *Entry) {
		s.callersByKey = callersByKey
		s.operatorKey = operatorKey
	}
}

// WithMaxBodyBytes limits request bodies for services without a limit of their
// own. The default is 8 MiB.
func WithMaxBodyBytes(limit int64) func(*Entry) { return func(s *Entry) { s.maxBodyBytes = limit } }

// WithMaxFileBytes limits uploaded files. The default is 512 MiB. The limit of
// the HTTP server must not be lower.
func WithMaxFileBytes(limit int64) func(*Entry) { return func(s *Entry) { s.maxFileBytes = limit } }

// New returns an entry. It fails when an option other than WithKeys,
// WithMaxBodyBytes and WithMaxFileBytes is missing.
func New(logger log.Interface, registry prometheus.Registerer, options ...option) (*Entry, error) {
	s := &Entry{logger: logger, maxBodyBytes: defaultMaxBodyBytes, maxFileBytes: defaultMaxFileBytes, metrics: newMetrics(registry)}
	for _, o := range options {
		o(s)
	}
	for _, p := range []any{s.router, s.claims, s.answers, s.bulk, s.store, s.views, s.mesh} {
		if p == nil {
			return nil, errors.New("entry: a required option is missing")
		}
	}
	if s.loadReports == nil || s.parseText == nil {
		return nil, errors.New("entry: load reports or text parser missing")
	}
	h, e := oapi.NewServer(s, s,
		oapi.WithMiddleware(withRawBody),
		oapi.WithErrorHandler(s.handleServerError),
		oapi.WithNotFound(s.refuseUnknownPath),
		oapi.WithMethodNotAllowed(s.refuseUnknownMethod),
		oapi.WithMaxMultipartMemory(multipartMemoryBytes))
	if e != nil {
		return nil, e
	}
	s.handler = h
	return s, nil
}

func newMetrics(registry prometheus.Registerer) metrics {
	k := metrics{
		answerCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_entry_answers_total", Help: "Answers of services to callers, by service and storing.",
		}, []string{"service", "stored"}),
		refusalCount: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_entry_refusals_total", Help: "Refusals by code and verdict.",
		}, []string{"code", "verdict"}),
		firstByteSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bulrushtrail_entry_first_byte_seconds",
			Help:    "Time from dispatch to the first byte of an answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"service"}),
	}
	registry.MustRegister(k.answerCount, k.refusalCount, k.firstByteSeconds)
	return k
}

// ServeHTTP serves one request of a caller or an operator.
func (s *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	i := r.Header.Get(requestIDHeader)
	if i == "" {
		i = uuid.NewString()
		r.Header.Set(requestIDHeader, i)
	}
	if len(i) <= maxRequestIDLength {
		w.Header().Set(requestIDHeader, i)
	}
	if !s.admit() {
		s.refuse(w, trail.NewError("leaving", trail.NotRun, "this entry is shutting down").WithRetryAfter(retryAfter))
		return
	}
	defer s.inFlight.Done()
	e := checkIDHeaders(r.Header)
	if e != nil {
		s.refuse(w, e)
		return
	}
	// http.ServeMux is not used because it redirects paths that are not in
	// canonical form. The path of a plain service must be kept as it is.
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		s.servePlain(w, r)
		return
	}
	// The generated server reads the whole body into memory before the service,
	// and thus its limit, is known.
	r.Body = http.MaxBytesReader(w, r.Body, s.requestBodyLimit(r))
	s.handler.ServeHTTP(w, r)
}

// checkIDHeaders returns an error if an id that is stored with the request is not
// UTF-8: the platform's objects hold text only.
func checkIDHeaders(header http.Header) error {
	for _, h := range []string{requestIDHeader, idempotencyKeyHeader} {
		if !utf8.ValidString(header.Get(h)) {
			return trail.NewError("bad-request", trail.NotRun, "header %s is not UTF-8 text", h)
		}
	}
	return nil
}

// requestBodyLimit returns the limit of the request body, in bytes, for paths
// outside plain services: the largest limit of any service, or that of files.
func (s *Entry) requestBodyLimit(r *http.Request) int64 {
	if r.URL.Path == filesPath {
		return s.maxFileBytes
	}
	n := s.maxBodyBytes
	for _, v := range s.views.Latest().GetConfig().GetText().GetServices() {
		n = max(n, s.serviceBodyLimit(v))
	}
	return n
}

// admit adds a request to those in flight, unless the entry is draining.
func (s *Entry) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add(1)
	return true
}

// Drain refuses new requests and waits until those in flight have ended or ctx
// is done.
func (s *Entry) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	d := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(d)
	}()
	select {
	case <-d:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
