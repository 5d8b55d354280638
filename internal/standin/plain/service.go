package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBodyBytes = 16 << 20
	// Requests with more keys are counted in total only.
	maxKeys = 100_000
)

// Service is a plain service stand-in. Besides its own requests it serves
// /control/faults and /control/runs.
type Service struct {
	h http.Handler

	// Guards the fields below, which are counters and settings.
	m      sync.Mutex
	faults faultsForm
	total  int
	byKey  map[string]int
	// Attempts by X-Request-Id.
	byAttempt map[string]int
}

// faultsForm is the body of POST /control/faults, which replaces all faults.
type faultsForm struct {
	// Pause before each request runs.
	DelayMS int64 `json:"delay-ms"`
	// The next so many requests run and get no answer: the connection closes.
	CloseAfterRun int `json:"close-after-run"`
	// The next so many requests get 503 and don't run.
	Refuse int `json:"refuse"`
	// The next so many connections close before the request runs.
	CloseBeforeRun int `json:"close-before-run"`
}

// resultForm is the answer to a request that ran.
type resultForm struct {
	// Requests that have run, this one included.
	Count  int    `json:"count"`
	Method string `json:"method"`
	// Path with the query.
	Path string `json:"path"`
	// SHA-256 of the body in hexadecimal.
	BodyDigest string `json:"body-digest"`
}

// runsForm answers GET /control/runs.
type runsForm struct {
	Total     int            `json:"total"`
	ByKey     map[string]int `json:"by-key"`
	ByAttempt map[string]int `json:"by-attempt"`
}

type errorForm struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// New returns a service without faults.
func New() *Service {
	s := &Service{byKey: map[string]int{}, byAttempt: map[string]int{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /control/faults", s.setFaults)
	m.HandleFunc("GET /control/runs", s.listRuns)
	m.HandleFunc("/", s.run)
	s.h = m
	return s
}

// ServeHTTP runs the request, or serves a control path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.h.ServeHTTP(w, r) }

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if e != nil {
		refuse(w, http.StatusBadRequest, "body can't be read")
		return
	}
	if s.take(func(f *faultsForm) *int { return &f.CloseBeforeRun }) {
		panic(http.ErrAbortHandler)
	}
	if s.take(func(f *faultsForm) *int { return &f.Refuse }) {
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusServiceUnavailable, "service takes no requests")
		return
	}
	if !s.wait(r) {
		return
	}
	n := s.count(r)
	if s.take(func(f *faultsForm) *int { return &f.CloseAfterRun }) {
		panic(http.ErrAbortHandler)
	}
	d := sha256.Sum256(b)
	answer(w, http.StatusOK, resultForm{n, r.Method, r.URL.RequestURI(), hex.EncodeToString(d[:])})
}

// take uses up one of a fault's requests, if there are any.
func (s *Service) take(which func(*faultsForm) *int) bool {
	s.m.Lock()
	defer s.m.Unlock()
	n := which(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wait pauses as the faults say, and reports whether the client is still
// there. A request whose client left before it ran doesn't run.
func (s *Service) wait(r *http.Request) bool {
	s.m.Lock()
	d := s.faults.DelayMS
	s.m.Unlock()
	if d <= 0 {
		return true
	}
	t := time.NewTimer(time.Duration(d) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// count notes that a request runs, and returns the total.
func (s *Service) count(r *http.Request) int {
	s.m.Lock()
	defer s.m.Unlock()
	s.total++
	add(s.byKey, r.Header.Get("Idempotency-Key"))
	add(s.byAttempt, r.Header.Get("X-Request-Id"))
	return s.total
}

func add(m map[string]int, key string) {
	if key == "" || m[key] == 0 && len(m) >= maxKeys {
		return
	}
	m[key]++
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	f := faultsForm{}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	if e != nil {
		refuse(w, http.StatusBadRequest, e.Error())
		return
	}
	s.m.Lock()
	s.faults = f
	s.m.Unlock()
	answer(w, http.StatusOK, f)
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.m.Lock()
	defer s.m.Unlock()
	answer(w, http.StatusOK, runsForm{s.total, s.byKey, s.byAttempt})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, message string) {
	f := errorForm{}
	f.Error.Code, f.Error.Message = "refused", message
	answer(w, status, f)
}
