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
	requestIDHeader      = "X-Request-Id"
	keyHeader            = "Idempotency-Key"
	nonIdempotentHeader  = "Bulrushtrail-Non-Idempotent"
	deadlineHeader       = "Bulrushtrail-Deadline-Ms"
	verdictHeader        = "Bulrushtrail-Verdict"
	storedHeader         = "Bulrushtrail-Stored"
	retryAfterHeader     = "Retry-After"
	operatorKeyHeader    = "Bulrushtrail-Operator-Key"
	filesPath            = "/v1/files"
	servicesPrefix       = "/services/"
	maxRequestIDLength   = 200
	defaultDeadline      = 60 * time.Second
	maxDeadline          = time.Hour
	defaultBodyBytes     = 8 << 20
	defaultFileBytes     = 512 << 20
	defaultRetention     = 24 * time.Hour
	multipartMemoryBytes = 4 << 20
	// Time that the platform has to answer one call.
	storeTimeout = 2 * time.Second
	// Time that the depots have to register, keep or return one answer. The
	// caller's answer waits for it.
	answerTimeout = 2 * time.Second
	// How often a request asks for the outcome of an earlier one that runs.
	pollPeriod = 200 * time.Millisecond
	// When a caller may come back after a part of the system failed.
	retryAfter = time.Second
)

// opener opens an exchange with another process; *mesh.Mesh implements it.
type opener interface {
	Open(c context.Context, address string, o *wire.Open) (*frame.Stream, error)
}

// Entry serves the HTTP API. It implements oapi.Handler and
// oapi.SecurityHandler.
type Entry struct {
	route   trail.Caller
	claims  trail.Claims
	answers trail.AnswerStore
	bulk    trail.BulkStore
	store   trail.Store
	views   trail.Views
	mesh    opener
	loads   func() []*wire.Report
	check   func(text []byte) (*wire.Text, error)
	// Caller names by key. Empty when the key itself is the caller's name.
	keys        map[string]string
	operatorKey string
	// Bytes of a body when the service sets no limit.
	bodyBytes int64
	// Bytes of an uploaded file.
	fileBytes int64
	l         log.Interface
	counts    counts
	h         http.Handler
	// Guards draining, and that no request is added to the others after it is
	// set.
	gate     sync.Mutex
	draining bool
	requests sync.WaitGroup
}

type counts struct {
	answers, refusals *prometheus.CounterVec
	firstByte         *prometheus.HistogramVec
}

type option = func(*Entry)

// WithRoute sets the choice of scheduler and the load reports that it holds.
func WithRoute(route trail.Caller, loads func() []*wire.Report) func(*Entry) {
	return func(s *Entry) {
		s.route = route
		s.loads = loads
	}
}

// WithClaims sets the keeper of idempotency keys.
func WithClaims(x trail.Claims) func(*Entry) { return func(s *Entry) { s.claims = x } }

// WithAnswers sets the keeper of answers.
func WithAnswers(x trail.AnswerStore) func(*Entry) { return func(s *Entry) { s.answers = x } }

// WithBulk sets the keeper of the bytes of files.
func WithBulk(x trail.BulkStore) func(*Entry) { return func(s *Entry) { s.bulk = x } }

// WithStore sets the platform's object API.
func WithStore(x trail.Store) func(*Entry) { return func(s *Entry) { s.store = x } }

// WithViews sets the source of configuration, members and backend servers.
func WithViews(x trail.Views) func(*Entry) { return func(s *Entry) { s.views = x } }

// WithMesh sets the sessions by which other processes are told to shut down.
func WithMesh(x opener) func(*Entry) { return func(s *Entry) { s.mesh = x } }

// WithCheck sets the check of services texts. Its error may be trail.Errors.
func WithCheck(check func(text []byte) (*wire.Text, error)) func(*Entry) {
	return func(s *Entry) { s.check = check }
}

// WithKeys sets the keys of callers, from key to caller name, and the
// operators' key. Without callers' keys, each key is the name of its caller.
// An empty operators' key refuses all operators.
func WithKeys(callers map[string]string, operator string) func(*Entry) {
	return func(s *Entry) {
		s.keys = callers
		s.operatorKey = operator
	}
}

// WithBodyBytes sets the largest body in bytes for services without a limit of
// their own. The default is 8 MiB.
func WithBodyBytes(limit int64) func(*Entry) { return func(s *Entry) { s.bodyBytes = limit } }

// WithFileBytes sets the largest upload of a file in bytes. The default is 512
// MiB. The HTTP server must admit as much.
func WithFileBytes(limit int64) func(*Entry) { return func(s *Entry) { s.fileBytes = limit } }

// New returns an entry. An error means that a part is missing: options must
// give all of them but the limits.
func New(l log.Interface, r prometheus.Registerer, options ...option) (*Entry, error) {
	s := &Entry{l: l, bodyBytes: defaultBodyBytes, fileBytes: defaultFileBytes, counts: newCounts(r)}
	for _, o := range options {
		o(s)
	}
	for _, p := range []any{s.route, s.claims, s.answers, s.bulk, s.store, s.views, s.mesh} {
		if p == nil {
			return nil, errors.New("entry: a part is missing")
		}
	}
	if s.loads == nil || s.check == nil {
		return nil, errors.New("entry: a part is missing")
	}
	h, e := oapi.NewServer(s, s,
		oapi.WithMiddleware(withRawBody),
		oapi.WithErrorHandler(s.undecodable),
		oapi.WithNotFound(s.unknownPath),
		oapi.WithMethodNotAllowed(s.unknownMethod),
		oapi.WithMaxMultipartMemory(multipartMemoryBytes))
	if e != nil {
		return nil, e
	}
	s.h = h
	return s, nil
}

func newCounts(r prometheus.Registerer) counts {
	k := counts{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_entry_answers_total", Help: "Answers of services to callers, by service and storing.",
		}, []string{"service", "stored"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bulrushtrail_entry_refusals_total", Help: "Refusals by code and verdict.",
		}, []string{"code", "verdict"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bulrushtrail_entry_first_byte_seconds",
			Help:    "Time from dispatch to the first byte of an answer, by service.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}, []string{"service"}),
	}
	r.MustRegister(k.answers, k.refusals, k.firstByte)
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
	defer s.requests.Done()
	// The path is matched by hand, because http.ServeMux would redirect paths
	// that it finds unclean.
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		s.servePlain(w, r)
		return
	}
	// The generated server holds a body in memory before a service is known.
	r.Body = http.MaxBytesReader(w, r.Body, s.pathLimit(r))
	s.h.ServeHTTP(w, r)
}

// pathLimit bounds the body of a request outside plain services in bytes.
func (s *Entry) pathLimit(r *http.Request) int64 {
	if r.URL.Path == filesPath {
		return s.fileBytes
	}
	n := s.bodyBytes
	for _, v := range s.views.Latest().GetConfig().GetText().GetServices() {
		n = max(n, s.bodyLimit(v))
	}
	return n
}

// admit counts a request, unless the entry is draining.
func (s *Entry) admit() bool {
	s.gate.Lock()
	defer s.gate.Unlock()
	if s.draining {
		return false
	}
	s.requests.Add(1)
	return true
}

// Drain refuses new requests and waits until those in progress have ended, or
// c ends.
func (s *Entry) Drain(c context.Context) error {
	s.gate.Lock()
	s.draining = true
	s.gate.Unlock()
	d := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(d)
	}()
	select {
	case <-d:
		return nil
	case <-c.Done():
		return c.Err()
	}
}
