package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	maxBodyBytes = 16 << 20
	// Maximum number of distinct keys that are counted. Requests with further keys
	// count towards the total only.
	maxKeys = 100_000
)

// Service is the HTTP handler of a plain service stand-in. It also serves
// /control/faults and /control/runs.
type Service struct {
	handler http.Handler

	// Guards the fields below.
	mu     sync.Mutex
	faults faultsForm
	total  int
	byKey  map[string]int
	// Number of runs by X-Request-Id.
	byAttempt map[string]int
	// Gets a line with the key of each run, nil for none.
	runsFile *os.File
}

// faultsForm is the body of POST /control/faults, which replaces all faults.
// Error responses to an invalid body quote the name of this type, so it is fixed.
type faultsForm struct {
	// Delay before each request runs.
	DelayMS int64 `json:"delay-ms"`
	// Number of requests that run but get no response: their connection is closed.
	CloseAfterRun int `json:"close-after-run"`
	// Number of requests that get a 503 response and do not run.
	Refuse int `json:"refuse"`
	// Number of requests whose connection is closed before they run.
	CloseBeforeRun int `json:"close-before-run"`
}

// resultBody is the body of the response to a request that ran.
type resultBody struct {
	// Number of requests that have run, including this one.
	Count  int    `json:"count"`
	Method string `json:"method"`
	// Path and query.
	Path string `json:"path"`
	// SHA-256 of the body in hexadecimal.
	BodyDigest string `json:"body-digest"`
}

// runsBody is the body of the response to GET /control/runs.
type runsBody struct {
	Total     int            `json:"total"`
	ByKey     map[string]int `json:"by-key"`
	ByAttempt map[string]int `json:"by-attempt"`
}

type errorBody struct {
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
	s.handler = m
	return s
}

// KeepRuns counts the runs by Idempotency-Key that a process before has left in a file,
// and adds each further run to it before the request is answered.
func (s *Service) KeepRuns(file string) error {
	b, e := os.ReadFile(file)
	if e != nil && !os.IsNotExist(e) {
		return e
	}
	for k := range strings.Lines(string(b)) {
		increment(s.byKey, strings.TrimSuffix(k, "\n"))
	}
	s.runsFile, e = os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return e
}

// ServeHTTP runs the request, or handles it as a control request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

func (s *Service) run(w http.ResponseWriter, r *http.Request) {
	b, e := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if e != nil {
		writeError(w, http.StatusBadRequest, "body can't be read")
		return
	}
	if s.consumeFault(func(f *faultsForm) *int { return &f.CloseBeforeRun }) {
		panic(http.ErrAbortHandler)
	}
	if s.consumeFault(func(f *faultsForm) *int { return &f.Refuse }) {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusServiceUnavailable, "service takes no requests")
		return
	}
	if !s.delay(r) {
		return
	}
	n := s.recordRun(r)
	if s.consumeFault(func(f *faultsForm) *int { return &f.CloseAfterRun }) {
		panic(http.ErrAbortHandler)
	}
	d := sha256.Sum256(b)
	writeJSON(w, http.StatusOK, resultBody{n, r.Method, r.URL.RequestURI(), hex.EncodeToString(d[:])})
}

// consumeFault reports whether the fault with this counter applies to the request,
// and decrements the counter.
func (s *Service) consumeFault(counter func(*faultsForm) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// delay waits for the delay in the faults, and reports whether the client is still
// connected. The request must not run if the client has disconnected.
func (s *Service) delay(r *http.Request) bool {
	s.mu.Lock()
	d := s.faults.DelayMS
	s.mu.Unlock()
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

// recordRun counts a run of the request, and returns the total.
func (s *Service) recordRun(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	k := r.Header.Get("Idempotency-Key")
	increment(s.byKey, k)
	if s.runsFile != nil && k != "" {
		// A run that can't be counted would hide that a request ran twice.
		_, e := s.runsFile.WriteString(k + "\n")
		if e != nil {
			panic(e)
		}
	}
	increment(s.byAttempt, r.Header.Get("X-Request-Id"))
	return s.total
}

func increment(counts map[string]int, key string) {
	if key == "" || counts[key] == 0 && len(counts) >= maxKeys {
		return
	}
	counts[key]++
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	f := faultsForm{}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	e := d.Decode(&f)
	if e != nil {
		writeError(w, http.StatusBadRequest, e.Error())
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, runsBody{s.total, s.byKey, s.byAttempt})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	f := errorBody{}
	f.Error.Code, f.Error.Message = "refused", message
	writeJSON(w, status, f)
}
