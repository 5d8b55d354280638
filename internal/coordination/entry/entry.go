package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

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
	// Time that the platform has to answer one call.
	platformTimeout = 2 * time.Second
	// Time that the depots have to register, keep or return one answer. The
	// caller's answer waits for it.
	answerTimeout = 2 * time.Second
	// How often a request asks for the outcome of an earlier one that runs.
	pollInterval = 200 * time.Millisecond
	// When a caller may come back after a part of the system failed.
	retryAfter = time.Second
)

// sessionOpener opens an exchange with another process; *mesh.Mesh implements it.
type sessionOpener interface {
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
	mesh        sessionOpener
	loadReports func() []*wire.Report
	parseText   func(text []byte) (*wire.Text, error)
	// Caller names by key. Empty when the key itself is the caller's name.
	callersByKey map[string]string
	operatorKey  string
	// Bytes of a body when the service sets no limit.
	maxBodyBytes int64
	// Bytes of an uploaded file.
	maxFileBytes int64
	logger       log.Interface
	metrics      metrics
	handler      http.Handler
	// Guards draining, and that no request is added to the others after it is
	// set.
	mu       sync.Mutex
	draining bool
	inFlight sync.WaitGroup
}

type metrics struct {
	answerCount, refusalCount *prometheus.CounterVec
	firstByteSeconds          *prometheus.HistogramVec
}

type optionFunc = func(*Entry)

// WithRouter sets the choice of scheduler and the load reports that it holds.
func WithRouter(router trail.Caller, loadReports func() []*wire.Report) func(*Entry) {
	return func(s *Entry) {
		s.router = router
		s.loadReports = loadReports
	}
}

// WithClaims sets the keeper of idempotency keys.
func WithClaims(claims trail.Claims) func(*Entry) { return func(s *Entry) { s.claims = claims } }

// WithAnswers sets the keeper of answers.
func WithAnswers(answers trail.AnswerStore) func(*Entry) {
	return func(s *Entry) { s.answers = answers }
}

// WithBulk sets the keeper of the bytes of files.
func WithBulk(bulk trail.BulkStore) func(*Entry) { return func(s *Entry) { s.bulk = bulk } }

// WithStore sets the platform's object API.
func WithStore(store trail.Store) func(*Entry) { return func(s *Entry) { s.store = store } }

// WithViews sets the source of configuration, members and backend servers.
func WithViews(views trail.Views) func(*Entry) { return func(s *Entry) { s.views = views } }

// WithMesh sets the sessions by which other processes are told to shut down.
func WithMesh(sessions sessionOpener) func(*Entry) { return func(s *Entry) { s.mesh = sessions } }

// WithTextParser sets the check of services texts. Its error may be trail.Errors.
func WithTextParser(parse func(text []byte) (*wire.Text, error)) func(*Entry) {
	return func(s *Entry) { s.parseText = parse }
}

// WithKeys sets the keys of callers, from key to caller name, and the
// operators' key. Without callers' keys, each key is the name of its caller.
// An empty operators' key refuses all operators.
func WithKeys(callersByKey map[string]string, operatorKey string) func(*Entry) {
	return func(s *Entry) {
		s.callersByKey = callersByKey
		s.operatorKey = operatorKey
	}
}

// WithMaxBodyBytes sets the largest body in bytes for services without a limit of
// their own. The default is 8 MiB.
func WithMaxBodyBytes(limit int64) func(*Entry) { return func(s *Entry) { s.maxBodyBytes = limit } }

// WithMaxFileBytes sets the largest upload of a file in bytes. The default is 512
// MiB. The HTTP server must admit as much.
func WithMaxFileBytes(limit int64) func(*Entry) { return func(s *Entry) { s.maxFileBytes = limit } }

// New returns an entry. An error means that a part is missing: options must
// give all of them but the limits.
func New(logger log.Interface, registry prometheus.Registerer, options ...optionFunc) (*Entry, error) {
	s := &Entry{logger: logger, maxBodyBytes: defaultMaxBodyBytes, maxFileBytes: defaultMaxFileBytes, metrics: newMetrics(registry)}
	for _, o := range options {
		o(s)
	}
	for _, p := range []any{s.router, s.claims, s.answers, s.bulk, s.store, s.views, s.mesh} {
		if p == nil {
			return nil, errors.New("entry: a part is missing")
		}
	}
	if s.loadReports == nil || s.parseText == nil {
		return nil, errors.New("entry: a part is missing")
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
	// The path is matched by hand, because http.ServeMux would redirect paths
	// that it finds unclean.
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		s.servePlain(w, r)
		return
	}
	// The generated server holds a body in memory before a service is known.
	r.Body = http.MaxBytesReader(w, r.Body, s.requestBodyLimit(r))
	s.handler.ServeHTTP(w, r)
}

// requestBodyLimit bounds the body of a request outside plain services in bytes.
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

// admit counts a request, unless the entry is draining.
func (s *Entry) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight.Add(1)
	return true
}

// Drain refuses new requests and waits until those in progress have ended, or
// c ends.
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
