package kube

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	prefix = "/apis/bulrushtrail.example/v1/"
	// Largest value of an object.
	maxValueBytes = 1 << 20
	// Room for the metadata around the largest value.
	maxBodyBytes = maxValueBytes + 4<<10
	// The budget is per second.
	retryAfterSeconds = "1"
)

// document is one object as it stands in requests and answers.
type document struct {
	Kind     string          `json:"kind,omitempty"`
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion int64  `json:"resourceVersion,string,omitempty"`
}

type documents struct {
	Kind     string     `json:"kind"`
	Metadata metadata   `json:"metadata"`
	Items    []document `json:"items"`
}

type deleteOptions struct {
	Preconditions metadata `json:"preconditions"`
}

// status is the body of a refusal.
type status struct {
	Kind    string `json:"kind"`
	Status  string `json:"status"`
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

func (p *Platform) routes() {
	p.m.HandleFunc("GET "+prefix+"{kind}", p.call("list", p.list))
	p.m.HandleFunc("GET "+prefix+"{kind}/{name}", p.call("get", p.get))
	p.m.HandleFunc("POST "+prefix+"{kind}", p.call("create", p.create))
	p.m.HandleFunc("PUT "+prefix+"{kind}/{name}", p.call("update", p.update))
	p.m.HandleFunc("DELETE "+prefix+"{kind}/{name}", p.call("delete", p.remove))
	p.m.HandleFunc("GET /control/faults", p.getFaults)
	p.m.HandleFunc("POST /control/faults", p.postFaults)
	p.m.HandleFunc("PUT /control/hosts/{name}", p.putHost)
	p.m.HandleFunc("DELETE /control/hosts/{name}", p.deleteHost)
}

// call applies the faults and the budget before a call and counts it after.
func (p *Platform) call(verb string, h func(w http.ResponseWriter, r *http.Request) int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k := r.PathValue("kind")
		s := 0
		defer func() { p.calls.WithLabelValues(k, verb, strconv.Itoa(s)).Inc() }()
		var f faults
		p.do(func(t *table) { f = t.faults })
		switch f.Outage {
		case outageRefuse:
			s = refuse(w, http.StatusServiceUnavailable, "ServiceUnavailable", "outage")
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
			s = refuse(w, http.StatusTooManyRequests, "TooManyRequests", "call budget is used up")
			return
		}
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		s = h(w, r)
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) int {
	var o outcome
	p.do(func(t *table) { o = t.get(r.PathValue("kind"), r.PathValue("name")) })
	return reply(w, o)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) int {
	if r.URL.Query().Get("watch") == "true" {
		return p.watch(w, r)
	}
	d := documents{Kind: "List"}
	p.do(func(t *table) { d.Items, d.Metadata.ResourceVersion = t.list(r.PathValue("kind")) })
	return answer(w, http.StatusOK, d)
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) int {
	d, s := receive(w, r)
	if s != 0 {
		return s
	}
	if d.Metadata.Name == "" {
		return refuse(w, http.StatusBadRequest, "BadRequest", "name is missing")
	}
	var o outcome
	p.do(func(t *table) { o = t.create(r.PathValue("kind"), d.Metadata.Name, d.Spec) })
	return reply(w, o)
}

func (p *Platform) update(w http.ResponseWriter, r *http.Request) int {
	d, s := receive(w, r)
	if s != 0 {
		return s
	}
	var o outcome
	p.do(func(t *table) {
		o = t.update(r.PathValue("kind"), r.PathValue("name"), d.Metadata.ResourceVersion, d.Spec)
	})
	return reply(w, o)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) int {
	if r.PathValue("kind") == hostKind {
		return refuse(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "hosts are read-only")
	}
	var d deleteOptions
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&d)
	if e != nil {
		return refuse(w, http.StatusBadRequest, "BadRequest", e.Error())
	}
	var o outcome
	p.do(func(t *table) {
		o = t.remove(r.PathValue("kind"), r.PathValue("name"), d.Preconditions.ResourceVersion)
	})
	return reply(w, o)
}

// receive reads the object of a write. A status other than 0 has been sent as
// a refusal.
func receive(w http.ResponseWriter, r *http.Request) (document, int) {
	var d document
	if r.PathValue("kind") == hostKind {
		return d, refuse(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "hosts are read-only")
	}
	e := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&d)
	var l *http.MaxBytesError
	if errors.As(e, &l) || len(d.Spec) > maxValueBytes {
		return d, refuse(w, http.StatusRequestEntityTooLarge, "RequestEntityTooLarge", "value is larger than 1 MB")
	}
	if e != nil {
		return d, refuse(w, http.StatusBadRequest, "BadRequest", e.Error())
	}
	return d, 0
}

// reply sends an outcome, or closes the connection when its answer is lost.
func reply(w http.ResponseWriter, o outcome) int {
	if o.lost {
		panic(http.ErrAbortHandler)
	}
	if o.reason != "" {
		return refuse(w, o.status, o.reason, o.reason)
	}
	return answer(w, o.status, o.o)
}

func refuse(w http.ResponseWriter, code int, reason, message string) int {
	return answer(w, code, status{Kind: "Status", Status: "Failure", Code: code, Reason: reason, Message: message})
}

func answer(w http.ResponseWriter, code int, body any) int {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
	return code
}
