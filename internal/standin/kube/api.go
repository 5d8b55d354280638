package kube

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	apiPrefix = "/apis/bulrushtrail.example/v1/"
	// Maximum size of the value of an object.
	maxValueBytes = 1 << 20
	// Leaves room for the metadata around a value of the maximum size.
	maxBodyBytes = maxValueBytes + 4<<10
	// The rate limits are per second.
	retryAfterSeconds = "1"
)

// document is an object in the form of requests and responses.
type document struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion int64  `json:"resourceVersion,string,omitempty"`
}

type documentList struct {
	Kind     string     `json:"kind"`
	Metadata metadata   `json:"metadata"`
	Items    []document `json:"items"`
}

type deleteOptions struct {
	Preconditions metadata `json:"preconditions"`
}

// status is the body of an error response.
type status struct {
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

func (p *Platform) routes() {
	p.mux.HandleFunc("GET "+apiPrefix+"{kind}", p.withFaults("list", p.list))
	p.mux.HandleFunc("GET "+apiPrefix+"{kind}/{name}", p.withFaults("get", p.get))
	p.mux.HandleFunc("POST "+apiPrefix+"{kind}", p.withFaults("create", p.create))
	p.mux.HandleFunc("PUT "+apiPrefix+"{kind}/{name}", p.withFaults("update", p.update))
	p.mux.HandleFunc("DELETE "+apiPrefix+"{kind}/{name}", p.withFaults("delete", p.remove))
	p.mux.HandleFunc("GET /control/faults", p.getFaults)
	p.mux.HandleFunc("POST /control/faults", p.postFaults)
	p.mux.HandleFunc("PUT /control/hosts/{name}", p.putHost)
	p.mux.HandleFunc("DELETE /control/hosts/{name}", p.deleteHost)
}

// withFaults wraps a handler: it applies the faults and the rate limit before the
// call, and counts the call by its status afterwards.
func (p *Platform) withFaults(verb string, handler func(w http.ResponseWriter, r *http.Request) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := r.PathValue("kind")
		s := 0
		defer func() { p.callCount.WithLabelValues(k, verb, strconv.Itoa(s)).Inc() }()
		var f faults
		p.do(func(t *objectStore) { f = t.faults })
		switch f.Outage {
		case outageRefuse:
			s = writeError(w, http.StatusServiceUnavailable, "ServiceUnavailable", "outage")
			return
		case outageClose:
			panic(http.ErrAbortHandler)
		}
		b := p.reads
		if r.Method != http.MethodGet {
			b = p.writes
		}
		if !b.Allow() {
			w.Header().Set("Retry-After", retryAfterSeconds)
			s = writeError(w, http.StatusTooManyRequests, "TooManyRequests", "call budget is used up")
			return
		}
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		s = handler(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) int {
	var o outcome
	p.do(func(t *objectStore) { o = t.get(r.PathValue("kind"), r.PathValue("name")) })
	return writeOutcome(w, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) int {
	if r.URL.Query().Get("watch") == "true" {
		return p.watch(w, r)
	}
	d := documentList{Kind: "List"}
	p.do(func(t *objectStore) { d.Items, d.Metadata.ResourceVersion = t.list(r.PathValue("kind")) })
	return writeJSON(w, http.StatusOK, d)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) int {
	d, s := readDocument(w, r)
	if s != 0 {
		return s
	}
	if d.Metadata.Name == "" {
		return writeError(w, http.StatusBadRequest, "BadRequest", "name is missing")
	}
	var o outcome
	p.do(func(t *objectStore) { o = t.create(r.PathValue("kind"), d.Metadata.Name, d.Spec) })
	return writeOutcome(w, o)
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) int {
	d, s := readDocument(w, r)
	if s != 0 {
		return s
	}
	var o outcome
	p.do(func(t *objectStore) {
		o = t.update(r.PathValue("kind"), r.PathValue("name"), d.Metadata.ResourceVersion, d.Spec)
	})
	return writeOutcome(w, o)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) int {
	if r.PathValue("kind") == hostKind {
		return writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "hosts are read-only")
	}
	var d deleteOptions
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&d)
	if e != nil {
		return writeError(w, http.StatusBadRequest, "BadRequest", e.Error())
	}
	var o outcome
	p.do(func(t *objectStore) {
		o = t.remove(r.PathValue("kind"), r.PathValue("name"), d.Preconditions.ResourceVersion)
	})
	return writeOutcome(w, o)
}

// readDocument reads the object in the body of a write. If the status that it
// returns is not 0, it has sent an error response with this status.
func readDocument(w http.ResponseWriter, r *http.Request) (document, int) {
	var d document
	if r.PathValue("kind") == hostKind {
		return d, writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "hosts are read-only")
	}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&d)
	var l *http.MaxBytesError
	if errors.As(e, &l) || len(d.Spec) > maxValueBytes {
		return d, writeError(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "value is larger than 1 MB")
	}
	if e != nil {
		return d, writeError(w, http.StatusBadRequest, "BadRequest", e.Error())
	}
	return d, 0
}

// writeOutcome sends an outcome, or closes the connection if its response is to
// be lost.
func writeOutcome(w http.ResponseWriter, result outcome) int {
	if result.answerLost {
		panic(http.ErrAbortHandler)
	}
	if result.reason != "" {
		return writeError(w, result.status, result.reason, result.reason)
	}
	return writeJSON(w, result.status, result.object)
}

func writeError(w http.ResponseWriter, code int, reason, message string) int {
	return writeJSON(w, code, status{Kind: "Status", Status: "Failure", Code: code, Reason: reason, Message: message})
}

func writeJSON(w http.ResponseWriter, code int, body any) int {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
	return code
}
